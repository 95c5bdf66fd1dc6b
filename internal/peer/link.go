package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"filbertcross/internal/event"
	"filbertcross/internal/verdict"
)

// link keeps one connection to one address and dials it again when it broke.
type link struct {
	client  *Client
	address string

	mu                  sync.Mutex
	session             *session
	dialing             chan struct{} // closed when the dial under way has ended; nil: none
	lastFailure         *Error        // of the last dial
	consecutiveFailures int           // dials failed in a row
	retryAt             time.Time     // no dial before
	lastUsed            time.Time
}

// session is one connection with its estimate of the server's clock.
type session struct {
	rpc          *jsonrpc2.Conn
	clock        serverClock
	lastReceived atomic.Int64 // client's clock at the last answer
}

func (s *session) isOpen() bool {
	select {
	case <-s.rpc.DisconnectNotify():
		return false
	default:
		return true
	}
}

// connect returns the open connection, or waits for a dial within ctx. Its error
// means that nothing was sent.
func (l *link) connect(ctx context.Context) (*session, *Error) {
	for {
		l.mu.Lock()
		l.lastUsed = time.Now()
		if l.session != nil && l.session.isOpen() {
			defer l.mu.Unlock()
			return l.session, nil
		}
		if l.dialing == nil && time.Now().Before(l.retryAt) {
			defer l.mu.Unlock()
			return nil, l.lastFailure
		}
		if l.dialing == nil {
			l.dialing = make(chan struct{})
			go l.dial()
		}
		wait := l.dialing
		l.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, &Error{Code: CodeTimeout, Message: "no connection to " + l.address + " in time", Verdict: verdict.NotRun}
		}
	}
}

// dial opens a connection and notes the result.
func (l *link) dial() {
	session, err := l.client.dial(l.address)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	if err == nil {
		l.session, l.consecutiveFailures = session, 0
		return
	}
	backoff := l.backoff()
	l.consecutiveFailures++
	l.lastFailure = &Error{Code: CodeUnreachable, Message: err.Error(), Verdict: verdict.NotRun,
		NoListener: errors.Is(err, syscall.ECONNREFUSED)}
	l.retryAt = time.Now().Add(backoff)
	if l.consecutiveFailures == 1 {
		l.client.recorder.Record(event.PeerUnreachable, l.address, backoff, err.Error())
	}
}

// backoff doubles with every failure in a row and is spread by half.
func (l *link) backoff() time.Duration {
	o := l.client.opts
	wait := o.Backoff << min(l.consecutiveFailures, 16)
	wait = min(wait, o.MaxBackoff)
	return wait/2 + rand.N(wait/2+1)
}

// closeIfStalled closes a connection on which a call timed out and nothing has
// arrived for the stall timeout, so that the next call dials anew instead of
// waiting for TCP to repeat itself.
func (l *link) closeIfStalled(s *session) {
	silent := l.client.now() - time.Duration(s.lastReceived.Load())
	if silent < l.client.opts.StallTimeout {
		return
	}
	if s.rpc.Close() == nil {
		l.client.recorder.Record(event.PeerStalled, l.address, silent)
	}
}

// unusedFor reports whether the link has not been used for the time.
func (l *link) unusedFor(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialing == nil && time.Since(l.lastUsed) > d
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		_ = l.session.rpc.Close()
	}
}

// dial connects and greets, which gives the first reading of the server's clock.
func (c *Client) dial(address string) (*session, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.DialTimeout)
	defer cancel()
	conn, err := c.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s := &session{}
	s.lastReceived.Store(int64(c.now()))
	onRecv := jsonrpc2.OnRecv(func(_ *jsonrpc2.Request, answer *jsonrpc2.Response) { c.handleResponse(s, address, answer) })
	s.rpc = jsonrpc2.NewConn(c.ctx, newStream(conn, c.opts), ignoreRequests{}, onRecv, jsonrpc2.SetLogger(discardLogger{}))
	begun := time.Now()
	err = s.rpc.Call(ctx, helloMethod, nil, nil, c.nextID(), jsonrpc2.Meta(requestMeta{Stamp: c.opts.Clock.Now()}))
	if err != nil {
		_ = s.rpc.Close()
		return nil, err
	}
	c.recorder.Record(event.PeerConnected, address, time.Since(begun))
	return s, nil
}

// handleResponse merges what every answer carries, late ones included.
func (c *Client) handleResponse(s *session, address string, answer *jsonrpc2.Response) {
	now := c.now()
	s.lastReceived.Store(int64(now))
	var meta responseMeta
	if answer == nil || answer.Meta == nil || json.Unmarshal(*answer.Meta, &meta) != nil {
		return
	}
	s.clock.observe(now, meta.Clock)
	if !c.opts.Clock.Observe(meta.Stamp) {
		c.recorder.Record(event.PeerClockAhead, address, meta.Stamp.Time())
	}
}

// ignoreRequests ignores requests: servers do not call their clients.
type ignoreRequests struct{}

func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
