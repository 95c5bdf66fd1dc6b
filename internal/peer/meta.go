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

// helloMethod is the greeting that gives a client its first reading of the
// server's clock.
const helloMethod = "peer.hello"

// requestMeta travels with every request.
type requestMeta struct {
	Deadline time.Duration `json:"d"` // on the server's clock, see serverClock
	Stamp    event.Stamp   `json:"s"`
}

// responseMeta travels with every answer.
type responseMeta struct {
	Clock time.Duration `json:"c"` // the server's clock when the answer was made
	Stamp event.Stamp   `json:"s"`
}

// errorData carries an Error's verdict beside jsonrpc2's code and message.
type errorData struct {
	Verdict verdict.Verdict `json:"verdict"`
}

// toWireError turns a handler's error into jsonrpc2's.
func toWireError(err error) *jsonrpc2.Error {
	var typed *Error
	if !errors.As(err, &typed) {
		typed = &Error{Code: CodeInternal, Message: err.Error(), Verdict: verdict.MayHaveRun}
	}
	wire := &jsonrpc2.Error{Code: int64(typed.Code), Message: typed.Message}
	wire.SetError(errorData{Verdict: typed.Verdict})
	return wire
}

// fromWireError is the inverse of toWire. An error that cannot be read may have run.
func fromWireError(wire *jsonrpc2.Error) *Error {
	e := &Error{Code: Code(wire.Code), Message: wire.Message, Verdict: verdict.MayHaveRun}
	var data errorData
	if wire.Data != nil && json.Unmarshal(*wire.Data, &data) == nil {
		e.Verdict = data.Verdict
	}
	return e
}

// clockWindow bounds the age of the readings that a serverClock relies on, and so
// the drift between the two clocks that can falsify them.
const clockWindow = time.Minute

// serverClock translates deadlines into the monotonic clock of one server, so
// that a late call is recognised without synchronised wall clocks. Each answer
// gives a lower bound of the offset between the clocks: the server's reading less
// the client's at arrival. The largest bound is off by the shortest time an
// answer travelled, and always to the early side.
type serverClock struct {
	mu       sync.Mutex
	current  clockBound // of the running window
	previous clockBound // of the window before
}

type clockBound struct {
	openedAt time.Duration // client's clock
	offset   time.Duration
}

// observe takes a server's reading that arrived at the client's time now.
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

// deadline translates a moment of the client's clock.
func (c *serverClock) deadline(at time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return at + max(c.current.offset, c.previous.offset)
}
