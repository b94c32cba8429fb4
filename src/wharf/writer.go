package wharf

import (
	"context"
	"time"

	"sesamecleat/src/logbook"
	"sesamecleat/src/pilot"
)

const (
	// diskRetryDelay is the pause before a failed write is retried.
	diskRetryDelay = 200 * time.Millisecond
	// maxNameBytes bounds the name of a disk in front of a message.
	maxNameBytes = 255
)

// runWriter carries out saves and sends in order; waiting saves share one sync.
func (c *consensus) runWriter() {
	for {
		select {
		case first := <-c.writes:
			if !c.writeBatch(c.drainWrites(first)) {
				return
			}
		case <-c.h.Done():
			return
		}
	}
}

func (c *consensus) drainWrites(actions []pilot.Action) []pilot.Action {
	for {
		select {
		case more := <-c.writes:
			actions = append(actions, more...)
		default:
			return actions
		}
	}
}

// writeBatch retries the save until the disk accepts it: Raft messages may be sent only after it, and a silent host
// does no harm.
func (c *consensus) writeBatch(actions []pilot.Action) bool {
	if saves := savesOf(actions); len(saves) > 0 && !c.save(saves) {
		return false
	}
	for _, a := range actions {
		if send, ok := a.(pilot.Send); ok {
			c.transmit(send)
		}
	}
	return true
}

func savesOf(actions []pilot.Action) []pilot.Save {
	var saves []pilot.Save
	for _, a := range actions {
		if save, ok := a.(pilot.Save); ok {
			saves = append(saves, save)
		}
	}
	return saves
}

func (c *consensus) save(saves []pilot.Save) bool {
	batch, began := saves, c.h.Clock.Now()
	for {
		err := c.journal.Save(batch, c.committed.Load())
		if err == nil {
			break
		}
		// The journal already holds the batch in memory and writes all of it into a new file.
		batch = nil
		c.h.Log.Write(logbook.DiskFailed, logbook.F("error", err.Error()))
		select {
		case <-time.After(diskRetryDelay):
		case <-c.h.Done():
			return false
		}
	}
	c.reportSaved(saves, c.h.Clock.Now().Sub(began))
	return true
}

// slowSave is the time from which on a save is logged: half of the shortest election time-out.
const slowSave = electionTimeout / 2

// reportSaved tells the node what is synced.
func (c *consensus) reportSaved(saves []pilot.Save, took time.Duration) {
	c.unsynced.Add(-int64(len(saves)))
	now := c.h.Clock.Now()
	if took >= slowSave && now.Sub(c.slowLoggedAt) >= time.Second {
		c.slowLoggedAt = now
		c.h.Log.Write(logbook.SaveSlow, logbook.F("took", took.String()), logbook.F("saves", len(saves)))
	}
	for _, s := range saves {
		if n := len(s.Entries); n > 0 {
			last := s.Entries[n-1]
			c.h.Post(c, raftEvent{pilot.Saved{Index: last.Index, Term: last.Term}})
		}
	}
	c.h.Post(c, raftEvent{pilot.HardStateSaved{State: saves[len(saves)-1].HardState, Took: took}})
}

// send queues a message for its receiver; a full queue drops it, which the protocol treats as a loss on the network.
func (c *consensus) send(a pilot.Send) {
	body, err := pilot.EncodeMessage(c.disk, a.Message)
	if err != nil {
		c.h.Log.Write(logbook.HandlerPanicked, logbook.F("panic", err.Error()))
		return
	}
	senders, length := c.senders, senderQueueLength
	if pilot.IsBulk(a.Message) {
		senders, length = c.bulkSenders, bulkQueueLength
	}
	c.sendersMu.Lock()
	defer c.sendersMu.Unlock()
	queue, ok := senders[a.To]
	if !ok {
		queue = make(chan []byte, length)
		senders[a.To] = queue
		c.wg.Go(func() { c.runSender(a.To, queue) })
	}
	select {
	case queue <- body:
	default:
	}
}

func (c *consensus) runSender(to string, queue chan []byte) {
	addr := c.address(to)
	for {
		select {
		case body := <-queue:
			ctx, cancel := context.WithTimeout(context.Background(), callTimeoutFor(len(body)))
			// Raft repeats lost messages; the RPC endpoint replaces a dead connection.
			_, _ = c.h.RPC.Probe(ctx, addr, kindRaft, append(prefixName(to), body...))
			cancel()
		case <-c.h.Done():
			return
		}
	}
}

// prefixName returns the head of a message, which names the receiver's disk.
func prefixName(name string) []byte {
	return append([]byte{byte(min(len(name), maxNameBytes))}, name...)
}

func splitName(b []byte) (string, []byte, bool) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return "", nil, false
	}
	n := 1 + int(b[0])
	return string(b[1:n]), b[n:], true
}
