package wharf

import (
	"context"
	"net/netip"

	"sesamecleat/src/charter"
	"sesamecleat/src/logbook"
	"sesamecleat/src/radio"
)

// OrderDomain stores an order for a failure domain. It first learns the domain's revision from the leader, so that the order has no
// effect if it arrives after a later one; if another order comes between the two, it is given again. It is given only while wanted
// reports true: a host that was suspended must not carry out what its caller has long sent elsewhere.
func (r *registry) OrderDomain(ctx context.Context, domain string, empty bool, wanted func() bool) error {
	for {
		held, err := r.Domains(ctx)
		if err != nil {
			return err
		}
		order := charter.DomainOrder{Domain: domain, Empty: empty, Base: held.Of(domain).Revision, At: uint64(r.consensus.h.Clock.Now().UnixMilli())}
		data, err := charter.EncodeOrder(order)
		if err != nil {
			return err
		}
		if ctx.Err() != nil || !wanted() {
			return radio.NotSent.New("its caller no longer waits for the order")
		}
		out, err := r.consensus.callLeader(ctx, kindPropose, data, r.consensus.proposeLocally)
		if err != nil {
			return err
		}
		if held, err = charter.DecodeDomains(out); err != nil {
			return err
		}
		if status := held.Of(domain); status.Emptied == empty && status.Revision > order.Base {
			return nil
		}
	}
}

// Domains returns the orders for failure domains stored at the time of the call.
func (r *registry) Domains(ctx context.Context) (charter.Domains, error) {
	data, err := r.consensus.callLeader(ctx, kindReadDomains, nil, r.consensus.readDomainsLocally)
	if err != nil {
		return charter.Domains{}, err
	}
	return charter.DecodeDomains(data)
}

func (c *consensus) readDomainsLocally(ctx context.Context, _ []byte) ([]byte, error) {
	done := make(chan requestResult, 1)
	c.h.Post(c, readEvent{answer: c.encodeDomains, done: done})
	return c.awaitResult(ctx, done)
}

func (c *consensus) onReadDomains(ctx context.Context, _ netip.AddrPort, _ []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	return c.readDomainsLocally(ctx, nil)
}

// encodeDomains returns the orders as applied, for callers of this host.
func (c *consensus) encodeDomains() []byte {
	b, err := charter.EncodeDomains(c.state.Domains())
	if err != nil {
		c.h.Log.Write(logbook.HandlerPanicked, logbook.F("panic", err.Error()))
	}
	return b
}

// publishDomainsIfNewer announces the orders to the other plug-ins if there are newer ones.
func (c *consensus) publishDomainsIfNewer(old charter.Domains) {
	d := c.state.Domains()
	if d.Revision <= old.Revision {
		return
	}
	for _, s := range d.Statuses {
		if s.Revision > old.Revision {
			c.h.Log.Write(logbook.DomainsStored, logbook.F("domain", s.Name), logbook.F("emptied", s.Emptied), logbook.F("revision", s.Revision))
		}
	}
	c.h.Publish(c.h.Clock.Now(), domainsCommittedEvent{domains: d})
}
