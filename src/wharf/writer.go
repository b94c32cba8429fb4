package wharf

import (
	"context"
	"time"

	"sesamecleat/src/logbook"
	"sesamecleat/src/pilot"
)

const (
	// diskPause is the pause before a write that failed is tried again.
	diskPause = 200 * time.Millisecond
	// nameLimit bounds the name of a disk before a message.
	nameLimit = 255
)

// write carries out saves and sends in order; the writes that wait share one sync.
func (c *council) write() {
	for {
		select {
		case first := <-c.writes:
			if !c.writeBatch(c.gather(first)) {
				return
			}
		case <-c.h.Done():
			return
		}
	}
}

func (c *council) gather(actions []pilot.Action) []pilot.Action {
	for {
		select {
		case more := <-c.writes:
			actions = append(actions, more...)
		default:
			return actions
		}
	}
}

// writeBatch saves until the disk takes it: nothing may be sent before, and a host that says nothing harms nobody.
func (c *council) writeBatch(actions []pilot.Action) bool {
	var saves []pilot.Save
	for _, a := range actions {
		if save, ok := a.(pilot.Save); ok {
			saves = append(saves, save)
		}
	}
	if len(saves) > 0 && !c.save(saves) {
		return false
	}
	for _, a := range actions {
		if send, ok := a.(pilot.Send); ok {
			c.send(send)
		}
	}
	return true
}

func (c *council) save(saves []pilot.Save) bool {
	batch := saves
	for {
		err := c.journal.Save(batch, c.commit.Load())
		if err == nil {
			break
		}
		// The journal holds the batch in memory already and writes all of it into a new file.
		batch = nil
		c.h.Log.Write(logbook.DiskFailed, logbook.F("error", err.Error()))
		select {
		case <-time.After(diskPause):
		case <-c.h.Done():
			return false
		}
	}
	for _, s := range saves {
		if n := len(s.Entries); n > 0 {
			last := s.Entries[n-1]
			c.h.Post(c, pilotEvent{pilot.Saved{Index: last.Index, Term: last.Term}})
		}
	}
	return true
}

// send queues a message for its receiver; a full queue drops it, as the network might.
func (c *council) send(a pilot.Send) {
	body, err := pilot.EncodeMessage(c.disk, a.Message)
	if err != nil {
		c.h.Log.Write(logbook.HandlerPanicked, logbook.F("panic", err.Error()))
		return
	}
	queue, ok := c.senders[a.To]
	if !ok {
		queue = make(chan []byte, pilotQueue)
		c.senders[a.To] = queue
		c.wg.Go(func() { c.transmit(a.To, queue) })
	}
	select {
	case queue <- body:
	default:
	}
}

func (c *council) transmit(to string, queue chan []byte) {
	addr := c.locate(to)
	for {
		select {
		case body := <-queue:
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			// A lost message is sent again by the log's own rules; a silent connection is replaced.
			_, _ = c.h.RPC.Probe(ctx, addr, kindPilot, append(putName(to), body...))
			cancel()
		case <-c.h.Done():
			return
		}
	}
}

// putName returns a message's head that names the disk it is for.
func putName(name string) []byte { return append([]byte{byte(min(len(name), nameLimit))}, name...) }

func cutName(b []byte) (string, []byte, bool) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return "", nil, false
	}
	n := 1 + int(b[0])
	return string(b[1:n]), b[n:], true
}
