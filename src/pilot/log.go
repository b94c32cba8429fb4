package pilot

// journal is the part of the log after the snapshot.
type journal struct {
	snapshot Snapshot
	entries  []Entry
}

func (j *journal) last() uint64 {
	return j.snapshot.Index + uint64(len(j.entries))
}

func (j *journal) lastTerm() uint64 {
	if len(j.entries) == 0 {
		return j.snapshot.Term
	}
	return j.entries[len(j.entries)-1].Term
}

// term returns the term at index, and false if the index is not held.
func (j *journal) term(index uint64) (uint64, bool) {
	if index == j.snapshot.Index {
		return j.snapshot.Term, true
	}
	if index < j.snapshot.Index || index > j.last() {
		return 0, false
	}
	return j.at(index).Term, true
}

func (j *journal) at(index uint64) Entry {
	return j.entries[index-j.snapshot.Index-1]
}

// between returns copies of the entries after low up to high, at most limit.
func (j *journal) between(low, high uint64, limit int) []Entry {
	if high > j.last() {
		high = j.last()
	}
	if low >= high || low < j.snapshot.Index {
		return nil
	}
	if high-low > uint64(limit) {
		high = low + uint64(limit)
	}
	from := low - j.snapshot.Index
	return append([]Entry(nil), j.entries[from:high-j.snapshot.Index]...)
}

// merge takes over entries that differ from those held and returns the ones to save.
func (j *journal) merge(entries []Entry) []Entry {
	for i, e := range entries {
		if e.Index <= j.snapshot.Index {
			continue
		}
		if e.Index <= j.last() && j.at(e.Index).Term == e.Term {
			continue
		}
		j.entries = append(j.entries[:e.Index-j.snapshot.Index-1:e.Index-j.snapshot.Index-1], entries[i:]...)
		return entries[i:]
	}
	return nil
}

func (j *journal) compact(index uint64, data []byte, config Config) bool {
	if index <= j.snapshot.Index || index > j.last() {
		return false
	}
	term, _ := j.term(index)
	j.entries = append([]Entry(nil), j.entries[index-j.snapshot.Index:]...)
	j.snapshot = Snapshot{Index: index, Term: term, Config: config, Data: data}
	return true
}

// config returns the newest membership up to index.
func (j *journal) config(index uint64) Config {
	for i := len(j.entries) - 1; i >= 0; i-- {
		if j.entries[i].Index <= index && j.entries[i].Kind == Membership {
			return j.entries[i].Config
		}
	}
	return j.snapshot.Config
}
