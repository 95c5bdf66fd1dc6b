package peer

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sourcegraph/jsonrpc2"

	"filbertcross/internal/event"
	"filbertcross/internal/verdict"
)

// Client implements Caller with one persistent connection per address.
type Client struct {
	opts      Options
	recorder  event.Recorder
	ctx       context.Context // canceled by Close
	cancel    context.CancelFunc
	started   time.Time
	prefix    string // of call ids; unique to this Client
	callCount atomic.Uint64

	mu    sync.Mutex
	links map[string]*link // by address
}

var _ Caller = (*Client)(nil)

// NewClient returns a Client. Connections are opened by the first call to an address.
func NewClient(opts Options, recorder event.Recorder) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		opts:     opts.withDefaults(),
		recorder: recorder,
		ctx:      ctx,
		cancel:   cancel,
		started:  time.Now(),
		prefix:   newPrefix(),
		links:    map[string]*link{},
	}
}

// prefixOffset is the index of the first byte of a UUID that is used in the prefix of call
// ids. Half a UUID keeps messages short.
const prefixOffset = 8

func newPrefix() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[prefixOffset:]) + "-"
}

// Close closes all connections. Calls in flight fail and may have run.
func (c *Client) Close() { c.cancel() }

// Call calls a method and waits for the response, until CallTimeout if ctx has no deadline.
// The request is sent at most once. A nil result discards the response's value. Errors are
// of type *Error, with verdict NotRun only if the handler cannot have run.
func (c *Client) Call(ctx context.Context, address string, m Method, params, result any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.opts.CallTimeout)
		defer cancel()
	}
	if err := c.call(ctx, address, m, params, result); err != nil {
		return err
	}
	return nil
}

func (c *Client) call(ctx context.Context, address string, m Method, params, result any) *Error {
	if !c.applyFault(ctx, c.requestFault(address, m)) {
		return timeoutError(address, m)
	}
	l := c.link(address)
	s, failure := l.connect(ctx)
	if failure != nil {
		return failure
	}
	if ctx.Err() != nil {
		return &Error{Code: CodeTimeout, Message: string(m) + ": deadline exceeded before the request was sent", Verdict: verdict.NotRun}
	}
	data, failure := c.exchange(ctx, s, m, params)
	if failure != nil && failure.Code == CodeTimeout {
		l.closeIfStalled(s)
	}
	if failure == nil && !c.applyFault(ctx, c.responseFault(address, m)) {
		return timeoutError(address, m)
	}
	if failure != nil || result == nil {
		return failure
	}
	if err := json.Unmarshal(data, result); err != nil {
		return &Error{Code: CodeInvalid, Message: "decode response of " + string(m) + ": " + err.Error(), Verdict: verdict.MayHaveRun}
	}
	return nil
}

// exchange sends a request on the session and waits for the response. The request is sent
// in a separate goroutine, since a connection with a full send buffer can block the write
// past the deadline.
func (c *Client) exchange(ctx context.Context, s *session, m Method, params any) (json.RawMessage, *Error) {
	type sent struct {
		waiter jsonrpc2.Waiter
		err    error
	}
	meta := requestMeta{Deadline: s.clock.deadline(c.deadline(ctx)), Stamp: c.opts.Clock.Now()}
	dispatched := make(chan sent, 1)
	go func() {
		waiter, err := s.rpc.DispatchCall(ctx, string(m), params, c.nextID(), jsonrpc2.Meta(meta))
		dispatched <- sent{waiter, err}
	}()
	select {
	case d := <-dispatched:
		if d.err != nil {
			return nil, unsentError(m, d.err)
		}
		var data json.RawMessage
		err := d.waiter.Wait(ctx, &data)
		return data, responseError(m, err)
	case <-ctx.Done():
		return nil, timeoutError("", m)
	}
}

// unsentError returns the error of a request that was not completely written, so that the
// peer cannot have decoded it.
func unsentError(m Method, err error) *Error {
	code := CodeUnreachable
	if errors.Is(err, errTooLarge) {
		code = CodeInvalid
	}
	return &Error{Code: code, Message: string(m) + ": " + err.Error(), Verdict: verdict.NotRun}
}

// responseError returns the error of a call whose request was sent, or nil if err is nil.
func responseError(m Method, err error) *Error {
	var wire *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &wire):
		return fromWireError(wire)
	case errors.Is(err, jsonrpc2.ErrClosed):
		return &Error{Code: CodeUnreachable, Message: string(m) + ": connection lost", Verdict: verdict.MayHaveRun}
	default:
		return &Error{Code: CodeTimeout, Message: string(m) + ": " + err.Error(), Verdict: verdict.MayHaveRun}
	}
}

func timeoutError(address string, m Method) *Error {
	return &Error{Code: CodeTimeout, Message: string(m) + ": no response before the deadline " + address, Verdict: verdict.MayHaveRun}
}

func (c *Client) requestFault(address string, m Method) Fault {
	if c.opts.FaultInjector == nil {
		return Fault{}
	}
	return c.opts.FaultInjector.RequestFault(address, m)
}

func (c *Client) responseFault(address string, m Method) Fault {
	if c.opts.FaultInjector == nil {
		return Fault{}
	}
	return c.opts.FaultInjector.ResponseFault(address, m)
}

// applyFault waits for the delay of a fault and reports whether the message is passed on.
// For a dropped message it waits until ctx is done.
func (c *Client) applyFault(ctx context.Context, f Fault) bool {
	if f.Drop {
		<-ctx.Done()
		return false
	}
	if f.Delay == 0 {
		return true
	}
	select {
	case <-time.After(f.Delay):
		return true
	case <-ctx.Done():
		return false
	}
}

// link returns the link of an address. Before it creates one, it closes the links that have
// not been used for IdleTimeout.
func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.links[address]; ok {
		return l
	}
	for other, l := range c.links {
		if l.unusedFor(c.opts.IdleTimeout) {
			l.close()
			delete(c.links, other)
		}
	}
	l := &link{client: c, address: address}
	c.links[address] = l
	return l
}

// nextID returns a call id that is unique across processes.
func (c *Client) nextID() jsonrpc2.CallOption {
	id := c.prefix + strconv.FormatUint(c.callCount.Add(1), 36)
	return jsonrpc2.PickID(jsonrpc2.ID{Str: id, IsString: true})
}

// now returns the client's monotonic clock: the time since the Client was created.
func (c *Client) now() time.Duration { return time.Since(c.started) }

// deadline returns the deadline of ctx on the client's monotonic clock.
func (c *Client) deadline(ctx context.Context) time.Duration {
	at, _ := ctx.Deadline()
	return at.Sub(c.started)
}
