package linearize

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"filbertcross/internal/platform"
)

// method is a call that the history holds.
type method int

const (
	methodGet method = iota
	methodCompareAndSwap
	methodDelete
)

// outcome is the class of an answer.
type outcome int

const (
	outcomeOK outcome = iota
	outcomeConflict
	outcomeNotFound
	outcomeUncertain   // took effect or not, now or later
	outcomeUnavailable // no effect
	outcomeUnknown     // an error that the contract of the store does not name
)

// call is the input of an operation.
type call struct {
	method   method
	key      string
	value    string
	expected platform.Revision
}

// answer is the output of an operation.
type response struct {
	outcome  outcome
	value    string
	revision platform.Revision
}

// History collects the calls of all clients. Safe for concurrent use.
type History struct {
	clock atomic.Int64 // orders calls and answers

	mu         sync.Mutex
	operations []porcupine.Operation
}

// Client returns a store that passes calls on and records them under the client's number.
// A client makes one call at a time.
func (h *History) Client(id int, inner platform.Store) platform.Store {
	return &recordingClient{Store: inner, id: id, history: h}
}

// Len returns the number of calls recorded.
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

// client records the calls of one client; List and Watch are passed on unrecorded.
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

// CompareAndSwap implements platform.Store. Values are taken to be unique.
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
