package peer

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"filbertcross/internal/event"
	"filbertcross/internal/verdict"
)

// helloMethod is the first call on each connection. Its response gives the client the
// first reading of the server's clock.
const helloMethod = "peer.hello"

// requestMeta is sent with every request.
type requestMeta struct {
	Deadline time.Duration `json:"d"` // on the server's monotonic clock, see serverClock
	Stamp    event.Stamp   `json:"s"`
}

// responseMeta is sent with every response.
type responseMeta struct {
	Clock time.Duration `json:"c"` // the server's monotonic clock when the response was created
	Stamp event.Stamp   `json:"s"`
}

// errorData holds an Error's verdict in the data field of a JSON-RPC error.
type errorData struct {
	Verdict verdict.Verdict `json:"verdict"`
}

// toWireError converts a handler's error to a JSON-RPC error. An error that is not an
// *Error gets CodeInternal and verdict MayHaveRun.
func toWireError(err error) *jsonrpc2.Error {
	var typed *Error
	if !errors.As(err, &typed) {
		typed = &Error{Code: CodeInternal, Message: err.Error(), Verdict: verdict.MayHaveRun}
	}
	wire := &jsonrpc2.Error{Code: int64(typed.Code), Message: typed.Message}
	wire.SetError(errorData{Verdict: typed.Verdict})
	return wire
}

// fromWireError is the inverse of toWireError. The verdict is MayHaveRun if the error data
// cannot be decoded.
func fromWireError(wire *jsonrpc2.Error) *Error {
	e := &Error{Code: Code(wire.Code), Message: wire.Message, Verdict: verdict.MayHaveRun}
	var data errorData
	if wire.Data != nil && json.Unmarshal(*wire.Data, &data) == nil {
		e.Verdict = data.Verdict
	}
	return e
}

// clockWindow is the length of a serverClock's observation windows. It limits the age of
// the readings in use, and so the error due to drift between the two clocks.
const clockWindow = time.Minute

// serverClock converts deadlines to the monotonic clock of a server, so that the server can
// detect expired calls without synchronized wall clocks. Each response gives a lower bound
// of the offset between the clocks: the server's reading minus the client's time of
// receipt. The largest bound is too small by the shortest transit time of a response, so a
// converted deadline is early, never late.
type serverClock struct {
	mu       sync.Mutex
	current  clockBound // of the current window
	previous clockBound // of the window before it
}

// clockBound is the largest lower bound of the clock offset in one window.
type clockBound struct {
	openedAt time.Duration // start of the window on the client's clock
	offset   time.Duration
}

// observe records a reading of the server's clock received at the client's time now.
func (c *serverClock) observe(now, reading time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	bound := reading - now
	switch {
	case c.current.openedAt == 0:
		c.current = clockBound{openedAt: now, offset: bound}
		c.previous = c.current
	case now-c.current.openedAt > clockWindow:
		c.previous = c.current
		c.current = clockBound{openedAt: now, offset: bound}
	default:
		c.current.offset = max(c.current.offset, bound)
	}
}

// deadline converts a time of the client's clock to the server's clock.
func (c *serverClock) deadline(at time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return at + max(c.current.offset, c.previous.offset)
}
