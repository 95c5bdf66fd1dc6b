package api

import (
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
	"filbertcross/internal/sheet"
)

// Headers of requests and responses.
const (
	HeaderVerdict        = "Filbertcross-Verdict"        // on every response: done, not-run or may-have-run
	HeaderRetryAfterMs   = "Filbertcross-Retry-After-Ms" // milliseconds; sent with Retry-After, which is in seconds
	HeaderIdempotencyKey = "Idempotency-Key"             // a repeated key returns the job of the first request
)

// Problem is the body of every error response.
type Problem struct {
	Error        string          `json:"error"`
	Field        string          `json:"field,omitempty"` // the invalid input
	Verdict      string          `json:"verdict"`
	RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
	Rows         []sheet.Problem `json:"rows,omitempty"`      // problems by row of a rejected sheet
	Conflicts    []string        `json:"conflicts,omitempty"` // changes by another operator since the base revision
}

// SubmitJobRequest requests a run of a workload. The sheet's value applies to each zero field.
type SubmitJobRequest struct {
	Branch   model.BranchID   `json:"branch"`
	Workload model.WorkloadID `json:"workload"`
	Tasks    int              `json:"tasks,omitempty"`
	Deadline time.Time        `json:"deadline,omitzero"`
	// RunOnce prevents a task that may have run from being run again.
	RunOnce bool `json:"run_once,omitempty"`
}

// JobState summarizes the states of a job's tasks.
type JobState string

// Job states.
const (
	JobWaiting  JobState = "waiting"
	JobRunning  JobState = "running"
	JobDone     JobState = "done"
	JobFailed   JobState = "failed"
	JobCanceled JobState = "canceled"
)

// Job is the status of a job. Waiting, Running, Done and Failed count its tasks.
type Job struct {
	ID        model.JobID       `json:"id"`
	Branch    model.BranchID    `json:"branch"`
	Workload  model.WorkloadID  `json:"workload"`
	Kind      model.Kind        `json:"kind"`
	State     JobState          `json:"state"`
	Waiting   int               `json:"waiting"`
	Running   int               `json:"running"`
	Done      int               `json:"done"`
	Failed    int               `json:"failed"`
	Submitted time.Time         `json:"submitted"`
	Deadline  time.Time         `json:"deadline,omitzero"`
	Reason    string            `json:"reason,omitempty"`  // why tasks are waiting, for people
	Filters   []schedule.Filter `json:"filters,omitempty"` // number of workers that each filter rejects
	Tasks     []Task            `json:"tasks,omitempty"`
}

// Task is the status of a task and its placement.
type Task struct {
	ID      model.TaskID    `json:"id"`
	Attempt int64           `json:"attempt"`
	Worker  model.WorkerID  `json:"worker,omitempty"`
	State   string          `json:"state"`
	Size    model.Resources `json:"size"` // granted resources
}

// Worker is the status of a worker, as known to the owner of its partition.
type Worker struct {
	ID            model.WorkerID      `json:"id"`
	FailureDomain model.FailureDomain `json:"failure_domain"`
	Rack          string              `json:"rack"`
	Partition     model.PartitionID   `json:"partition"`
	Capacity      model.Resources     `json:"capacity"`
	Granted       model.Resources     `json:"granted"`
	Tasks         int                 `json:"tasks"`
	State         string              `json:"state"`
}

// SheetResult describes an accepted sheet, or in a diff what accepting it would change. In a
// diff, Revision is the active revision that the sheet is compared with.
type SheetResult struct {
	Revision int64    `json:"revision"`
	Changes  []string `json:"changes"`
	Notices  []string `json:"notices,omitempty"`
}

// SheetStatus is the active configuration of a VM.
type SheetStatus struct {
	VM       model.VMID `json:"vm"`
	Revision int64      `json:"revision"`
	Since    time.Time  `json:"since,omitzero"`    // time of activation by the VM's wall clock
	Problem  string     `json:"problem,omitempty"` // why the VM could not be queried
}

// Branch is a branch of the active configuration with its workloads.
type Branch struct {
	model.Branch
	Workloads []model.Workload `json:"workloads"`
}
