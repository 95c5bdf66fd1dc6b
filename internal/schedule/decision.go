package schedule

import (
	"time"

	"filbertcross/internal/model"
)

// Code is the class of a Status; it says whether trying again can help.
type Code int

// The codes of a Status.
const (
	Accepted      Code = iota
	Unschedulable      // nothing fits now; may fit later without a change of the job
	NeverFits          // no worker is large enough, or the quota is smaller than the job; reconsidered when workers or branches change
	Invalid            // the job itself is wrong; never reconsidered
)

// Status is the typed result of a submission.
type Status struct {
	Code   Code
	Reason string // for people; names the filter or field
}

// Worker is what the decision knows of a worker.
type Worker struct {
	ID            model.WorkerID
	FailureDomain model.FailureDomain
	Rack          string
	Capacity      model.Resources
	Leaving       bool // takes no new task and is emptied
	Unreachable   bool // takes no new task; its tasks still hold capacity
}

// Action is what a Decision asks for.
type Action int

// The actions. Place is assumed (holds capacity) until Confirm or Forget; the
// others leave the task's capacity held until Finish reports the run's end.
const (
	ActionPlace    Action = iota // start the task on the worker
	ActionPreempt                // checkpoint, then stop; the task is queued again
	ActionStop                   // stop for good (cancelled or by rule)
	ActionMove                   // checkpoint, then stop, and prefer another worker (leaving or misplaced)
	ActionThrottle               // limit the task to Limit
	ActionProbe                  // start the task on a quarantined worker as its probe
)

// Decision is one command of the scheduler to its host.
type Decision struct {
	Action      Action
	Task        model.TaskID
	Job         model.JobID
	Branch      model.BranchID
	Worker      model.WorkerID
	Size        model.Resources // granted, for ActionPlace and ActionProbe
	Limit       model.Resources // for ActionThrottle
	Beneficiary model.BranchID  // for ActionPreempt: the branch that gains
	Reason      string
	// Group is non-zero for the tasks of a gang that must be committed together.
	Group int64
}

// Placement is a task known to hold capacity on a worker.
type Placement struct {
	Task    model.TaskID
	Job     model.JobID
	Worker  model.WorkerID
	Size    model.Resources // as granted
	Started time.Time
}

// Usage is one observation from a worker's lagging report.
type Usage struct {
	Task    model.TaskID
	Worker  model.WorkerID
	Used    model.Resources
	RunTime time.Duration
}

// Filter counts the workers that one filter turned down.
type Filter struct {
	Name    string `json:"name"`
	Workers int    `json:"workers"`
}

// Explanation says why tasks of a job wait.
type Explanation struct {
	Job     model.JobID `json:"job"`
	Waiting int         `json:"waiting"`
	Running int         `json:"running"`
	Done    int         `json:"done"`
	Reason  string      `json:"reason"`
	Filters []Filter    `json:"filters"`
}

// Decider is the scheduler as its host sees it: events in, decisions out. It does no I/O,
// reads no clock and is used by one goroutine at a time.
type Decider interface {
	// SetBranches replaces the branches' shares and quotas.
	SetBranches(now time.Time, branches []model.Branch)
	// UpsertWorker adds a worker or changes its state. Capacity below what is granted
	// admits nothing new until tasks end.
	UpsertWorker(now time.Time, w Worker)
	// RemoveWorker forgets a worker on which no task holds capacity any more.
	RemoveWorker(now time.Time, id model.WorkerID)
	// Submit queues the job's tasks.
	Submit(now time.Time, job model.Job) Status
	// Adopt marks a queued task as holding capacity, as after a recovery.
	Adopt(now time.Time, p Placement)
	// Cancel removes a job's waiting tasks; its running ones come as ActionStop from Decide.
	Cancel(now time.Time, job model.JobID)
	// Observe learns from a usage report.
	Observe(now time.Time, u Usage)
	// Finish frees the capacity of a task's run. Unless the outcome is done or canceled,
	// or the job's retries are spent, the task is queued again.
	Finish(now time.Time, task model.TaskID, outcome model.Outcome)
	// Decide returns at most limit new decisions.
	Decide(now time.Time, limit int) []Decision
	// Confirm makes an assumed placement final: its log entry is durable.
	Confirm(now time.Time, task model.TaskID)
	// Forget takes an assumed placement back; the task is queued again at its old position.
	Forget(now time.Time, task model.TaskID)
	// Explain says why the job waits.
	Explain(job model.JobID) (Explanation, bool)
}
