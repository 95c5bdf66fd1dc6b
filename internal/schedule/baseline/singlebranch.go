package baseline

import (
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// pooled is the branch under which OneBranch submits every job.
const mergedBranch model.BranchID = "pooled"

// SingleBranch hides the branches from a Decider, which so decides without fair share and
// quotas. Its decisions name the jobs' own branches.
type SingleBranch struct {
	schedule.Decider
	branches map[model.JobID]model.BranchID
}

// NewSingleBranch wraps the Decider.
func NewSingleBranch(decider schedule.Decider) *SingleBranch {
	return &SingleBranch{
		Decider:  decider,
		branches: make(map[model.JobID]model.BranchID),
	}
}

// SetBranches implements schedule.Decider; it drops shares and quotas.
func (b *SingleBranch) SetBranches(now time.Time, _ []model.Branch) {
	b.Decider.SetBranches(now, []model.Branch{{ID: mergedBranch, Share: 1}})
}

// Submit implements schedule.Decider.
func (b *SingleBranch) Submit(now time.Time, job model.Job) schedule.Status {
	b.branches[job.ID] = job.Branch
	job.Workload = model.WorkloadID(string(job.Branch) + "/" + string(job.Workload))
	job.Branch = mergedBranch
	return b.Decider.Submit(now, job)
}

// Decide implements schedule.Decider.
func (b *SingleBranch) Decide(now time.Time, limit int) []schedule.Decision {
	out := b.Decider.Decide(now, limit)
	for i := range out {
		out[i].Branch = b.branches[out[i].Job]
		if out[i].Beneficiary != "" {
			out[i].Beneficiary = out[i].Branch
		}
	}
	return out
}
