package charter

// StateMachine keeps the newest configuration; the replicated log applies its entries to it.
type StateMachine struct {
	current *Config
	encoded []byte
}

// Apply applies one entry of the log and reports whether it changed the configuration; only a higher version does.
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

// Snapshot returns the state as bytes for Restore; nil before the first configuration.
func (g *StateMachine) Snapshot() []byte { return g.encoded }

// Restore replaces the state by a snapshot; an empty one clears it.
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
