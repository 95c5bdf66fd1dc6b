package schedule

import (
	"time"

	"filbertcross/internal/model"
)

// Code classifies a Status and tells whether the job may be placed later.
type Code int

// Status codes.
const (
	Accepted      Code = iota
	Unschedulable      // does not fit now; may fit later without a change of the job
	NeverFits          // the workers, the branch or its quota are too small; checked again when they change
	Invalid            // the job is invalid and was not queued
)

// Status is the result of a submission.
type Status struct {
	Code   Code
	Reason string // human-readable; empty if accepted
}

// Worker describes a worker to the scheduler.
type Worker struct {
	ID            model.WorkerID
	FailureDomain model.FailureDomain
	Rack          string
	Capacity      model.Resources
	Leaving       bool // accepts no new task; its restartable tasks are moved away
	Unreachable   bool // accepts no new task; its tasks still hold capacity
}

// Action is the operation that a Decision requests.
type Action int

// Actions. ActionPlace and ActionProbe assume a placement, which holds capacity until it is
// confirmed or forgotten. After the other actions the task holds its capacity until Finish
// reports the end of the run.
const (
	ActionPlace    Action = iota // start the task on the worker
	ActionPreempt                // checkpoint and stop the task, which is queued again
	ActionStop                   // stop the task for good: the job was canceled or abandoned
	ActionMove                   // as ActionPreempt, but prefer another worker: this one is leaving or short of memory
	ActionThrottle               // limit the task's usage to Limit
	ActionProbe                  // start the task on a quarantined worker as its probe
)

// Decision is a command that the caller of Decide carries out.
type Decision struct {
	Action      Action
	Task        model.TaskID
	Job         model.JobID
	Branch      model.BranchID
	Worker      model.WorkerID
	Size        model.Resources // grant of ActionPlace and ActionProbe
	Limit       model.Resources // for ActionThrottle
	Beneficiary model.BranchID  // of ActionPreempt: the branch that gets the capacity
	Reason      string
	// Group is non-zero and equal for the tasks of a gang that must be committed together.
	Group int64
}

// Placement is a task that already holds capacity on a worker.
type Placement struct {
	Task    model.TaskID
	Job     model.JobID
	Worker  model.WorkerID
	Size    model.Resources // as granted
	Started time.Time
}

// Usage is a task's resource usage as last reported by its worker; it lags behind.
type Usage struct {
	Task    model.TaskID
	Worker  model.WorkerID
	Used    model.Resources
	RunTime time.Duration
}

// Filter counts the workers that one filter rejected.
type Filter struct {
	Name    string `json:"name"`
	Workers int    `json:"workers"`
}

// Explanation describes why tasks of a job wait.
type Explanation struct {
	Job     model.JobID `json:"job"`
	Waiting int         `json:"waiting"`
	Running int         `json:"running"`
	Done    int         `json:"done"`
	Reason  string      `json:"reason"`
	Filters []Filter    `json:"filters"`
}

// Decider is the interface of a scheduler: it receives events and returns decisions. It does
// no I/O and reads no clock. Only one goroutine at a time may use it.
type Decider interface {
	// SetBranches replaces the branches' shares and quotas.
	SetBranches(now time.Time, branches []model.Branch)
	// UpsertWorker adds a worker or updates its state. A worker whose capacity falls below
	// its grants accepts no new task until enough tasks have ended.
	UpsertWorker(now time.Time, w Worker)
	// RemoveWorker removes a worker. The caller must not call it while a task holds capacity on
	// the worker.
	RemoveWorker(now time.Time, id model.WorkerID)
	// Submit queues the job's tasks.
	Submit(now time.Time, job model.Job) Status
	// Adopt records that a task already holds capacity, for example after a recovery.
	Adopt(now time.Time, p Placement)
	// Cancel removes a job's waiting tasks. Decide returns ActionStop for its running tasks.
	Cancel(now time.Time, job model.JobID)
	// Observe processes a usage report.
	Observe(now time.Time, u Usage)
	// Finish frees the capacity of a task's run. The task is queued again unless the outcome
	// is done or canceled, the job was canceled or abandoned, its retries are exhausted, or
	// the task started and its job is not restartable.
	Finish(now time.Time, task model.TaskID, outcome model.Outcome)
	// Decide returns at most limit new decisions.
	Decide(now time.Time, limit int) []Decision
	// Confirm makes an assumed placement final, once its log entry is durable.
	Confirm(now time.Time, task model.TaskID)
	// Forget reverts an assumed placement. The task is queued again at its old position.
	Forget(now time.Time, task model.TaskID)
	// Explain returns why the job waits, or false if the job is unknown.
	Explain(job model.JobID) (Explanation, bool)
}
