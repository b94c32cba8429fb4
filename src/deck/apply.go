package deck

import (
	"time"

	"sesamecleat/src/chart"
	"sesamecleat/src/logbook"
	"sesamecleat/src/pilot"
	"sesamecleat/src/radio"
)

func (s *stateHost) applyEntries(entries []pilot.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.tables.Revision()
	for _, e := range entries {
		s.applied = e.Index
		s.applyEntry(e)
	}
	if s.tables.Revision() != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *stateHost) applyEntry(e pilot.Entry) {
	w, pending := s.pendingEdits[e.Index]
	delete(s.pendingEdits, e.Index)
	if e.Kind != pilot.Normal {
		if pending {
			w.reply <- editReply{err: radio.Unanswered.New("the edit was displaced")}
		}
		return
	}
	edit, err := chart.DecodeEdit(e.Data)
	var result chart.Result
	if err == nil {
		result = s.tables.Apply(edit)
	}
	if !pending {
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

func (s *stateHost) loadSnapshot(snap pilot.Snapshot) error {
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

// updateVoters publishes the committed set of voters to other goroutines.
func (s *stateHost) updateVoters() {
	if s.node.ConfigPending() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.voters = s.node.Config().Voters
}

func (s *stateHost) compactLog(now time.Time) {
	if s.node == nil || s.node.LogSize() < compactThreshold {
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
