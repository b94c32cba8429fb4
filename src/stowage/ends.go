package stowage

import "time"

// ending is room that becomes free at a time: that of several equal tasks, or of none if a worker begins to take tasks.
type ending struct {
	at     time.Duration
	worker int32
	tasks  int32
	need   Room
}

func (e ending) before(o ending) bool {
	return e.at < o.at || (e.at == o.at && e.worker < o.worker)
}

// endHeap is a binary heap with the earliest ending first.
type endHeap []ending

func (h endHeap) init() {
	for i := len(h)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

func (h *endHeap) push(e ending) {
	*h = append(*h, e)
	a := *h
	for i := len(a) - 1; i > 0; {
		parent := (i - 1) / 2
		if !a[i].before(a[parent]) {
			return
		}
		a[i], a[parent] = a[parent], a[i]
		i = parent
	}
}

func (h *endHeap) pop() ending {
	a := *h
	top := a[0]
	a[0] = a[len(a)-1]
	*h = a[:len(a)-1]
	h.down(0)
	return top
}

func (h endHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if child+1 < len(h) && h[child+1].before(h[child]) {
			child++
		}
		if !h[child].before(h[i]) {
			return
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
}
