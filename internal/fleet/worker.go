package fleet

import (
	"context"
	"time"

	"filbertcross/internal/model"
)

// WorkerEntry is what a worker says of itself in the store.
type WorkerEntry struct {
	ID        model.WorkerID
	Service   string // pool it belongs to
	Address   string
	Domain    model.FailureDomain
	Draining  bool
	Remaining time.Duration // least time left while draining
	Capacity  model.Resources
	Labels    []string // kind and rack
	Born      int64    // incarnation: Unix millisecond of its start
	Machine   MachineID
}

// Outcome says how a run ended on its worker.
type Outcome int

// The outcomes of a run.
const (
	OutcomeUnknown Outcome = iota // a word this version does not know
	OutcomeDone
	OutcomeFailed // by its own fault or the worker's
	OutcomeStopped
	OutcomeLapsed // the worker's lease ran out
	OutcomeBroken // another member of the gang ended
	OutcomeAlone  // the other members of the gang did not come
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

// RunningRow is a run that a worker holds.
type RunningRow struct {
	RunID
	Checkpoint string
	Percent    int
	Load       int // tail latency in ms of a serving task, else CPU in use; of the last half second
}

// EndRow is a run that ended and that was not acknowledged yet.
type EndRow struct {
	Number int64 // rises within an incarnation, from 1
	RunID
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's answer to a hold.
type Report struct {
	Born    int64
	Clock   int64 // ms on the worker's steady clock
	Running []RunningRow
	Ended   []EndRow
}

// Hold extends the lease of all that runs on a worker and asks what runs there.
type Hold struct {
	Fence        int64
	Acknowledged int64         // ends up to this number may be forgotten
	Deadline     int64         // ms on the worker's clock; 0: the lease is left as it is
	Wait         time.Duration // the answer waits that long for an end
}

// Start asks a worker to begin a run.
type Start struct {
	RunID
	Spec       string
	Checkpoint string
	Ticket     string // of the queue's advice service; empty: none is needed
	Fence      int64
	Deadline   int64 // ms on the worker's clock
}

// Pace sets the share of processor time that a run may use.
type Pace struct {
	RunID
	Percent int
	Fence   int64
}

// Refusal is why a worker or a machine refused an order. Nothing was done.
type Refusal string

// The refusals of a worker.
const (
	RefusedFence       Refusal = "fence"       // it has seen a higher fencing token
	RefusedOld         Refusal = "old-run"     // a run as high was ended or stopped there
	RefusedLate        Refusal = "late"        // the deadline has passed on its clock
	RefusedRoom        Refusal = "no-room"     // it does not fit
	RefusedTicket      Refusal = "ticket"      // the ticket is missing or expired
	RefusedIncarnation Refusal = "incarnation" // another incarnation answers at the address
	RefusedUnhealthy   Refusal = "unhealthy"
	RefusedInvalid     Refusal = "invalid"
	RefusedBusy        Refusal = "busy" // the machine is not up, or about to leave
	RefusedWave        Refusal = "wave" // the machine is not of that wave
)

// Target addresses one incarnation of a worker.
type Target struct {
	ID      model.WorkerID
	Address string
}

// Workers sends orders to workers. Errors are *CallError. Safe for concurrent use.
type Workers interface {
	Start(ctx context.Context, to Target, s Start) (clock int64, err error)
	Stop(ctx context.Context, to Target, run RunID, fence int64) (clock int64, err error)
	Hold(ctx context.Context, to Target, h Hold) (Report, error)
	Pace(ctx context.Context, to Target, p Pace) (clock int64, err error)
}

// Advisor asks a queue's advice service which workers may run a step. The answer maps
// each allowed worker to its ticket.
type Advisor interface {
	Advise(ctx context.Context, step StepID, workers []model.WorkerID) (map[model.WorkerID]string, time.Duration, error)
}
