package owner

import (
	"context"
	"testing"
	"time"

	"filbertcross/internal/dispatch"
	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// startCounter counts the start commands sent to workers.
type startCounter struct {
	fleet.WorkerClient
	starts int
}

func (w *startCounter) StartRun(context.Context, fleet.Target, fleet.StartRequest) (int64, error) {
	w.starts++
	return 0, nil
}

// The owner's VM may get no CPU time for a while after a decision; a successor may be elected
// before the start command is sent (sweep at 300 machines: two tasks ran twice).
func TestStartIsNotSentAfterLeaseExpiry(t *testing.T) {
	now := time.Second
	workers := &startCounter{}
	o := &Owner{
		opts:      Options{Workers: workers, Events: event.Discard{}, Clock: func() time.Duration { return now }},
		ownership: &Ownership{},
	}
	o.ownership.heldUntil.Store(int64(2 * time.Second))
	o.runCommand(context.Background(), dispatch.StartCommand{})
	if workers.starts != 1 {
		t.Fatalf("%d starts sent while the lease is held, want 1", workers.starts)
	}
	now = 2 * time.Second
	o.runCommand(context.Background(), dispatch.StartCommand{})
	if workers.starts != 1 {
		t.Fatal("start sent although a successor may have been elected")
	}
}
