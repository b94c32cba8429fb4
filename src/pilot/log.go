package pilot

// raftLog is a snapshot and the log entries after it.
type raftLog struct {
	snapshot Snapshot
	entries  []Entry
}

func (l *raftLog) lastIndex() uint64 {
	return l.snapshot.Index + uint64(len(l.entries))
}

func (l *raftLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.snapshot.Term
	}
	return l.entries[len(l.entries)-1].Term
}

// termAt returns the term of the entry at index, and false if the entry is not in the log.
func (l *raftLog) termAt(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entryAt(index).Term, true
}

func (l *raftLog) entryAt(index uint64) Entry {
	return l.entries[index-l.snapshot.Index-1]
}

// entriesBetween returns a copy of at most limit entries after low up to and including high.
func (l *raftLog) entriesBetween(low, high uint64, limit int) []Entry {
	if high > l.lastIndex() {
		high = l.lastIndex()
	}
	if low >= high || low < l.snapshot.Index {
		return nil
	}
	if high-low > uint64(limit) {
		high = low + uint64(limit)
	}
	from := low - l.snapshot.Index
	return append([]Entry(nil), l.entries[from:high-l.snapshot.Index]...)
}

// appendNew replaces the log from the first entry that is missing or has another term, and returns the entries to save.
func (l *raftLog) appendNew(entries []Entry) []Entry {
	for i, e := range entries {
		if e.Index <= l.snapshot.Index {
			continue
		}
		if e.Index <= l.lastIndex() && l.entryAt(e.Index).Term == e.Term {
			continue
		}
		l.entries = append(l.entries[:e.Index-l.snapshot.Index-1:e.Index-l.snapshot.Index-1], entries[i:]...)
		return entries[i:]
	}
	return nil
}

func (l *raftLog) compact(index uint64, data []byte, config Config) bool {
	if index <= l.snapshot.Index || index > l.lastIndex() {
		return false
	}
	term, _ := l.termAt(index)
	l.entries = append([]Entry(nil), l.entries[index-l.snapshot.Index:]...)
	l.snapshot = Snapshot{Index: index, Term: term, Config: config, Data: data}
	return true
}

// configAt returns the newest membership at or before index.
func (l *raftLog) configAt(index uint64) Config {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Index <= index && l.entries[i].Kind == Membership {
			return l.entries[i].Config
		}
	}
	return l.snapshot.Config
}
