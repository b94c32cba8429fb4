package tide

import (
	"container/heap"
	"time"
)

// TimerID identifies a timer.
type TimerID uint64

// TimerFunc is called with the current time when its timer is due.
type TimerFunc func(now time.Time)

type timer struct {
	id       TimerID
	due      time.Time
	interval time.Duration
	notify   TimerFunc
	index    int
}

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].due.Equal(h[j].due) {
		return h[i].id < h[j].id
	}
	return h[i].due.Before(h[j].due)
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}

// TimerService keeps timers sorted by when they are due; it is not safe for concurrent use.
type TimerService struct {
	timers timerHeap
	byID   map[TimerID]*timer
	lastID TimerID
}

// NewTimerService returns a service without timers.
func NewTimerService() *TimerService {
	return &TimerService{byID: make(map[TimerID]*timer)}
}

// At starts a timer that runs once at due.
func (s *TimerService) At(due time.Time, notify TimerFunc) TimerID {
	return s.add(due, 0, notify)
}

// Every starts a timer that runs at first and then once per interval.
func (s *TimerService) Every(first time.Time, interval time.Duration, notify TimerFunc) TimerID {
	return s.add(first, interval, notify)
}

// Cancel removes a timer; an unknown or expired one is ignored.
func (s *TimerService) Cancel(id TimerID) {
	t, ok := s.byID[id]
	if !ok {
		return
	}
	delete(s.byID, id)
	heap.Remove(&s.timers, t.index)
}

// NextDue returns when the earliest timer is due, and false if there is none.
func (s *TimerService) NextDue() (time.Time, bool) {
	if len(s.timers) == 0 {
		return time.Time{}, false
	}
	return s.timers[0].due, true
}

// RunDue runs every timer that is due at now; a periodic timer that missed several intervals runs once.
func (s *TimerService) RunDue(now time.Time) {
	for len(s.timers) > 0 && !s.timers[0].due.After(now) {
		t := s.timers[0]
		if t.interval > 0 {
			t.due = now.Add(t.interval)
			heap.Fix(&s.timers, 0)
		} else {
			heap.Pop(&s.timers)
			delete(s.byID, t.id)
		}
		t.notify(now)
	}
}

func (s *TimerService) add(due time.Time, interval time.Duration, notify TimerFunc) TimerID {
	s.lastID++
	t := &timer{id: s.lastID, due: due, interval: interval, notify: notify}
	s.byID[t.id] = t
	heap.Push(&s.timers, t)
	return t.id
}
