package server

import (
	"filbertcross/internal/api"
	"filbertcross/internal/model"
	"filbertcross/internal/partition"
)

// jobView shows a job as the HTTP interface does.
func jobView(s partition.JobStatus) api.Job {
	view := api.Job{
		ID:        s.Job.ID,
		Branch:    s.Job.Branch,
		Workload:  s.Job.Workload,
		Kind:      s.Job.Kind,
		Submitted: s.Job.Submitted,
		Deadline:  s.Job.Deadline,
		Reason:    s.Explanation.Reason,
		Filters:   s.Explanation.Filters,
	}
	for _, task := range s.Tasks {
		view.Tasks = append(view.Tasks, api.Task{ID: task.Task, Attempt: task.Attempt, Worker: task.Worker, State: task.State, Size: task.Size})
		switch task.State {
		case "waiting":
			view.Waiting++
		case "placed", "running":
			view.Running++
		case model.OutcomeDone.String():
			view.Done++
		default:
			view.Failed++
		}
	}
	view.State = jobState(s, view)
	return view
}

func jobState(s partition.JobStatus, view api.Job) api.JobState {
	switch {
	case s.Canceled:
		return api.JobCanceled
	case s.Ended && view.Failed > 0:
		return api.JobFailed
	case s.Ended:
		return api.JobDone
	case view.Waiting == 0:
		return api.JobRunning
	default:
		return api.JobWaiting
	}
}
