package api

import (
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
	"filbertcross/internal/sheet"
)

// Headers of requests and answers.
const (
	HeaderVerdict        = "Filbertcross-Verdict"        // on every answer: done, not-run or may-have-run
	HeaderRetryAfterMs   = "Filbertcross-Retry-After-Ms" // milliseconds; beside Retry-After in seconds
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Problem is the body of every error answer.
type Problem struct {
	Error        string          `json:"error"`
	Field        string          `json:"field,omitempty"` // the input that is wrong
	Verdict      string          `json:"verdict"`
	RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
	Rows         []sheet.Problem `json:"rows,omitempty"`      // of a sheet
	Conflicts    []string        `json:"conflicts,omitempty"` // what another operator changed
}

// SubmitJobRequest asks for a run of a workload. Zero fields take the sheet's values.
type SubmitJobRequest struct {
	Branch   model.BranchID   `json:"branch"`
	Workload model.WorkloadID `json:"workload"`
	Tasks    int              `json:"tasks,omitempty"`
	Deadline time.Time        `json:"deadline,omitzero"`
	// RunOnce jobs are not run again when a task may have run.
	RunOnce bool `json:"run_once,omitempty"`
}

// JobState sums up a job's tasks.
type JobState string

// The states of a job.
const (
	JobWaiting  JobState = "waiting"
	JobRunning  JobState = "running"
	JobDone     JobState = "done"
	JobFailed   JobState = "failed"
	JobCanceled JobState = "canceled"
)

// Job is a job as the interface shows it.
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
	Reason    string            `json:"reason,omitempty"`  // why tasks wait
	Filters   []schedule.Filter `json:"filters,omitempty"` // which filter turned down how many workers
	Tasks     []Task            `json:"tasks,omitempty"`
}

// Task is a task's place.
type Task struct {
	ID      model.TaskID    `json:"id"`
	Attempt int64           `json:"attempt"`
	Worker  model.WorkerID  `json:"worker,omitempty"`
	State   string          `json:"state"`
	Size    model.Resources `json:"size"` // granted
}

// Worker is a worker as its partition's owner sees it.
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

// SheetResult is the answer to an accepted sheet.
type SheetResult struct {
	Revision int64    `json:"revision"`
	Changes  []string `json:"changes"`
	Notices  []string `json:"notices,omitempty"`
}

// SheetStatus is one VM's configuration in force.
type SheetStatus struct {
	VM       model.VMID `json:"vm"`
	Revision int64      `json:"revision"`
	Since    time.Time  `json:"since,omitzero"`
	Problem  string     `json:"problem,omitempty"` // why the VM could not be asked
}

// Branch is a branch with its workloads in force.
type Branch struct {
	model.Branch
	Workloads []model.Workload `json:"workloads"`
}
