package ledger

// receive takes a batch from a primary and answers whether this copy holds it.
func (s *shard) receive(b Batch) {
	if b.Epoch < s.view.Epoch || b.Epoch < s.inboundEpoch || s.isPrimary() {
		s.l.emit(Reply{Ack{Epoch: max(s.view.Epoch, s.inboundEpoch)}})
		return
	}
	if b.Stream != s.inbound && !s.startStream(b) {
		s.l.emit(Reply{Ack{Epoch: s.view.Epoch}})
		return
	}
	s.inboundEpoch = b.Epoch
	if b.Number <= s.inboundNumber {
		s.l.emit(Reply{Ack{OK: true, Epoch: b.Epoch}})
		return
	}
	if b.Number != s.inboundNumber+1 {
		s.l.emit(Reply{Ack{Epoch: s.view.Epoch}})
		return
	}
	s.inboundNumber = b.Number
	s.apply(b)
	s.l.emit(Reply{Ack{OK: true, Epoch: b.Epoch}})
}

// startStream begins to follow a primary; what was held before is replaced, unless this copy is in force.
func (s *shard) startStream(b Batch) bool {
	if !b.First || (b.Epoch == s.inboundEpoch && b.Stream < s.inbound) {
		return false
	}
	if !s.isCopy() {
		s.clear()
	}
	s.inbound = b.Stream
	s.inboundNumber = 0
	return true
}

func (s *shard) apply(b Batch) {
	for _, key := range b.Removes {
		s.discard(key)
	}
	for _, r := range b.Puts {
		s.store(r)
	}
}

func (s *shard) store(r Record) {
	en, ok := s.entries[r.Key]
	if !ok {
		en = &entry{}
		s.entries[r.Key] = en
		s.l.held++
		s.begun = append(s.begun, en)
	}
	finished := en.Finished
	en.Record = r
	if r.Finished && !finished {
		s.expiry = append(s.expiry, en)
	}
}

func (s *shard) discard(key string) {
	if _, ok := s.entries[key]; ok {
		delete(s.entries, key)
		s.l.held--
	}
}

// clear forgets everything but what runs here.
func (s *shard) clear() {
	for key, en := range s.entries {
		if !en.running {
			s.discard(key)
		}
	}
	s.expiry = nil
	s.begun = nil
}

// dropForeign forgets a finished entry that this host no longer answers for.
func (s *shard) dropForeign(en *entry) {
	if !s.isCopy() {
		s.discard(en.Key)
	}
}
