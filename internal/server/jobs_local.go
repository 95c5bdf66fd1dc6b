package server

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/api"
	"filbertcross/internal/model"
	"filbertcross/internal/partition"
	"filbertcross/internal/peer"
	"filbertcross/internal/schedule"
	"filbertcross/internal/verdict"
)

// The methods in this file serve requests for partitions that this VM owns. Each of them
// queries the control loop.

// callLocalOwner passes an input to the owner of a partition on this VM and waits for its
// Reply. The error is a *peer.Error.
func (j *jobService) callLocalOwner(ctx context.Context, home model.PartitionID, input func(o *partition.Owner, now time.Time, token partition.Token)) (partition.Reply, error) {
	token := partition.Token(j.tokens.Add(1))
	replies := make(chan partition.Reply, 1)
	owned, err := queryLoop(ctx, j.loop, func(c *controlState, now time.Time) bool {
		p, ok := c.partitions[home]
		if !ok {
			return false
		}
		p.pendingReplies[token] = replies
		input(p.owner, now, token)
		c.processCommands(p)
		return true
	})
	if err != nil {
		return partition.Reply{}, loopError(err)
	}
	if !owned {
		return partition.Reply{}, errNotOwner
	}
	select {
	case reply := <-replies:
		return reply, partitionError(reply.Err)
	case <-ctx.Done():
		return partition.Reply{}, partitionError(errors.Mark(ctx.Err(), partition.ErrOutcomeUnknown))
	}
}

// loopError returns the error of a query that the control loop did not answer in time. The
// query stays in the loop's queue and may still run.
func loopError(err error) *peer.Error {
	return &peer.Error{Code: peer.CodeTimeout, Message: "the control loop did not answer: " + err.Error(), Verdict: verdict.MayHaveRun}
}

func (j *jobService) submitLocal(ctx context.Context, job model.Job) (jobResponse, error) {
	home, ok := partition.JobPartition(job.ID)
	if !ok {
		return jobResponse{}, &peer.Error{Code: peer.CodeInvalid, Message: "the job's id names no partition", Verdict: verdict.NotRun}
	}
	reply, err := j.callLocalOwner(ctx, home, func(o *partition.Owner, now time.Time, token partition.Token) { o.Submit(now, token, job) })
	if err != nil {
		return jobResponse{}, err
	}
	switch reply.Status.Code {
	case schedule.NeverFits:
		return jobResponse{NeverFits: cmp.Or(reply.Status.Reason, "it never fits")}, nil
	case schedule.Invalid:
		return jobResponse{}, &peer.Error{Code: codeJobRejected, Message: reply.Status.Reason, Verdict: verdict.NotRun}
	}
	return j.statusLocal(ctx, jobRequest{reply.Job, home})
}

func (j *jobService) cancelLocal(ctx context.Context, m jobRequest) (cancelResponse, error) {
	reply, err := j.callLocalOwner(ctx, m.Partition, func(o *partition.Owner, now time.Time, token partition.Token) { o.Cancel(now, token, m.Job) })
	if !errors.Is(reply.Err, partition.ErrHandedOver) {
		return cancelResponse{}, err
	}
	status, err := j.statusLocal(ctx, m)
	return cancelResponse{HandedTo: status.HandedTo, Acknowledged: status.Acknowledged}, err
}

func (j *jobService) statusLocal(ctx context.Context, m jobRequest) (jobResponse, error) {
	type result struct {
		owned, found bool
		status       partition.JobStatus
	}
	r, err := queryLoop(ctx, j.loop, func(c *controlState, _ time.Time) (r result) {
		p, ok := c.partitions[m.Partition]
		if !ok {
			return r
		}
		r.owned = true
		r.status, r.found = p.owner.JobStatus(m.Job)
		return r
	})
	switch {
	case err != nil:
		return jobResponse{}, loopError(err)
	case !r.owned:
		return jobResponse{}, errNotOwner
	case !r.found:
		return jobResponse{}, partitionError(errors.Wrapf(partition.ErrUnknownJob, "%s", m.Job))
	}
	return jobResponse{Job: apiJob(r.status), HandedTo: r.status.HandedTo, Acknowledged: r.status.Acknowledged}, nil
}

func (j *jobService) listLocal(ctx context.Context, branch model.BranchID) ([]api.Job, error) {
	return queryLoop(ctx, j.loop, func(c *controlState, _ time.Time) []api.Job {
		var found []api.Job
		for _, p := range c.partitions {
			for _, job := range p.owner.Jobs(partition.JobFilter{Branch: branch}) {
				status, _ := p.owner.JobStatus(job.ID)
				summary := apiJob(status)
				summary.Tasks, summary.Filters = nil, nil
				found = append(found, summary)
			}
		}
		return found
	})
}

func (j *jobService) listWorkersLocal(ctx context.Context) ([]api.Worker, error) {
	return queryLoop(ctx, j.loop, func(c *controlState, _ time.Time) []api.Worker {
		var found []api.Worker
		for id, p := range c.partitions {
			for _, w := range p.owner.Workers() {
				found = append(found, api.Worker{
					ID:            w.ID,
					FailureDomain: w.FailureDomain,
					Rack:          w.Rack,
					Partition:     id,
					Capacity:      w.Capacity,
					Granted:       w.Granted,
					Tasks:         w.Tasks,
					State:         w.State,
				})
			}
		}
		return found
	})
}
