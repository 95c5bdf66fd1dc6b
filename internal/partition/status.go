package partition

import (
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// JobStatus is the status of a job as known to its partition.
type JobStatus struct {
	Job         model.Job            `json:"job"`
	Canceled    bool                 `json:"canceled"`
	Ended       bool                 `json:"ended"`
	Tasks       []TaskStatus         `json:"tasks"`
	Explanation schedule.Explanation `json:"explanation"`

	HandedTo     model.PartitionID `json:"handed_to,omitempty"`    // partition that knows the tasks' states; empty: this one
	Acknowledged bool              `json:"acknowledged,omitempty"` // HandedTo has logged the job
}

// TaskStatus is the status of a task as known to its partition.
type TaskStatus struct {
	Task    model.TaskID   `json:"task"`
	State   string         `json:"state"` // waiting, placed, running or the name of the outcome
	Attempt int64          `json:"attempt"`
	Worker  model.WorkerID `json:"worker,omitempty"`
	// Size is the size requested from the worker; zero while the task is on no worker.
	Size model.Resources `json:"size,omitzero"`
}

// JobFilter selects jobs; empty fields select all.
type JobFilter struct {
	Branch     model.BranchID
	Unfinished bool // only jobs that have not ended
}

// JobStatus returns the status of a durable job.
func (o *Owner) JobStatus(id model.JobID) (JobStatus, bool) {
	j := o.state.jobs[id]
	if j == nil || j.Rejected {
		return JobStatus{}, false
	}
	s := JobStatus{Job: j.Job, Canceled: j.Canceled, Ended: j.ended(), HandedTo: j.HandedTo, Acknowledged: j.Acknowledged}
	s.Explanation, _ = o.decider.Explain(id)
	for i, t := range j.Tasks {
		s.Tasks = append(s.Tasks, o.taskStatus(taskID(id, i), t))
	}
	return s, true
}

func (o *Owner) taskStatus(id model.TaskID, t taskState) TaskStatus {
	s := TaskStatus{Task: id, Attempt: t.Attempt, State: "waiting"}
	switch t.Phase {
	case taskOnWorker:
		s.State, s.Worker, s.Size = "placed", t.Worker, t.Size
		if a := o.attempts[id]; a != nil && a.phase >= attemptRunning && a.phase != attemptRecovered {
			s.State = "running"
		}
	case taskFinal:
		s.State = t.Outcome.String()
	}
	return s
}

// Jobs lists the selected jobs in the order of their submission.
func (o *Owner) Jobs(f JobFilter) []model.Job {
	var jobs []model.Job
	for _, j := range o.state.ordered() {
		if j.Rejected || j.Acknowledged {
			continue
		}
		if (f.Branch == "" || f.Branch == j.Job.Branch) && !(f.Unfinished && j.ended()) {
			jobs = append(jobs, j.Job)
		}
	}
	return jobs
}

// Summary returns the summary of the partition that heartbeats carry to other VMs. It is at
// most summaryMaxAge old.
func (o *Owner) Summary() membership.PartitionSummary {
	if o.now.Sub(o.summaryTakenAt) >= summaryMaxAge {
		o.summary, o.summaryTakenAt = o.computeSummary(), o.now
	}
	return o.summary
}

func (o *Owner) computeSummary() membership.PartitionSummary {
	s := membership.PartitionSummary{Epoch: o.opts.Epoch}
	for _, w := range o.workers {
		if w.usable() {
			s.Free = s.Free.Add(w.capacity.Sub(w.granted))
		}
	}
	for _, j := range o.state.jobs {
		s.Waiting += j.waiting()
	}
	return s
}

// waiting returns the number of the job's tasks that wait for a placement.
func (j *jobState) waiting() int {
	if j.Canceled || j.HandedTo != "" {
		return 0
	}
	n := 0
	for _, t := range j.Tasks {
		if t.Phase == taskWaiting {
			n++
		}
	}
	return n
}

// Explain returns why a job is waiting.
func (o *Owner) Explain(id model.JobID) (schedule.Explanation, bool) {
	return o.decider.Explain(id)
}

// WorkerStatus is the status of a worker as known to its partition.
type WorkerStatus struct {
	ID            model.WorkerID
	FailureDomain model.FailureDomain
	Rack          string
	Capacity      model.Resources
	Granted       model.Resources // sum of the sizes of attempts that may be running
	Tasks         int             // number of attempts that may be running
	State         string          // ready, leaving, silent, unlisted or reconciling
}

// Workers lists the workers by id.
func (o *Owner) Workers() []WorkerStatus {
	var list []WorkerStatus
	for _, w := range o.sortedWorkers() {
		list = append(list, WorkerStatus{
			ID: w.id, FailureDomain: w.domain, Rack: w.rack, Capacity: w.capacity,
			Granted: w.granted, Tasks: len(w.attempts), State: w.stateName(),
		})
	}
	return list
}

func (w *worker) stateName() string {
	switch {
	case !w.listed:
		return "unlisted"
	case w.pollFailed:
		return "silent"
	case !w.reconciled:
		return "reconciling"
	case w.leaving:
		return "leaving"
	}
	return "ready"
}
