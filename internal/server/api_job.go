package server

import (
	"filbertcross/internal/api"
	"filbertcross/internal/model"
	"filbertcross/internal/partition"
)

// apiJob converts a job's status to its representation in the HTTP API.
func apiJob(s partition.JobStatus) api.Job {
	job := api.Job{
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
		job.Tasks = append(job.Tasks, api.Task{ID: task.Task, Attempt: task.Attempt, Worker: task.Worker, State: task.State, Size: task.Size})
		switch task.State {
		case "waiting":
			job.Waiting++
		case "placed", "running":
			job.Running++
		case model.OutcomeDone.String():
			job.Done++
		default:
			job.Failed++
		}
	}
	job.State = apiJobState(s, job)
	return job
}

func apiJobState(s partition.JobStatus, job api.Job) api.JobState {
	switch {
	case s.Canceled:
		return api.JobCanceled
	case s.Ended && job.Failed > 0:
		return api.JobFailed
	case s.Ended:
		return api.JobDone
	case job.Waiting == 0:
		return api.JobRunning
	default:
		return api.JobWaiting
	}
}
