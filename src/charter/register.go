package charter

// StateMachine keeps the newest configuration; it is the state machine behind the agreed log.
type StateMachine struct {
	current *Config
	encoded []byte
}

// Apply takes one entry of the log; it changes something only if the entry's version is higher than the one held.
func (g *StateMachine) Apply(entry []byte) (bool, error) {
	c, err := Decode(entry)
	if err != nil {
		return false, err
	}
	if g.current != nil && c.Version <= g.current.Version {
		return false, nil
	}
	g.current, g.encoded = c, entry
	return true, nil
}

// Current returns the newest configuration, or nil before the first.
func (g *StateMachine) Current() *Config { return g.current }

// Snapshot returns the bytes that Restore takes.
func (g *StateMachine) Snapshot() []byte { return g.encoded }

// Restore replaces what is held, also by nothing.
func (g *StateMachine) Restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		g.current, g.encoded = nil, nil
		return nil
	}
	c, err := Decode(snapshot)
	if err != nil {
		return err
	}
	g.current, g.encoded = c, snapshot
	return nil
}
