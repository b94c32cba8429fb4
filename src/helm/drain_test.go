package helm

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/logbook"
)

// handingOver is a submitter whose handover ends when it is first asked about, with a late answer still to be sent.
type handingOver struct {
	Submitter
	inflight int
}

func (s *handingOver) HandoverPending() bool {
	s.inflight = 1
	return false
}

func (s *handingOver) Inflight() int { return s.inflight }

// A planned stop must wait for the late answers that the end of the handover sets off.
func TestDrainWaitsForAnswersSentAtEndOfHandover(t *testing.T) {
	h := &Kernel{Log: logbook.NewLog(io.Discard, "a"), Submitter: &handingOver{}, events: make(chan queuedEvent, 2)}
	h.Settings.Limits.Drain = 20 * time.Millisecond
	began := time.Now()
	h.Drain()
	require.GreaterOrEqual(t, time.Since(began), h.Settings.Limits.Drain)
}

// A planned stop must end the process although the control goroutine is busy and takes no events any more.
func TestShutdownEndsBesideBusyControlGoroutine(t *testing.T) {
	h := &Kernel{Log: logbook.NewLog(io.Discard, "a"), events: make(chan queuedEvent), stopped: make(chan struct{}), controlEnded: make(chan struct{})}
	h.Settings.Limits.Drain = 20 * time.Millisecond
	ended := make(chan bool)
	go func() { ended <- h.Shutdown() }()
	select {
	case whole := <-ended:
		require.False(t, whole)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the stop has not ended")
	}
}
