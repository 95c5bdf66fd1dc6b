package linearize

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"filbertcross/internal/platform"
)

// method is a recorded method of platform.Store.
type method int

const (
	methodGet method = iota
	methodCompareAndSwap
	methodDelete
)

// outcome is the class of a call's result.
type outcome int

const (
	outcomeOK outcome = iota
	outcomeConflict
	outcomeNotFound
	outcomeUncertain   // may have taken effect or may still take effect
	outcomeUnavailable // no effect
	outcomeUnknown     // an error that the contract of platform.Store does not define
)

// call is the input of an operation.
type call struct {
	method   method
	key      string
	value    string
	expected platform.Revision
}

// response is the output of an operation.
type response struct {
	outcome  outcome
	value    string
	revision platform.Revision
}

// History records the calls of all clients. It is safe for concurrent use.
type History struct {
	clock atomic.Int64 // logical time of the starts and ends of calls

	mu         sync.Mutex
	operations []porcupine.Operation
}

// Client returns a store that forwards calls to inner and records them with the client's
// number. A client must not make concurrent calls.
func (h *History) Client(id int, inner platform.Store) platform.Store {
	return &recordingClient{Store: inner, id: id, history: h}
}

// Len returns the number of recorded calls.
func (h *History) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.operations)
}

func (h *History) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, op)
}

// recordingClient records the calls of one client. List and Watch are not recorded.
type recordingClient struct {
	platform.Store
	id      int
	history *History
}

func (c *recordingClient) record(in call, startedAt int64, out response) {
	c.history.add(porcupine.Operation{
		ClientId: c.id,
		Input:    in,
		Call:     startedAt,
		Output:   out,
		Return:   c.history.clock.Add(1),
	})
}

// Get implements platform.Store.
func (c *recordingClient) Get(ctx context.Context, key string) (platform.Entry, error) {
	startedAt := c.history.clock.Add(1)
	e, err := c.Store.Get(ctx, key)
	out := response{outcome: classify(err), value: string(e.Value), revision: e.Revision}
	c.record(call{method: methodGet, key: key}, startedAt, out)
	return e, err
}

// CompareAndSwap implements platform.Store. The values that all clients write must be
// unique.
func (c *recordingClient) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Revision) (platform.Revision, error) {
	startedAt := c.history.clock.Add(1)
	revision, err := c.Store.CompareAndSwap(ctx, key, value, expected)
	in := call{method: methodCompareAndSwap, key: key, value: string(value), expected: expected}
	c.record(in, startedAt, response{outcome: classify(err), revision: revision})
	return revision, err
}

// Delete implements platform.Store.
func (c *recordingClient) Delete(ctx context.Context, key string, expected platform.Revision) error {
	startedAt := c.history.clock.Add(1)
	err := c.Store.Delete(ctx, key, expected)
	in := call{method: methodDelete, key: key, expected: expected}
	c.record(in, startedAt, response{outcome: classify(err)})
	return err
}

func classify(err error) outcome {
	switch {
	case err == nil:
		return outcomeOK
	case errors.Is(err, platform.ErrConflict):
		return outcomeConflict
	case errors.Is(err, platform.ErrNotFound):
		return outcomeNotFound
	case errors.Is(err, platform.ErrUncertain):
		return outcomeUncertain
	case errors.Is(err, platform.ErrUnavailable):
		return outcomeUnavailable
	}
	return outcomeUnknown
}
