package front

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"filbertcross/internal/ledger"
	"filbertcross/internal/verdict"
)

// fakeServer is a backend server that counts executions by path. respond handles
// each request and calls run if the request is executed.
type fakeServer struct {
	id      string
	server  *httptest.Server
	respond func(w http.ResponseWriter, r *http.Request, run func())

	mu         sync.Mutex
	executions map[string]int
}

func newFakeServer(t *testing.T, id string, respond func(http.ResponseWriter, *http.Request, func())) *fakeServer {
	s := &fakeServer{id: id, respond: respond, executions: make(map[string]int)}
	s.server = httptest.NewServer(s)
	t.Cleanup(s.server.Close)
	return s
}

func (s *fakeServer) address() string { return strings.TrimPrefix(s.server.URL, "http://") }

func (s *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	s.respond(w, r, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.executions[r.URL.Path]++
	})
}

func (s *fakeServer) executionsOf(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[path]
}

// respondWithPath runs the request and responds with its path.
func respondWithPath(w http.ResponseWriter, r *http.Request, run func()) {
	run()
	_, _ = w.Write([]byte(r.URL.Path))
}

// respondRefused refuses the request without running it.
func respondRefused(w http.ResponseWriter, _ *http.Request, _ func()) {
	w.Header().Set(HeaderRefused, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// resetConnection runs the request and resets the connection without a response.
func resetConnection(w http.ResponseWriter, _ *http.Request, run func()) {
	run()
	conn, _, _ := http.NewResponseController(w).Hijack()
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// slowResponseTime is how long a slow response takes. Deadlines are multiples of it.
const slowResponseTime = 50 * time.Millisecond

// respondLate runs the request at once and responds after the request's deadline.
func respondLate(w http.ResponseWriter, r *http.Request, run func()) {
	run()
	time.Sleep(5 * slowResponseTime)
	_, _ = w.Write([]byte(r.URL.Path))
}

// respondTwice sends the complete response twice and keeps the connection open, so
// that a later request on it could read the second response as its own.
func respondTwice(w http.ResponseWriter, r *http.Request, run func()) {
	run()
	conn, _, _ := http.NewResponseController(w).Hijack()
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		HeaderRequestID, r.Header.Get(HeaderRequestID), len(r.URL.Path), r.URL.Path)
	_, _ = conn.Write([]byte(response + response))
	time.Sleep(slowResponseTime)
	_ = conn.Close()
}

// respondRaw returns a handler that runs the request, sends text with ID replaced by
// the request id, and closes the connection.
func respondRaw(text string) func(http.ResponseWriter, *http.Request, func()) {
	return func(w http.ResponseWriter, r *http.Request, run func()) {
		run()
		conn, _, _ := http.NewResponseController(w).Hijack()
		_, _ = conn.Write([]byte(strings.ReplaceAll(text, "ID", r.Header.Get(HeaderRequestID))))
		_ = conn.Close()
	}
}

// fakeLedger implements ledger.Client in memory.
type fakeLedger struct {
	mu       sync.Mutex
	keys     map[string]*fakeKey
	beginErr error // returned by Begin if set
}

type fakeKey struct {
	fingerprint ledger.Fingerprint
	state       ledger.State
	response    *ledger.Response
}

func newFakeLedger() *fakeLedger { return &fakeLedger{keys: make(map[string]*fakeKey)} }

func (l *fakeLedger) Begin(_ context.Context, r ledger.BeginRequest) (ledger.BeginResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.beginErr != nil {
		return ledger.BeginResult{}, l.beginErr
	}
	k, known := l.keys[r.Key]
	switch {
	case !known:
		l.keys[r.Key] = &fakeKey{fingerprint: r.Fingerprint, state: ledger.InProgress}
		return ledger.BeginResult{State: ledger.Granted}, nil
	case k.fingerprint != r.Fingerprint:
		return ledger.BeginResult{State: ledger.Mismatch}, nil
	default:
		return ledger.BeginResult{State: k.state, Response: k.response}, nil
	}
}

func (l *fakeLedger) Finish(_ context.Context, r ledger.FinishRequest) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch r.Verdict {
	case verdict.NotRun:
		delete(l.keys, r.Key)
	case verdict.Done:
		l.keys[r.Key].state = ledger.Recorded
		l.keys[r.Key].response = r.Response
	default:
		l.keys[r.Key].state = ledger.MayHaveRun
	}
	return nil
}

// recordingConn records what is written to it.
type recordingConn struct {
	net.Conn
	strings.Builder
}

func (c *recordingConn) Write(b []byte) (int, error) { return c.Builder.Write(b) }
