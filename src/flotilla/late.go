package flotilla

import (
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"
)

// Each heartbeat tells the recipient's late starts that the sender has received, so that a planner knows who knows of its own.

// maxToldLists bounds the lists of late starts whose confirmations are still recognized: some seconds' worth of them.
const maxToldLists = 64

// toldLateStarts numbers the lists of late starts that this process has told, from 1 on.
type toldLateStarts struct {
	last uint64
	sums []uint32
	// since holds the number of the list from which on a job has been told.
	since map[uint32]uint64
}

func lateSum(jobs []uint32) uint32 {
	if len(jobs) == 0 {
		return 0
	}
	b := make([]byte, 0, 4*len(jobs))
	for _, job := range jobs {
		b = binary.BigEndian.AppendUint32(b, job)
	}
	return uint32(xxh3.Hash(b))
}

func (t *toldLateStarts) add(jobs []uint32) {
	t.last++
	t.sums = append(t.sums, lateSum(jobs))
	if len(t.sums) > maxToldLists {
		t.sums = slices.Delete(t.sums, 0, 1)
	}
	since := make(map[uint32]uint64, len(jobs))
	for _, job := range jobs {
		since[job] = t.last
		if former, known := t.since[job]; known {
			since[job] = former
		}
	}
	t.since = since
}

// number returns the number of the last list with a checksum, 0 if there is none.
func (t *toldLateStarts) number(sum uint32) uint64 {
	for i := len(t.sums) - 1; i >= 0 && sum != 0; i-- {
		if t.sums[i] == sum {
			return t.last - uint64(len(t.sums)-1-i)
		}
	}
	return 0
}

// LateStartKnown reports whether every planner that may live knows of a late start that this process tells of.
func (f *Fleet) LateStartKnown(job uint32) bool {
	since, told := f.told.since[job]
	return told && !slices.ContainsFunc(f.sorted, func(p *Peer) bool { return f.mayPlan(p) && p.lateStarts < since })
}

// HearsAllPlanners reports whether no process is silent that may plan.
func (f *Fleet) HearsAllPlanners() bool {
	return !slices.ContainsFunc(f.sorted, func(p *Peer) bool { return p.Member.Dispatcher && (!p.Alive || p.NotReceiving) })
}

// mayPlan reports whether a peer plans, or may do so unheard. One that is heard tells so first, and is told of late starts then.
func (f *Fleet) mayPlan(p *Peer) bool {
	return p.Member.Dispatcher && (!p.Alive || p.NotReceiving || len(p.Member.Claims) > 0)
}
