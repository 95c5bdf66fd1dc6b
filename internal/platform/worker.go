package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
)

// WorkerTime is a reading of a worker's monotonic clock. Readings of different workers,
// or of one worker before and after a restart, are not comparable.
type WorkerTime time.Duration

// Errors of workers. After any other error the outcome of the call is unknown.
var (
	// ErrStaleEpoch means that the worker has accepted a newer epoch. The call had no effect.
	ErrStaleEpoch = errors.New("worker: stale epoch")
	// ErrLeaseExpired means that the lease had expired by the worker's clock when the call
	// arrived. The call had no effect.
	ErrLeaseExpired = errors.New("worker: lease expired on arrival")
	// ErrRefused means that the worker rejected the call. The call had no effect.
	ErrRefused = errors.New("worker: refused")
)

// StartRequest requests that a worker runs a task under a lease.
type StartRequest struct {
	Partition  model.PartitionID `json:"partition"`
	Epoch      int64             `json:"epoch"` // of the partition; the worker rejects an epoch older than one it has accepted
	Boot       string            `json:"boot"`  // boot of the worker to which LeaseUntil refers
	Task       model.TaskID      `json:"task"`
	Attempt    int64             `json:"attempt"` // increases with every placement of the task
	Branch     model.BranchID    `json:"branch"`
	Workload   model.WorkloadID  `json:"workload"`
	Size       model.Resources   `json:"size"`
	LeaseUntil WorkerTime        `json:"lease_until"`
	Checkpoint string            `json:"checkpoint,omitempty"` // checkpoint to resume from; empty: start from the beginning
}

// LeaseRenewal extends the leases of tasks that a worker runs.
type LeaseRenewal struct {
	Partition  model.PartitionID `json:"partition"`
	Epoch      int64             `json:"epoch"`
	Boot       string            `json:"boot"`
	Tasks      []TaskRef         `json:"tasks"`
	LeaseUntil WorkerTime        `json:"lease_until"`
}

// TaskRef identifies an attempt of a task.
type TaskRef struct {
	Task    model.TaskID `json:"task"`
	Attempt int64        `json:"attempt"`
}

// TaskState is the state of an attempt as its worker reports it.
type TaskState string

// The states of an attempt.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskExpired TaskState = "expired" // the lease expired and the worker stopped the task
	TaskStopped TaskState = "stopped"
)

// TaskReport is a worker's report on an attempt of a task. Terminated attempts are
// reported until the owner acknowledges them with Forget.
type TaskReport struct {
	TaskRef
	Partition  model.PartitionID `json:"partition"`
	Epoch      int64             `json:"epoch"` // epoch of the grant
	State      TaskState         `json:"state"`
	LeaseUntil WorkerTime        `json:"lease_until"`
	Used       model.Resources   `json:"used"` // current usage, reported with a delay
	Ran        time.Duration     `json:"ran"`
	Checkpoint string            `json:"checkpoint,omitempty"` // the newest checkpoint; empty: none
}

// WorkerReport is a worker's response to a poll.
type WorkerReport struct {
	Worker   model.WorkerID  `json:"worker"`
	Boot     string          `json:"boot"`  // changes when the worker restarts
	Clock    WorkerTime      `json:"clock"` // when the response was sent
	Epoch    int64           `json:"epoch"` // the highest epoch accepted for this partition
	Capacity model.Resources `json:"capacity"`
	Tasks    []TaskReport    `json:"tasks"`
}

// Worker is a client of a worker's agent. Every call includes the epoch of the
// partition. A worker that has accepted an epoch rejects calls with an older one.
// Methods are safe for concurrent use.
type Worker interface {
	// Report announces the epoch and returns the worker's capacity and tasks.
	Report(ctx context.Context, partition model.PartitionID, epoch int64) (WorkerReport, error)
	// Start starts a task under a lease. It is idempotent for the same attempt.
	Start(ctx context.Context, s StartRequest) error
	// Renew extends leases and never shortens a lease. Unknown tasks are skipped.
	Renew(ctx context.Context, r LeaseRenewal) error
	// Checkpoint saves the task's state and returns the name of the checkpoint.
	Checkpoint(ctx context.Context, partition model.PartitionID, epoch int64, ref TaskRef) (string, error)
	// Throttle limits the task to the given resources.
	Throttle(ctx context.Context, partition model.PartitionID, epoch int64, ref TaskRef, limit model.Resources) error
	// Stop stops the task. If it returns nil, the task is not running.
	Stop(ctx context.Context, partition model.PartitionID, epoch int64, ref TaskRef) error
	// Forget acknowledges terminated attempts, which are then no longer reported.
	Forget(ctx context.Context, partition model.PartitionID, epoch int64, refs []TaskRef) error
}

// WorkerResolver returns clients of the agents of listed workers.
type WorkerResolver interface {
	Resolve(vm VM) Worker
}
