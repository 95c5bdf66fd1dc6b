package fleet

import (
	"context"
	"time"

	"filbertcross/internal/model"
)

// WorkerEntry is a worker's own registration in the store.
type WorkerEntry struct {
	ID             model.WorkerID
	Service        string // worker pool it belongs to
	Address        string
	Domain         model.FailureDomain
	Draining       bool
	DrainRemaining time.Duration   // minimum time until a draining worker stops
	Capacity       model.Resources // may shrink and grow while the worker runs
	Outdated       bool            // the capacity may have shrunk since; set by the owner
	Labels         []string        // kind and rack
	Incarnation    int64           // start time in Unix milliseconds
	Machine        MachineID
}

// Outcome is how a run ended on its worker.
type Outcome int

// Outcomes of a run.
const (
	OutcomeUnknown Outcome = iota // a wire value that this version does not know
	OutcomeDone
	OutcomeFailed // through an error of the task or of the worker
	OutcomeStopped
	OutcomeLeaseExpired    // the lease on the worker expired
	OutcomeGangMemberEnded // another member of the gang ended
	OutcomeGangIncomplete  // the other members of the gang did not start
)

func (o Outcome) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}[o]
}

// RunID identifies one run of a task; Run increases with every start.
type RunID struct {
	Task TaskID
	Run  int64
}

// RunStatus is the state of a run in progress, as a worker reports it.
type RunStatus struct {
	RunID
	Checkpoint string
	Percent    int // progress
	Load       int // over the last 500 ms: tail latency in ms of a serving task, otherwise CPU in use
}

// RunResult is a finished run that has not been acknowledged yet.
type RunResult struct {
	Number int64 // increases within an incarnation, from 1
	RunID
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's response to a lease renewal.
type Report struct {
	Incarnation int64
	Clock       int64 // worker's monotonic clock in ms
	Running     []RunStatus
	Ended       []RunResult // in order of their numbers, from the first that is not acknowledged
	// MoreEnded is set if there may be further results, which are reported once those in Ended are acknowledged.
	// Invariant: a run that is in neither list has ended without a result only if this is not set.
	MoreEnded bool
}

// RenewRequest extends the lease of all runs on a worker and requests a Report of them.
type RenewRequest struct {
	Fence        int64
	Acknowledged int64         // the worker may discard results up to this number
	Deadline     int64         // new end of the lease in ms on the worker's clock; 0: unchanged
	Wait         time.Duration // maximum delay of the response while no run finishes
}

// StartRequest starts a run on a worker.
type StartRequest struct {
	RunID
	Spec       string
	Checkpoint string
	Ticket     string // from the queue's advice service; empty: none is needed
	Fence      int64
	Deadline   int64 // end of the lease in ms on the worker's clock
}

// PaceRequest limits the CPU time of a run to a percentage.
type PaceRequest struct {
	RunID
	Percent int
	Fence   int64
}

// RejectReason is why a worker or a machine rejected a command. A rejected command has no effect.
type RejectReason string

// Reject reasons; the last two come from machines only.
const (
	RejectedStaleFence     RejectReason = "fence"       // the receiver has seen a higher fencing token
	RejectedOldRun         RejectReason = "old-run"     // a run with this number or a higher one has ended or was stopped there
	RejectedDeadlinePassed RejectReason = "late"        // the deadline has passed on the worker's clock
	RejectedNoCapacity     RejectReason = "no-room"     // the worker lacks free capacity
	RejectedTicket         RejectReason = "ticket"      // the ticket is missing or expired
	RejectedIncarnation    RejectReason = "incarnation" // another incarnation responds at the address
	RejectedUnhealthy      RejectReason = "unhealthy"
	RejectedInvalid        RejectReason = "invalid"
	RejectedMachineBusy    RejectReason = "busy" // the machine is down or about to leave
	RejectedWave           RejectReason = "wave" // the machine does not belong to the wave
)

// Target addresses a worker. If another worker runs at the address, it rejects the command.
type Target struct {
	ID      model.WorkerID
	Address string
}

// WorkerClient sends commands to workers. Errors are *CallError; clock is the worker's
// monotonic clock in ms, 0 if the response has none. A rejection may have one. Safe for concurrent use.
type WorkerClient interface {
	StartRun(ctx context.Context, to Target, s StartRequest) (clock int64, err error)
	StopRun(ctx context.Context, to Target, run RunID, fence int64) (clock int64, err error)
	RenewLease(ctx context.Context, to Target, r RenewRequest) (Report, error)
	SetPace(ctx context.Context, to Target, p PaceRequest) (clock int64, err error)
}

// AdviceClient queries a queue's advice service for the workers that may run a step. Advise returns
// the ticket of each allowed worker and how long the tickets are valid.
type AdviceClient interface {
	Advise(ctx context.Context, step StepID, workers []model.WorkerID) (map[model.WorkerID]string, time.Duration, error)
}
