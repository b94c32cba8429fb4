package deck

import (
	"time"

	"sesamecleat/src/chart"
	"sesamecleat/src/logbook"
	"sesamecleat/src/pilot"
	"sesamecleat/src/radio"
)

func (s *state) apply(entries []pilot.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.tables.Revision()
	for _, e := range entries {
		s.applied = e.Index
		s.applyOne(e)
	}
	if s.tables.Revision() != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *state) applyOne(e pilot.Entry) {
	w, waits := s.waiting[e.Index]
	delete(s.waiting, e.Index)
	if e.Kind != pilot.Normal {
		if waits {
			w.reply <- editReply{err: radio.Unanswered.New("the edit was displaced")}
		}
		return
	}
	edit, err := chart.DecodeEdit(e.Data)
	var result chart.Result
	if err == nil {
		result = s.tables.Apply(edit)
	}
	if !waits {
		return
	}
	if w.term != e.Term {
		err = radio.Unanswered.New("another leader's edit stands in this one's place")
	}
	w.reply <- editReply{result: result, err: err}
	if err == nil && result.Status == chart.Accepted {
		s.h.Log.Write(logbook.EditAccepted, logbook.F("revision", result.Revision), logbook.F("author", edit.Author))
	}
}

func (s *state) load(snap pilot.Snapshot) error {
	t, err := chart.Restore(snap.Data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables = t
	s.applied = snap.Index
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// noteVoters keeps the committed membership for those who ask.
func (s *state) noteVoters() {
	if s.node.ConfigPending() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.voters = s.node.Config().Voters
}

func (s *state) compact(now time.Time) {
	if s.node == nil || s.node.LogSize() < compactAfter {
		return
	}
	s.mu.Lock()
	data, err := s.tables.Snapshot()
	s.mu.Unlock()
	if err != nil {
		return
	}
	for _, a := range s.node.Step(now, pilot.Compact{Index: s.applied, Data: data}) {
		s.enqueue([]pilot.Action{a})
	}
}
