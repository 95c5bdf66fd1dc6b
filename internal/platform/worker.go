package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
)

// WorkerClock is a reading of a worker's own monotonic clock. Readings of
// different workers, or of one worker before and after a restart, do not compare.
type WorkerTime time.Duration

// Errors of workers. An error that is none of these leaves the outcome open.
var (
	// ErrStaleEpoch says the worker has accepted a newer epoch: nothing was done.
	ErrStaleEpoch = errors.New("worker: stale epoch")
	// ErrLeaseExpired says the lease had ended on the worker's clock on arrival: nothing was done.
	ErrLeaseExpired = errors.New("worker: lease expired on arrival")
	// ErrRefused says the worker turned the call down: nothing was done.
	ErrRefused = errors.New("worker: refused")
)

// Start asks a worker to run a task under a lease.
type StartRequest struct {
	Partition  model.PartitionID `json:"partition"`
	Epoch      int64             `json:"epoch"` // of the partition; the worker refuses one older than it has accepted
	Boot       string            `json:"boot"`  // the worker's boot the lease refers to
	Task       model.TaskID      `json:"task"`
	Attempt    int64             `json:"attempt"` // rises with every placement of the task
	Branch     model.BranchID    `json:"branch"`
	Workload   model.WorkloadID  `json:"workload"`
	Size       model.Resources   `json:"size"`
	LeaseUntil WorkerTime        `json:"lease_until"`
	Checkpoint string            `json:"checkpoint,omitempty"` // resume from it; empty: from the beginning
}

// Renewal extends the leases of tasks that a worker runs.
type LeaseRenewal struct {
	Partition  model.PartitionID `json:"partition"`
	Epoch      int64             `json:"epoch"`
	Boot       string            `json:"boot"`
	Tasks      []TaskRef         `json:"tasks"`
	LeaseUntil WorkerTime        `json:"lease_until"`
}

// TaskRef names one attempt of a task.
type TaskRef struct {
	Task    model.TaskID `json:"task"`
	Attempt int64        `json:"attempt"`
}

// TaskState is what a worker says of a task.
type TaskState string

// The states in a worker's report.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskExpired TaskState = "expired" // the lease ended; the task was stopped
	TaskStopped TaskState = "stopped"
)

// TaskReport is a worker's word on one attempt of a task. Ended attempts are
// reported until the owner acknowledges them with a Forget.
type TaskReport struct {
	TaskRef
	Partition  model.PartitionID `json:"partition"`
	Epoch      int64             `json:"epoch"` // of the grant
	State      TaskState         `json:"state"`
	LeaseUntil WorkerTime        `json:"lease_until"`
	Used       model.Resources   `json:"used"` // lags behind the present
	Ran        time.Duration     `json:"ran"`
	Checkpoint string            `json:"checkpoint,omitempty"` // the newest one
}

// Report is a worker's answer to a poll.
type WorkerReport struct {
	Worker   model.WorkerID  `json:"worker"`
	Boot     string          `json:"boot"`  // changes when the worker restarts
	Clock    WorkerTime      `json:"clock"` // at the moment of the answer
	Epoch    int64           `json:"epoch"` // the highest accepted for this partition
	Capacity model.Resources `json:"capacity"`
	Tasks    []TaskReport    `json:"tasks"`
}

// Worker is one worker's agent. Every call carries the epoch of the partition,
// and a worker that accepts it refuses an older one from then on.
// Methods are safe for concurrent use.
type Worker interface {
	// Report announces the epoch and returns what the worker runs.
	Report(ctx context.Context, partition model.PartitionID, epoch int64) (WorkerReport, error)
	// Start runs a task under a lease. It is idempotent for the same attempt.
	Start(ctx context.Context, s StartRequest) error
	// Renew extends leases and never shortens one; unknown tasks are skipped.
	Renew(ctx context.Context, r LeaseRenewal) error
	// Checkpoint saves the task's state and returns its name.
	Checkpoint(ctx context.Context, partition model.PartitionID, epoch int64, ref TaskRef) (string, error)
	// Throttle limits the task to the given resources.
	Throttle(ctx context.Context, partition model.PartitionID, epoch int64, ref TaskRef, limit model.Resources) error
	// Stop ends the task; when it returns nil the task is not running.
	Stop(ctx context.Context, partition model.PartitionID, epoch int64, ref TaskRef) error
	// Forget acknowledges ended attempts, which are then no longer reported.
	Forget(ctx context.Context, partition model.PartitionID, epoch int64, refs []TaskRef) error
}

// Workers finds the agent of a listed worker.
type WorkerResolver interface {
	Resolve(vm VM) Worker
}
