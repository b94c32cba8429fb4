package ledger

// receiveBatch applies a batch from a primary in order, and rejects batches of older epochs or with gaps.
func (s *shard) receiveBatch(b Batch) {
	if b.Epoch < s.view.Epoch || b.Epoch < s.inboundEpoch || s.isPrimary() {
		s.ledger.emit(Reply{Ack{Epoch: max(s.view.Epoch, s.inboundEpoch)}})
		return
	}
	if b.Stream != s.inboundStream && !s.startStream(b) {
		s.ledger.emit(Reply{Ack{Epoch: s.view.Epoch}})
		return
	}
	s.inboundEpoch = b.Epoch
	if b.Number <= s.inboundNumber {
		s.ledger.emit(Reply{Ack{OK: true, Epoch: b.Epoch}})
		return
	}
	if b.Number != s.inboundNumber+1 {
		s.ledger.emit(Reply{Ack{Epoch: s.view.Epoch}})
		return
	}
	s.inboundNumber = b.Number
	s.applyBatch(b)
	s.ledger.emit(Reply{Ack{OK: true, Epoch: b.Epoch}})
}

// startStream switches to a new stream of a primary. Existing records are deleted first, unless this host is a replica in
// the view in force.
func (s *shard) startStream(b Batch) bool {
	if !b.First || (b.Epoch == s.inboundEpoch && b.Stream < s.inboundStream) {
		return false
	}
	if !s.isReplica() {
		s.clearRecords()
	}
	s.inboundStream = b.Stream
	s.inboundNumber = 0
	return true
}

func (s *shard) applyBatch(b Batch) {
	for _, key := range b.Removes {
		s.deleteRecord(key)
	}
	for _, r := range b.Puts {
		s.storeRecord(r)
	}
}

func (s *shard) storeRecord(r Record) {
	en, ok := s.entries[r.Key]
	if !ok {
		en = &entry{}
		s.entries[r.Key] = en
		s.ledger.recordCount++
		s.allByExpiry = append(s.allByExpiry, en)
	}
	finished := en.Finished
	en.Record = r
	if r.Finished && !finished {
		s.finishedByExpiry = append(s.finishedByExpiry, en)
	}
}

func (s *shard) deleteRecord(key string) {
	if _, ok := s.entries[key]; ok {
		delete(s.entries, key)
		s.ledger.recordCount--
	}
}

// clearRecords deletes all records except those of submissions that run on this host.
func (s *shard) clearRecords() {
	for key, en := range s.entries {
		if !en.running {
			s.deleteRecord(key)
		}
	}
	s.finishedByExpiry = nil
	s.allByExpiry = nil
}

// discardUnlessReplica deletes a finished record if this host is no longer a replica.
func (s *shard) discardUnlessReplica(en *entry) {
	if !s.isReplica() {
		s.deleteRecord(en.Key)
	}
}
