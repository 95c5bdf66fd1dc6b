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

// What the owner of a job's partition does on this VM: each asks the control loop.

// command gives the owner of a partition on this VM an input that a Reply answers.
func (j *jobs) command(ctx context.Context, home model.PartitionID, input func(o *partition.Owner, now time.Time, token partition.Token)) (partition.Reply, error) {
	token := partition.Token(j.tokens.Add(1))
	answer := make(chan partition.Reply, 1)
	owned, err := ask(ctx, j.loop, func(c *control, now time.Time) bool {
		t, ok := c.tenures[home]
		if !ok {
			return false
		}
		t.calls[token] = answer
		input(t.owner, now, token)
		c.drain(t)
		return true
	})
	if err != nil {
		return partition.Reply{}, &peer.Error{Code: peer.CodeTimeout, Message: err.Error(), Verdict: verdict.MayHaveRun}
	}
	if !owned {
		return partition.Reply{}, errNotOwner
	}
	select {
	case reply := <-answer:
		return reply, partitionError(reply.Err)
	case <-ctx.Done():
		return partition.Reply{}, partitionError(errors.Mark(ctx.Err(), partition.ErrOutcomeUnknown))
	}
}

func (j *jobs) submitHere(ctx context.Context, job model.Job) (jobAnswer, error) {
	home, ok := partition.JobPartition(job.ID)
	if !ok {
		return jobAnswer{}, &peer.Error{Code: peer.CodeInvalid, Message: "the job's id names no partition", Verdict: verdict.NotRun}
	}
	reply, err := j.command(ctx, home, func(o *partition.Owner, now time.Time, token partition.Token) { o.Submit(now, token, job) })
	if err != nil {
		return jobAnswer{}, err
	}
	switch reply.Status.Code {
	case schedule.NeverFits:
		return jobAnswer{NeverFits: cmp.Or(reply.Status.Reason, "it never fits")}, nil
	case schedule.Invalid:
		return jobAnswer{}, &peer.Error{Code: codeJobRefused, Message: reply.Status.Reason, Verdict: verdict.NotRun}
	}
	return j.statusHere(ctx, jobRequest{reply.Job, home})
}

func (j *jobs) cancelHere(ctx context.Context, m jobRequest) (cancelAnswer, error) {
	reply, err := j.command(ctx, m.At, func(o *partition.Owner, now time.Time, token partition.Token) { o.Cancel(now, token, m.Job) })
	if !errors.Is(reply.Err, partition.ErrHandedOver) {
		return cancelAnswer{}, err
	}
	answer, err := j.statusHere(ctx, m)
	return cancelAnswer{HandedTo: answer.HandedTo, Acknowledged: answer.Acknowledged}, err
}

func (j *jobs) statusHere(ctx context.Context, m jobRequest) (jobAnswer, error) {
	type result struct {
		owned, found bool
		status       partition.JobStatus
	}
	r, err := ask(ctx, j.loop, func(c *control, _ time.Time) (r result) {
		t, ok := c.tenures[m.At]
		if !ok {
			return r
		}
		r.owned = true
		r.status, r.found = t.owner.JobStatus(m.Job)
		return r
	})
	switch {
	case err != nil:
		return jobAnswer{}, &peer.Error{Code: peer.CodeTimeout, Message: err.Error(), Verdict: verdict.NotRun}
	case !r.owned:
		return jobAnswer{}, errNotOwner
	case !r.found:
		return jobAnswer{}, partitionError(errors.Wrapf(partition.ErrUnknownJob, "%s", m.Job))
	}
	return jobAnswer{Job: jobView(r.status), HandedTo: r.status.HandedTo, Acknowledged: r.status.Acknowledged}, nil
}

func (j *jobs) listHere(ctx context.Context, branch model.BranchID) ([]api.Job, error) {
	return ask(ctx, j.loop, func(c *control, _ time.Time) []api.Job {
		var found []api.Job
		for _, t := range c.tenures {
			for _, job := range t.owner.Jobs(partition.JobFilter{Branch: branch}) {
				status, _ := t.owner.JobStatus(job.ID)
				view := jobView(status)
				view.Tasks, view.Filters = nil, nil
				found = append(found, view)
			}
		}
		return found
	})
}

func (j *jobs) workersHere(ctx context.Context) ([]api.Worker, error) {
	return ask(ctx, j.loop, func(c *control, _ time.Time) []api.Worker {
		var found []api.Worker
		for id, t := range c.tenures {
			for _, w := range t.owner.Workers() {
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
