package fleet

import (
	"context"
	"time"

	"filbertcross/internal/model"
)

// MachineID identifies the hardware that a worker runs on. It outlives the worker: after its
// maintenance a machine runs another worker.
type MachineID string

// MaintenanceWave is an operators' request to maintain a set of machines.
type MaintenanceWave struct {
	Number      int64
	Machines    []MachineID
	StartWithin time.Duration // from the request until the maintenance of the last machine has started
	MaxParallel int           // machines that may be down for this wave at the same time
}

// WaveState is the state of a wave as reported to operators.
type WaveState int

// States of a wave.
const (
	WaveRunning   WaveState = iota
	WaveCompleted           // every machine that still exists has been maintained
)

// MaintenanceRequest takes a machine down immediately; everything that runs on it ends.
type MaintenanceRequest struct {
	Machine MachineID
	Wave    int64
	Fence   int64 // fencing token; a machine that has seen a higher one rejects the request
}

// MachineClient sends commands to the control plane of the hardware. Errors are *CallError.
type MachineClient interface {
	// StartMaintenance starts the maintenance of a machine. A repeated request succeeds without effect.
	StartMaintenance(ctx context.Context, m MaintenanceRequest) error
	// Capacities returns the capacities of the machines that run workers, by worker.
	Capacities(ctx context.Context) (map[model.WorkerID]model.Resources, error)
}
