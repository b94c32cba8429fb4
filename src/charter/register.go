package charter

// StateMachine keeps the newest configuration and the orders for failure domains; the replicated log applies its entries to it.
type StateMachine struct {
	current *Config
	encoded []byte
	domains Domains
	// snapshot is the state as bytes; it differs from encoded once there are orders.
	snapshot []byte
}

// Apply applies one entry of the log and reports whether it changed the state: a configuration does with a higher version, an order
// for a domain with the revision that the domain is at.
func (g *StateMachine) Apply(entry []byte) (bool, error) {
	order, ok, err := decodeOrder(entry)
	if err != nil {
		return false, err
	}
	if ok {
		return g.applyOrder(order)
	}
	c, err := Decode(entry)
	if err != nil {
		return false, err
	}
	if g.current != nil && c.Version <= g.current.Version {
		return false, nil
	}
	return true, g.replace(g.domains, c, entry)
}

func (g *StateMachine) applyOrder(o DomainOrder) (bool, error) {
	domains, changed := g.domains.With(o)
	if !changed {
		return false, nil
	}
	return true, g.replace(domains, g.current, g.encoded)
}

// replace sets the whole state, or leaves it as it is after an error.
func (g *StateMachine) replace(d Domains, c *Config, encoded []byte) error {
	snapshot := encoded
	if d.Revision > 0 {
		var err error
		if snapshot, err = encodeSnapshot(d, encoded); err != nil {
			return err
		}
	}
	g.domains, g.current, g.encoded, g.snapshot = d, c, encoded, snapshot
	return nil
}

// Current returns the newest configuration, or nil before the first.
func (g *StateMachine) Current() *Config { return g.current }

// Encoded returns the newest configuration as the log holds it, nil before the first.
func (g *StateMachine) Encoded() []byte { return g.encoded }

// Domains returns the orders for failure domains.
func (g *StateMachine) Domains() Domains { return g.domains }

// Snapshot returns the state as bytes for Restore; nil before the first entry.
func (g *StateMachine) Snapshot() []byte { return g.snapshot }

// Restore replaces the state by a snapshot; an empty one clears it.
func (g *StateMachine) Restore(snapshot []byte) error {
	domains, encoded, err := decodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	if len(encoded) == 0 {
		return g.replace(domains, nil, nil)
	}
	c, err := Decode(encoded)
	if err != nil {
		return err
	}
	return g.replace(domains, c, encoded)
}
