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

// maintenanceCounter counts the maintenance commands sent to the control plane.
type maintenanceCounter struct {
	fleet.MachineClient
	calls int
}

func (m *maintenanceCounter) StartMaintenance(context.Context, fleet.MaintenanceRequest) error {
	m.calls++
	return nil
}

// Guards against an owner that was paused after a decision and takes a machine down on an expired
// lease. Where the control plane checks no fencing tokens, nothing else stops it.
func TestMaintenanceIsNotStartedAfterLeaseExpiry(t *testing.T) {
	now := time.Second
	machines := &maintenanceCounter{}
	o := &Owner{
		opts:      Options{Machines: machines, Events: event.Discard{}, Clock: func() time.Duration { return now }},
		ownership: &Ownership{},
	}
	o.ownership.heldUntil.Store(int64(2 * time.Second))
	o.runCommand(context.Background(), dispatch.MaintainCommand{})
	now = 7 * time.Second // the process was paused for 5 s
	o.runCommand(context.Background(), dispatch.MaintainCommand{})
	if machines.calls != 1 {
		t.Fatalf("%d commands sent, want only the one while the lease was held", machines.calls)
	}
}
