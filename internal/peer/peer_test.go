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

// blockableNetwork dials connections whose two directions can be blocked separately. Data
// sent in a blocked direction is delivered once it is unblocked.
type blockableNetwork struct {
	mu      sync.Mutex
	target  string // address that every dial connects to
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
	b := &blockableNetwork{blocked: map[direction]bool{}}
	b.cond = sync.NewCond(&b.mu)
	return b
}

func (b *blockableNetwork) dial(ctx context.Context, _ string) (net.Conn, error) {
	b.mu.Lock()
	target := b.target
	b.mu.Unlock()
	conn, err := dialTCP(ctx, target)
	if err != nil {
		return nil, err
	}
	near, far := net.Pipe()
	b.mu.Lock()
	b.conns = append(b.conns, conn)
	b.mu.Unlock()
	go b.forward(conn, far, toServer)
	go b.forward(far, conn, toClient)
	return near, nil
}

func (b *blockableNetwork) forward(to, from net.Conn, d direction) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 1<<16)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		b.mu.Lock()
		for b.blocked[d] {
			b.cond.Wait()
		}
		b.mu.Unlock()
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (b *blockableNetwork) setBlocked(d direction, blocked bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.blocked[d] = blocked
	b.cond.Broadcast()
}

func (b *blockableNetwork) closeConns() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, conn := range b.conns {
		_ = conn.Close()
	}
	b.conns = nil
}

type message struct{ Number int }

// callChecker counts the executions of each call and checks the results of calls.
type callChecker struct {
	mu      sync.Mutex
	runs    map[int]int
	unblock chan struct{}
}

func (c *callChecker) handle(ctx context.Context, params json.RawMessage) (any, error) {
	var m message
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.runs[m.Number]++
	unblock := c.unblock
	c.mu.Unlock()
	<-unblock
	if m.Number%5 == 0 {
		return nil, &Error{Code: CodeNotOwner, Message: "typed", Verdict: verdict.Done}
	}
	return m, nil
}

func (c *callChecker) runCount(number int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[number]
}

// listen opens a listener and makes it the target of the network.
func (b *blockableNetwork) listen(t interface{ Fatal(...any) }) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.target = l.Addr().String()
	return l
}

type outcome struct {
	number   int
	response message
	err      error
}

// check compares the result of a call with the number of its executions. It is called
// after all handlers have returned.
func (c *callChecker) check(t *rapid.T, o outcome) {
	runs := c.runCount(o.number)
	if runs > 1 {
		t.Fatalf("call %d was executed %d times", o.number, runs)
	}
	var failure *Error
	if o.err != nil && !errors.As(o.err, &failure) {
		t.Fatalf("call %d: error is not an *Error: %v", o.number, o.err)
	}
	switch {
	case o.err == nil && (o.response.Number != o.number || runs != 1):
		t.Fatalf("call %d got the response of call %d; executions: %d", o.number, o.response.Number, runs)
	case failure != nil && failure.Verdict == verdict.NotRun && runs != 0:
		t.Fatalf("call %d returned verdict not run but was executed: %v", o.number, o.err)
	case failure != nil && failure.Code == CodeNotOwner && (o.number%5 != 0 || failure.Verdict != verdict.Done):
		t.Fatalf("call %d got the error of another call: %v", o.number, o.err)
	}
}

// Calls run over blocked and closed connections and through server restarts. The verdict of
// each must agree with the executions that the handler counted.
func TestVerdictsUnderFaults(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		network := newBlockableNetwork()
		checker := &callChecker{runs: map[int]int{}, unblock: make(chan struct{})}
		opts := Options{Dial: network.dial, MaxHandlersPerMethod: 3, MaxMessageBytes: 4096,
			Backoff: time.Microsecond, MaxBackoff: time.Microsecond, StallTimeout: time.Millisecond}
		client := NewClient(opts, event.Discard{})
		defer client.Close()
		start := func(l net.Listener) *Server {
			s := NewServer(opts, event.Discard{})
			s.Handle("test.echo", checker.handle)
			go func() { _ = s.Serve(context.Background(), l) }()
			return s
		}
		server := start(network.listen(t))
		var calls sync.WaitGroup
		var outcomes []outcome
		var mu sync.Mutex
		next := 0
		release := func() {
			checker.mu.Lock()
			close(checker.unblock)
			checker.unblock = make(chan struct{})
			checker.mu.Unlock()
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
			"": func(*rapid.T) { proptest.CountStep() },
			"call": func(t *rapid.T) {
				next++
				number := next
				method := rapid.SampledFrom([]Method{"test.echo", "test.echo", "test.echo", "test.absent"}).Draw(t, "method")
				timeout := time.Duration(rapid.IntRange(1, 40).Draw(t, "patience")) * 100 * time.Microsecond
				calls.Add(1)
				go func() {
					defer calls.Done()
					ctx, cancel := context.WithTimeout(context.Background(), timeout)
					defer cancel()
					var response message
					err := client.Call(ctx, "vm", method, message{number}, &response)
					mu.Lock()
					defer mu.Unlock()
					outcomes = append(outcomes, outcome{number, response, err})
				}()
			},
			"hold": func(t *rapid.T) {
				network.setBlocked(rapid.SampledFrom([]direction{toServer, toClient}).Draw(t, "direction"), rapid.Bool().Draw(t, "held"))
			},
			"cut":    func(*rapid.T) { network.closeConns() },
			"answer": func(*rapid.T) { release() },
			"settle": func(*rapid.T) { time.Sleep(200 * time.Microsecond) },
			"restart": func(t *rapid.T) {
				stop(server)
				server = start(network.listen(t))
			},
		})
		calls.Wait()
		network.setBlocked(toServer, false)
		network.setBlocked(toClient, false)
		time.Sleep(time.Millisecond)
		stop(server)
		for _, o := range outcomes {
			checker.check(t, o)
		}
	})
}

// A request that is delayed in the network until after its deadline is not executed.
func TestLateCallIsNotRun(t *testing.T) {
	network := newBlockableNetwork()
	checker := &callChecker{runs: map[int]int{}, unblock: make(chan struct{})}
	close(checker.unblock)
	opts := Options{Dial: network.dial}
	server := NewServer(opts, event.Discard{})
	server.Handle("test.echo", checker.handle)
	l := network.listen(t)
	go func() { _ = server.Serve(context.Background(), l) }()
	client := NewClient(opts, event.Discard{})
	defer client.Close()
	call := func(number int, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return client.Call(ctx, l.Addr().String(), "test.echo", message{number}, nil)
	}
	if err := call(1, time.Minute); err != nil {
		t.Fatal(err)
	}
	network.setBlocked(toServer, true)
	var failure *Error
	if err := call(2, 20*time.Millisecond); !errors.As(err, &failure) || failure.Verdict != verdict.MayHaveRun {
		t.Fatalf("delayed call: %v", err)
	}
	network.setBlocked(toServer, false)
	if err := call(3, time.Minute); err != nil {
		t.Fatal(err)
	}
	if err := server.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	if checker.runCount(2) != 0 || checker.runCount(3) != 1 {
		t.Fatalf("executions %v: the delayed call was executed or the next one was not", checker.runs)
	}
}

// Guards against a malformed request of one VM that ends the process of another.
func TestPanicOfAHandlerFailsOnlyItsCall(t *testing.T) {
	server := NewServer(Options{}, event.Discard{})
	server.Handle("test.index", func(_ context.Context, params json.RawMessage) (any, error) {
		var m message
		if err := json.Unmarshal(params, &m); err != nil {
			return nil, err
		}
		return []int{1, 2}[m.Number], nil
	})
	l := newBlockableNetwork().listen(t)
	go func() { _ = server.Serve(context.Background(), l) }()
	client := NewClient(Options{}, event.Discard{})
	defer client.Close()
	var failure *Error
	if err := client.Call(context.Background(), l.Addr().String(), "test.index", message{9}, nil); !errors.As(err, &failure) || failure.Verdict != verdict.MayHaveRun {
		t.Fatalf("the call that panics: %v, want an error that it may have run", err)
	}
	if err := client.Call(context.Background(), l.Addr().String(), "test.index", message{1}, nil); err != nil {
		t.Fatalf("the next call: %v", err)
	}
	if err := server.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkCall measures calls and their responses over loopback.
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
