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

// scriptedTarget is a target that serves each connection with a function given by the test.
type scriptedTarget struct {
	ln      net.Listener
	mu      sync.Mutex
	taskIDs []string
}

func newScriptedTarget(t *testing.T, serve func(s *scriptedTarget, n int, c net.Conn, r *bufio.Reader)) (*scriptedTarget, berth.Start) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	s := &scriptedTarget{ln: ln}
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

// readRequest reads one request and records its task id.
func (s *scriptedTarget) readRequest(r *bufio.Reader) (string, bool) {
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
	s.taskIDs = append(s.taskIDs, id)
	return id, true
}

func (s *scriptedTarget) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.taskIDs...)
}

func writeAnswer(c net.Conn, id string) {
	body := "answer to " + id
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTask-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func sendTask(c *targetClients, s berth.Start, id string, left time.Duration) (helm.Answer, berth.AttemptResult) {
	return c.sendTask(s, id, "r", helm.Task{Body: []byte("work")}, left)
}

func TestLateAnswerIsNotGivenToNextTask(t *testing.T) {
	release := make(chan struct{})
	s, start := newScriptedTarget(t, func(s *scriptedTarget, n int, c net.Conn, r *bufio.Reader) {
		id, ok := s.readRequest(r)
		if !ok {
			return
		}
		if n == 0 {
			<-release
			writeAnswer(c, id)
			_, _ = s.readRequest(r) // a second request on this connection would read the answer to the first
			return
		}
		writeAnswer(c, id)
	})
	c := newTargetClients(nil)
	a, v := sendTask(c, start, "first", 100*time.Millisecond)
	require.Equal(t, berth.Lost, v)
	require.Equal(t, helm.CodeTargetLost, a.Code)
	close(release)
	a, v = sendTask(c, start, "second", 5*time.Second)
	require.Equal(t, berth.Succeeded, v)
	require.Equal(t, "answer to second", string(a.Body))
	require.Equal(t, []string{"first", "second"}, s.requests(), "each task was sent once")
}

func TestAnswerWithWrongTaskIDIsLost(t *testing.T) {
	_, start := newScriptedTarget(t, func(s *scriptedTarget, _ int, c net.Conn, r *bufio.Reader) {
		if _, ok := s.readRequest(r); ok {
			writeAnswer(c, "somebody else's")
		}
	})
	a, v := sendTask(newTargetClients(nil), start, "mine", 5*time.Second)
	require.Equal(t, berth.Lost, v)
	require.Equal(t, helm.CodeWrongTask, a.Code)
	require.Empty(t, a.Body)
}

func TestBrokenConnectionIsNotRetried(t *testing.T) {
	s, start := newScriptedTarget(t, func(s *scriptedTarget, _ int, _ net.Conn, r *bufio.Reader) { s.readRequest(r) })
	_, v := sendTask(newTargetClients(nil), start, "once", 5*time.Second)
	require.Equal(t, berth.Lost, v)
	require.Equal(t, []string{"once"}, s.requests())
}

func TestTruncatedAnswerIsLost(t *testing.T) {
	_, start := newScriptedTarget(t, func(s *scriptedTarget, _ int, c net.Conn, r *bufio.Reader) {
		if id, ok := s.readRequest(r); ok {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTask-Id: %s\r\nContent-Length: 1000\r\n\r\nhalf", id)
		}
	})
	a, v := sendTask(newTargetClients(nil), start, "whole", 5*time.Second)
	require.Equal(t, berth.Lost, v)
	require.Empty(t, a.Body)
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	s, start := newScriptedTarget(t, func(*scriptedTarget, int, net.Conn, *bufio.Reader) {})
	s.ln.Close()
	a, v := sendTask(newTargetClients(nil), start, "never", 5*time.Second)
	require.Equal(t, berth.Unsent, v)
	require.Equal(t, helm.NotRun, a.Outcome)
}

func TestStopTaskRequest(t *testing.T) {
	stopRequest := make(chan string, 1)
	_, start := newScriptedTarget(t, func(_ *scriptedTarget, _ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		stopRequest <- req.Method + " " + req.URL.Path
		fmt.Fprint(c, "HTTP/1.1 204 No Content\r\n\r\n")
	})
	newTargetClients(nil).stopTask(start.Addr, "host.1.7")
	require.Equal(t, "DELETE /tasks/host.1.7", <-stopRequest)
}

func TestAttemptResults(t *testing.T) {
	tests := map[string]struct {
		raw  string
		want berth.AttemptResult
	}{
		"done":                       {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", berth.Succeeded},
		"client error":               {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", berth.Succeeded},
		"server error":               {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", berth.Failed},
		"refused":                    {"HTTP/1.1 503 No\r\nOutcome: notrun\r\nContent-Length: 0\r\n\r\n", berth.Busy},
		"503 without Outcome header": {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", berth.Failed},
		"not HTTP":                   {"no HTTP at all\r\n\r\n", berth.Lost},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, start := newScriptedTarget(t, func(s *scriptedTarget, _ int, c net.Conn, r *bufio.Reader) {
				if _, ok := s.readRequest(r); ok {
					fmt.Fprint(c, tt.raw)
				}
			})
			_, v := sendTask(newTargetClients(nil), start, "x", 5*time.Second)
			require.Equal(t, tt.want, v)
		})
	}
}
