package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"

	"filbertcross/internal/event"
)

// Waiting times.
const (
	memoryWait     = time.Second            // of a request, for memory of others that give way or end
	memoryWaitStep = 50 * time.Millisecond  // after which it is determined again which others give way
	minEvictionAge = 250 * time.Millisecond // of a request that gives way to others
	writeTimeout   = 10 * time.Second       // for a client to take a part of a response
)

// Options are the settings of a Guard.
type Options struct {
	Name   string // of the listener, in events and metrics
	Limits Limits
	// HeaderBytes returns the maximum size of a request's head in bytes.
	HeaderBytes func() int64
	Events      event.Recorder
	Scope       tally.Scope
}

// Guard bounds the clients of one listener. It is safe for concurrent use.
type Guard struct {
	opts     Options
	slots    *semaphore.Weighted // connections
	arrival  *semaphore.Weighted // bytes of requests that arrive; they can give way to each other
	decoding *semaphore.Weighted // bytes of complete requests; they end by themselves
	refused  report

	mu    sync.Mutex // guards conns and the fields of each that say so
	conns map[*conn]struct{}
}

// NewGuard returns a guard without connections.
func NewGuard(opts Options) *Guard {
	return &Guard{
		opts:     opts,
		slots:    semaphore.NewWeighted(opts.Limits.Connections),
		arrival:  semaphore.NewWeighted(opts.Limits.ArrivalMemory),
		decoding: semaphore.NewWeighted(opts.Limits.DecodingMemory),
		refused:  report{listener: opts.Name, events: opts.Events, scope: opts.Scope},
		conns:    map[*conn]struct{}{},
	}
}

// Install makes a server use the guard. The server must serve listeners of the guard's Listen.
func (g *Guard) Install(s *http.Server) {
	inner, connState := s.Handler, s.ConnState
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(inner, w, r) })
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if guarded, ok := c.(*conn); ok && state == http.StateIdle {
			guarded.beginHead()
		}
		if connState != nil {
			connState(c, state)
		}
	}
}

// connKey is the key of a request's *conn in its context.
type connKey struct{}

// serve handles one request. Its connection does not give way until the response is complete, unless
// the handler reads the body.
func (g *Guard) serve(inner http.Handler, w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		inner.ServeHTTP(w, r)
		return
	}
	c.setPhase(handling)
	defer c.endRequest()
	inner.ServeHTTP(w, r)
	if r.ContentLength != 0 {
		_ = c.SetReadDeadline(time.Now().Add(discardTimeout)) // fails only on a closed connection
	}
}

// discardTimeout is the time for the rest of a body that the handler has not read, which the server discards.
const discardTimeout = 3 * time.Second

// Listen opens a listener at a TCP address.
func (g *Guard) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: inner, guard: g}, nil
}

// listener accepts connections within the limits of its guard.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. A connection beyond the limits for which no other gives way is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(accepted); c != nil {
			return c, nil
		}
		l.guard.refused.add(reasonConnections)
		_ = accepted.Close() // nothing was read from it
	}
}

// admit reserves a slot for a connection. If none is free, the oldest other connection gives way; nil:
// all of them have requests in progress.
func (g *Guard) admit(accepted net.Conn) *conn {
	if !g.slots.TryAcquire(1) {
		g.evictOldest()
		if !g.slots.TryAcquire(1) {
			return nil
		}
	}
	c := &conn{Conn: accepted, guard: g, since: time.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = struct{}{}
	return c
}

// reserveArrival adds n bytes to what a connection holds for the request that arrives. If they are not
// free, other requests give way, and it waits up to memoryWait. It returns false if the request cannot
// have them, or has given way itself.
func (g *Guard) reserveArrival(c *conn, n int64) bool {
	if n > g.opts.Limits.ArrivalMemory || !g.acquireArrival(c, n) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.closed || c.evicted {
		g.arrival.Release(n)
		return false
	}
	c.arriving += n
	return true
}

func (g *Guard) acquireArrival(c *conn, n int64) bool {
	if g.arrival.TryAcquire(n) {
		return true
	}
	for end := time.Now().Add(memoryWait); time.Now().Before(end); {
		g.evictLargest(c, n)
		if acquireWithin(g.arrival, n, memoryWaitStep) {
			return true
		}
	}
	return false
}

// reserveDecoding adds n bytes to what a connection holds for the decoded form of its request, or all
// there are if n is more. It waits up to memoryWait for other requests to end.
func (g *Guard) reserveDecoding(c *conn, n int64) bool {
	n = min(n, g.opts.Limits.DecodingMemory)
	if !acquireWithin(g.decoding, n, memoryWait) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c.decoding += n
	return true
}

func acquireWithin(s *semaphore.Weighted, n int64, wait time.Duration) bool {
	if s.TryAcquire(n) {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return s.Acquire(ctx, n) == nil
}
