package fleet

import (
	"context"
	"time"

	"filbertcross/internal/model"
)

// WorkerEntry is what a worker says of itself in the store.
type WorkerEntry struct {
	ID             model.WorkerID
	Service        string // pool it belongs to
	Address        string
	Domain         model.FailureDomain
	Draining       bool
	DrainRemaining time.Duration // least time left while draining
	Capacity       model.Resources
	Labels         []string // kind and rack
	Incarnation    int64    // incarnation: Unix millisecond of its start
	Machine        MachineID
}

// Outcome says how a run ended on its worker.
type Outcome int

// The outcomes of a run.
const (
	OutcomeUnknown Outcome = iota // a word this version does not know
	OutcomeDone
	OutcomeFailed // by its own fault or the worker's
	OutcomeStopped
	OutcomeLeaseExpired    // the worker's lease ran out
	OutcomeGangMemberEnded // another member of the gang ended
	OutcomeGangIncomplete  // the other members of the gang did not come
)

// String names the outcome for logs.
func (o Outcome) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}[o]
}

// RunID names one run of a task: its number rises with every start.
type RunID struct {
	Task TaskID
	Run  int64
}

// RunStatus is a run that a worker holds.
type RunStatus struct {
	RunID
	Checkpoint string
	Percent    int
	Load       int // tail latency in ms of a serving task, else CPU in use; of the last half second
}

// RunResult is a run that ended and that was not acknowledged yet.
type RunResult struct {
	Number int64 // rises within an incarnation, from 1
	RunID
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's answer to a hold.
type Report struct {
	Incarnation int64
	Clock       int64 // ms on the worker's steady clock
	Running     []RunStatus
	Ended       []RunResult
}

// RenewRequest extends the lease of all that runs on a worker and asks what runs there.
type RenewRequest struct {
	Fence        int64
	Acknowledged int64         // ends up to this number may be forgotten
	Deadline     int64         // ms on the worker's clock; 0: the lease is left as it is
	Wait         time.Duration // the answer waits that long for an end
}

// StartRequest asks a worker to begin a run.
type StartRequest struct {
	RunID
	Spec       string
	Checkpoint string
	Ticket     string // of the queue's advice service; empty: none is needed
	Fence      int64
	Deadline   int64 // ms on the worker's clock
}

// PaceRequest sets the share of processor time that a run may use.
type PaceRequest struct {
	RunID
	Percent int
	Fence   int64
}

// RejectReason is why a worker or a machine refused an order. Nothing was done.
type RejectReason string

// The refusals of a worker.
const (
	RejectedStaleFence     RejectReason = "fence"       // it has seen a higher fencing token
	RejectedOldRun         RejectReason = "old-run"     // a run as high was ended or stopped there
	RejectedDeadlinePassed RejectReason = "late"        // the deadline has passed on its clock
	RejectedNoCapacity     RejectReason = "no-room"     // it does not fit
	RejectedTicket         RejectReason = "ticket"      // the ticket is missing or expired
	RejectedIncarnation    RejectReason = "incarnation" // another incarnation answers at the address
	RejectedUnhealthy      RejectReason = "unhealthy"
	RejectedInvalid        RejectReason = "invalid"
	RejectedMachineBusy    RejectReason = "busy" // the machine is not up, or about to leave
	RejectedWave           RejectReason = "wave" // the machine is not of that wave
)

// Target addresses one incarnation of a worker.
type Target struct {
	ID      model.WorkerID
	Address string
}

// WorkerClient sends orders to workers. Errors are *CallError. Safe for concurrent use.
type WorkerClient interface {
	StartRun(ctx context.Context, to Target, s StartRequest) (clock int64, err error)
	StopRun(ctx context.Context, to Target, run RunID, fence int64) (clock int64, err error)
	RenewLease(ctx context.Context, to Target, h RenewRequest) (Report, error)
	SetPace(ctx context.Context, to Target, p PaceRequest) (clock int64, err error)
}

// Advisor asks a queue's advice service which workers may run a step. The answer maps
// each allowed worker to its ticket.
type Advisor interface {
	Advise(ctx context.Context, step StepID, workers []model.WorkerID) (map[model.WorkerID]string, time.Duration, error)
}
