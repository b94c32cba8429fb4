package deck

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/berth"
	"sesamecleat/src/helm"
)

// scripted is a target whose every connection is served by a function of its own.
type scripted struct {
	ln   net.Listener
	mu   sync.Mutex
	seen []string
}

func newScripted(t *testing.T, serve func(s *scripted, n int, c net.Conn, r *bufio.Reader)) (*scripted, berth.Start) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	s := &scripted{ln: ln}
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(s, n, c, bufio.NewReader(c))
			}()
		}
	}()
	return s, berth.Start{ID: 1, Target: "one", Addr: netip.MustParseAddrPort(ln.Addr().String())}
}

// next reads one request and notes its task.
func (s *scripted) next(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	id := req.Header.Get(headerTask)
	body := make([]byte, req.ContentLength)
	if _, err := req.Body.Read(body); err != nil && req.ContentLength > 0 && err.Error() != "EOF" {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, id)
	return id, true
}

func (s *scripted) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.seen...)
}

func reply(c net.Conn, id string) {
	body := "answer to " + id
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTask-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func try(c *clients, s berth.Start, id string, left time.Duration) (helm.Answer, berth.AttemptResult) {
	return c.try(s, id, "r", helm.Task{Body: []byte("work")}, left)
}

func TestLateAnswerReachesNobodyElse(t *testing.T) {
	release := make(chan struct{})
	s, start := newScripted(t, func(s *scripted, n int, c net.Conn, r *bufio.Reader) {
		id, ok := s.next(r)
		if !ok {
			return
		}
		if n == 0 {
			<-release
			reply(c, id)
			_, _ = s.next(r) // a second request on this connection would be answered by the first one's answer
			return
		}
		reply(c, id)
	})
	c := newClients(nil)
	a, v := try(c, start, "first", 100*time.Millisecond)
	require.Equal(t, berth.Lost, v)
	require.Equal(t, helm.CodeTargetLost, a.Code)
	close(release)
	a, v = try(c, start, "second", 5*time.Second)
	require.Equal(t, berth.Succeeded, v)
	require.Equal(t, "answer to second", string(a.Body))
	require.Equal(t, []string{"first", "second"}, s.requests(), "each was sent once")
}

func TestAnswerForAnotherTaskIsNotHandedOut(t *testing.T) {
	_, start := newScripted(t, func(s *scripted, _ int, c net.Conn, r *bufio.Reader) {
		if _, ok := s.next(r); ok {
			reply(c, "somebody else's")
		}
	})
	a, v := try(newClients(nil), start, "mine", 5*time.Second)
	require.Equal(t, berth.Lost, v)
	require.Equal(t, helm.CodeWrongTask, a.Code)
	require.Empty(t, a.Body)
}

func TestBrokenConnectionIsNotTriedAgain(t *testing.T) {
	s, start := newScripted(t, func(s *scripted, _ int, _ net.Conn, r *bufio.Reader) { s.next(r) })
	_, v := try(newClients(nil), start, "once", 5*time.Second)
	require.Equal(t, berth.Lost, v)
	require.Equal(t, []string{"once"}, s.requests())
}

func TestAnswerThatBreaksOffIsLost(t *testing.T) {
	_, start := newScripted(t, func(s *scripted, _ int, c net.Conn, r *bufio.Reader) {
		if id, ok := s.next(r); ok {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTask-Id: %s\r\nContent-Length: 1000\r\n\r\nhalf", id)
		}
	})
	a, v := try(newClients(nil), start, "whole", 5*time.Second)
	require.Equal(t, berth.Lost, v)
	require.Empty(t, a.Body)
}

func TestTargetThatIsNotThereWasNotSentTo(t *testing.T) {
	s, start := newScripted(t, func(*scripted, int, net.Conn, *bufio.Reader) {})
	s.ln.Close()
	a, v := try(newClients(nil), start, "never", 5*time.Second)
	require.Equal(t, berth.Unsent, v)
	require.Equal(t, helm.NotRun, a.Outcome)
}

func TestStopNamesTheTask(t *testing.T) {
	asked := make(chan string, 1)
	_, start := newScripted(t, func(_ *scripted, _ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		asked <- req.Method + " " + req.URL.Path
		fmt.Fprint(c, "HTTP/1.1 204 No Content\r\n\r\n")
	})
	newClients(nil).stop(start.Addr, "host.1.7")
	require.Equal(t, "DELETE /tasks/host.1.7", <-asked)
}

func TestVerdicts(t *testing.T) {
	tests := map[string]struct {
		raw  string
		want berth.AttemptResult
	}{
		"done":               {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", berth.Succeeded},
		"the caller's fault": {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", berth.Succeeded},
		"failed":             {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", berth.Failed},
		"refused":            {"HTTP/1.1 503 No\r\nOutcome: notrun\r\nContent-Length: 0\r\n\r\n", berth.Busy},
		"unclear 503":        {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", berth.Failed},
		"nonsense":           {"no HTTP at all\r\n\r\n", berth.Lost},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, start := newScripted(t, func(s *scripted, _ int, c net.Conn, r *bufio.Reader) {
				if _, ok := s.next(r); ok {
					fmt.Fprint(c, tt.raw)
				}
			})
			_, v := try(newClients(nil), start, "x", 5*time.Second)
			require.Equal(t, tt.want, v)
		})
	}
}
