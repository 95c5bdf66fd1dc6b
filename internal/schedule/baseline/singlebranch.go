package baseline

import (
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// mergedBranch is the branch under which SingleBranch submits every job.
const mergedBranch model.BranchID = "pooled"

// SingleBranch submits all jobs to a Decider under one branch, which disables fair share and
// quotas. The decisions that it returns name the jobs' own branches. Only one goroutine at a
// time may use it.
type SingleBranch struct {
	schedule.Decider
	branches map[model.JobID]model.BranchID
}

// NewSingleBranch returns a SingleBranch that wraps the Decider.
func NewSingleBranch(decider schedule.Decider) *SingleBranch {
	return &SingleBranch{
		Decider:  decider,
		branches: make(map[model.JobID]model.BranchID),
	}
}

// SetBranches implements schedule.Decider. It ignores shares and quotas.
func (b *SingleBranch) SetBranches(now time.Time, _ []model.Branch) {
	b.Decider.SetBranches(now, []model.Branch{{ID: mergedBranch, Share: 1}})
}

// Submit implements schedule.Decider. The workload ID gets the branch as a prefix, so that
// workloads of different branches stay distinct.
func (b *SingleBranch) Submit(now time.Time, job model.Job) schedule.Status {
	b.branches[job.ID] = job.Branch
	job.Workload = model.WorkloadID(string(job.Branch) + "/" + string(job.Workload))
	job.Branch = mergedBranch
	return b.Decider.Submit(now, job)
}

// Decide implements schedule.Decider.
func (b *SingleBranch) Decide(now time.Time, limit int) []schedule.Decision {
	decisions := b.Decider.Decide(now, limit)
	for i := range decisions {
		decisions[i].Branch = b.branches[decisions[i].Job]
		if decisions[i].Beneficiary != "" {
			decisions[i].Beneficiary = decisions[i].Branch
		}
	}
	return decisions
}
