package owner

import (
	"context"
	"testing"
	"time"

	"filbertcross/internal/dispatch"
	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// countingWorkers counts the starts that are sent.
type startCounter struct {
	fleet.WorkerClient
	starts int
}

func (w *startCounter) StartRun(context.Context, fleet.Target, fleet.StartRequest) (int64, error) {
	w.starts++
	return 0, nil
}

// Pattern: the owner's VM has no processor time for a while after a decision (sweep at 300
// machines: two tasks ran twice). A successor may decide by the time the order could go out.
func TestStartIsNotSentOnceTheLeaseIsNotSurelyHeld(t *testing.T) {
	now := time.Second
	workers := &startCounter{}
	o := &Owner{
		opts:      Options{Workers: workers, Events: event.Discard{}, Clock: func() time.Duration { return now }},
		ownership: &Ownership{},
	}
	o.ownership.heldUntil.Store(int64(2 * time.Second))
	o.runCommand(context.Background(), dispatch.StartCommand{})
	if workers.starts != 1 {
		t.Fatalf("%d starts are sent while the lease is held", workers.starts)
	}
	now = 2 * time.Second
	o.runCommand(context.Background(), dispatch.StartCommand{})
	if workers.starts != 1 {
		t.Fatal("a start is sent although a successor may have been elected")
	}
}
