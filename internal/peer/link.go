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

// link maintains one connection to an address and redials it after it was lost.
type link struct {
	client  *Client
	address string

	mu                  sync.Mutex
	session             *session
	dialing             chan struct{} // closed when the dial in flight ends; nil: none
	lastFailure         *Error        // error of the last failed dial
	consecutiveFailures int           // failed dials since the last successful one
	retryAt             time.Time     // no dial before this time
	lastUsed            time.Time
}

// session is a connection with its estimate of the server's clock.
type session struct {
	rpc          *jsonrpc2.Conn
	clock        serverClock
	lastReceived atomic.Int64 // client's clock at the last response, in nanoseconds
}

func (s *session) isOpen() bool {
	select {
	case <-s.rpc.DisconnectNotify():
		return false
	default:
		return true
	}
}

// connect returns the open connection or waits until ctx is done for a dial to succeed.
// During the backoff after a failed dial it returns that dial's error at once. An error
// means that the call was not sent.
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
			return nil, &Error{Code: CodeTimeout, Message: "no connection to " + l.address + " before the deadline", Verdict: verdict.NotRun}
		}
	}
}

// dial opens a connection and stores the result.
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

// backoff returns the delay before the next dial. It doubles with each consecutive failure
// up to MaxBackoff, and the second half of it is random.
func (l *link) backoff() time.Duration {
	o := l.client.opts
	wait := o.Backoff << min(l.consecutiveFailures, 16)
	wait = min(wait, o.MaxBackoff)
	return wait/2 + rand.N(wait/2+1)
}

// closeIfStalled closes a connection on which a call timed out if nothing was received for
// StallTimeout, so that the next call redials instead of waiting for TCP retransmissions.
func (l *link) closeIfStalled(s *session) {
	silent := l.client.now() - time.Duration(s.lastReceived.Load())
	if silent < l.client.opts.StallTimeout {
		return
	}
	if s.rpc.Close() == nil {
		l.client.recorder.Record(event.PeerStalled, l.address, silent)
	}
}

// unusedFor reports whether the link has not been used for longer than d.
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

// dial connects and calls helloMethod, which gives the first reading of the server's clock.
func (c *Client) dial(address string) (*session, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.DialTimeout)
	defer cancel()
	conn, err := c.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s := &session{}
	s.lastReceived.Store(int64(c.now()))
	onRecv := jsonrpc2.OnRecv(func(_ *jsonrpc2.Request, response *jsonrpc2.Response) { c.handleResponse(s, address, response) })
	s.rpc = jsonrpc2.NewConn(c.ctx, newStream(conn, c.opts), ignoreRequests{}, onRecv, jsonrpc2.SetLogger(discardLogger{}))
	start := time.Now()
	err = s.rpc.Call(ctx, helloMethod, nil, nil, c.nextID(), jsonrpc2.Meta(requestMeta{Stamp: c.opts.Clock.Now()}))
	if err != nil {
		_ = s.rpc.Close()
		return nil, err
	}
	c.recorder.Record(event.PeerConnected, address, time.Since(start))
	return s, nil
}

// handleResponse merges the clock reading and timestamp of a response. It is called for
// every response, including those after the deadline of their call.
func (c *Client) handleResponse(s *session, address string, response *jsonrpc2.Response) {
	now := c.now()
	s.lastReceived.Store(int64(now))
	var meta responseMeta
	if response == nil || response.Meta == nil || json.Unmarshal(*response.Meta, &meta) != nil {
		return
	}
	s.clock.observe(now, meta.Clock)
	if !c.opts.Clock.Observe(meta.Stamp) {
		c.recorder.Record(event.PeerClockAhead, address, meta.Stamp.Time())
	}
}

// ignoreRequests implements jsonrpc2.Handler on clients. Servers do not call their clients.
type ignoreRequests struct{}

func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
