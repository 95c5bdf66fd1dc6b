package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"filbertcross/internal/event"
	"filbertcross/internal/proptest"
	"filbertcross/internal/verdict"
)

// blockableNetwork is a network whose two directions can be held back; bytes wait meanwhile.
type blockableNetwork struct {
	mu      sync.Mutex
	target  string // where every address leads
	cond    *sync.Cond
	blocked map[direction]bool
	conns   []net.Conn
}

type direction int

const (
	toServer direction = iota
	toClient
)

func newBlockableNetwork() *blockableNetwork {
	g := &blockableNetwork{blocked: map[direction]bool{}}
	g.cond = sync.NewCond(&g.mu)
	return g
}

func (g *blockableNetwork) dial(ctx context.Context, _ string) (net.Conn, error) {
	g.mu.Lock()
	target := g.target
	g.mu.Unlock()
	conn, err := dialTCP(ctx, target)
	if err != nil {
		return nil, err
	}
	near, far := net.Pipe()
	g.mu.Lock()
	g.conns = append(g.conns, conn)
	g.mu.Unlock()
	go g.forward(conn, far, toServer)
	go g.forward(far, conn, toClient)
	return near, nil
}

func (g *blockableNetwork) forward(to, from net.Conn, d direction) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 1<<16)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		g.mu.Lock()
		for g.blocked[d] {
			g.cond.Wait()
		}
		g.mu.Unlock()
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (g *blockableNetwork) setBlocked(d direction, held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blocked[d] = held
	g.cond.Broadcast()
}

func (g *blockableNetwork) closeConns() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conn := range g.conns {
		_ = conn.Close()
	}
	g.conns = nil
}

type message struct{ Number int }

// checker counts the runs of every call.
type checker struct {
	mu      sync.Mutex
	runs    map[int]int
	unblock chan struct{}
}

func (o *checker) handle(ctx context.Context, params json.RawMessage) (any, error) {
	var m message
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	o.mu.Lock()
	o.runs[m.Number]++
	unblock := o.unblock
	o.mu.Unlock()
	<-unblock
	if m.Number%5 == 0 {
		return nil, &Error{Code: CodeNotOwner, Message: "typed", Verdict: verdict.Done}
	}
	return m, nil
}

func (o *checker) runCount(number int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[number]
}

// listen opens a port and leads the gate to it.
func (g *blockableNetwork) listen(t interface{ Fatal(...any) }) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.target = l.Addr().String()
	return l
}

type outcome struct {
	number int
	answer message
	err    error
}

// check holds an ended call against the runs the handler has seen by then or later.
func (o *checker) check(t *rapid.T, c outcome) {
	runs := o.runCount(c.number)
	if runs > 1 {
		t.Fatalf("call %d ran %d times", c.number, runs)
	}
	var failure *Error
	if c.err != nil && !errors.As(c.err, &failure) {
		t.Fatalf("call %d: error of another type: %v", c.number, c.err)
	}
	switch {
	case c.err == nil && (c.answer.Number != c.number || runs != 1):
		t.Fatalf("call %d got the answer of %d, runs %d", c.number, c.answer.Number, runs)
	case failure != nil && failure.Verdict == verdict.NotRun && runs != 0:
		t.Fatalf("call %d was told not run but ran: %v", c.number, c.err)
	case failure != nil && failure.Code == CodeNotOwner && (c.number%5 != 0 || failure.Verdict != verdict.Done):
		t.Fatalf("call %d got another's error: %v", c.number, c.err)
	}
}

// TestVerdictsUnderFaults drives calls over held and cut connections and server
// restarts, and holds each verdict against what the handler saw.
func TestVerdictsUnderFaults(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		g := newBlockableNetwork()
		o := &checker{runs: map[int]int{}, unblock: make(chan struct{})}
		opts := Options{Dial: g.dial, MaxHandlersPerMethod: 3, MaxMessageBytes: 4096,
			Backoff: time.Microsecond, MaxBackoff: time.Microsecond, StallTimeout: time.Millisecond}
		client := NewClient(opts, event.Discard{})
		defer client.Close()
		start := func(l net.Listener) *Server {
			s := NewServer(opts, event.Discard{})
			s.Handle("test.echo", o.handle)
			go func() { _ = s.Serve(context.Background(), l) }()
			return s
		}
		server := start(g.listen(t))
		var calls sync.WaitGroup
		var ended []outcome
		var mu sync.Mutex
		next := 0
		release := func() {
			o.mu.Lock()
			close(o.unblock)
			o.unblock = make(chan struct{})
			o.mu.Unlock()
		}
		stop := func(s *Server) {
			done := make(chan struct{})
			go func() { _ = s.Shutdown(context.Background()); close(done) }()
			for {
				release()
				select {
				case <-done:
					return
				case <-time.After(time.Millisecond):
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { proptest.Step() },
			"call": func(t *rapid.T) {
				next++
				number := next
				method := rapid.SampledFrom([]Method{"test.echo", "test.echo", "test.echo", "test.absent"}).Draw(t, "method")
				patience := time.Duration(rapid.IntRange(1, 40).Draw(t, "patience")) * 100 * time.Microsecond
				calls.Add(1)
				go func() {
					defer calls.Done()
					ctx, cancel := context.WithTimeout(context.Background(), patience)
					defer cancel()
					var answer message
					err := client.Call(ctx, "vm", method, message{number}, &answer)
					mu.Lock()
					defer mu.Unlock()
					ended = append(ended, outcome{number, answer, err})
				}()
			},
			"hold": func(t *rapid.T) {
				g.setBlocked(rapid.SampledFrom([]direction{toServer, toClient}).Draw(t, "direction"), rapid.Bool().Draw(t, "held"))
			},
			"cut":    func(*rapid.T) { g.closeConns() },
			"answer": func(*rapid.T) { release() },
			"settle": func(*rapid.T) { time.Sleep(200 * time.Microsecond) },
			"restart": func(t *rapid.T) {
				stop(server)
				server = start(g.listen(t))
			},
		})
		calls.Wait()
		g.setBlocked(toServer, false)
		g.setBlocked(toClient, false)
		time.Sleep(time.Millisecond)
		stop(server)
		for _, c := range ended {
			o.check(t, c)
		}
	})
}

// TestLateCallIsNotRun holds a call back until its deadline is over.
func TestLateCallIsNotRun(t *testing.T) {
	g := newBlockableNetwork()
	o := &checker{runs: map[int]int{}, unblock: make(chan struct{})}
	close(o.unblock)
	opts := Options{Dial: g.dial}
	server := NewServer(opts, event.Discard{})
	server.Handle("test.echo", o.handle)
	l := g.listen(t)
	go func() { _ = server.Serve(context.Background(), l) }()
	client := NewClient(opts, event.Discard{})
	defer client.Close()
	call := func(number int, patience time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		return client.Call(ctx, l.Addr().String(), "test.echo", message{number}, nil)
	}
	if err := call(1, time.Minute); err != nil {
		t.Fatal(err)
	}
	g.setBlocked(toServer, true)
	var failure *Error
	if err := call(2, 20*time.Millisecond); !errors.As(err, &failure) || failure.Verdict != verdict.MayHaveRun {
		t.Fatalf("held call: %v", err)
	}
	g.setBlocked(toServer, false)
	if err := call(3, time.Minute); err != nil {
		t.Fatal(err)
	}
	if err := server.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	if o.runCount(2) != 0 || o.runCount(3) != 1 {
		t.Fatalf("runs %v: the late call ran", o.runs)
	}
}

// BenchmarkCall measures a call and its answer over loopback.
func BenchmarkCall(b *testing.B) {
	server := NewServer(Options{}, event.Discard{})
	server.Handle("test.echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
	l := newBlockableNetwork().listen(b)
	go func() { _ = server.Serve(context.Background(), l) }()
	client := NewClient(Options{}, event.Discard{})
	defer client.Close()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := client.Call(context.Background(), l.Addr().String(), "test.echo", message{1}, nil); err != nil {
				b.Error(err)
			}
		}
	})
	_ = server.Shutdown(context.Background())
}
