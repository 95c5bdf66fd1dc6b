package server

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/api"
	"filbertcross/internal/event"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/partition"
	"filbertcross/internal/peer"
	"filbertcross/internal/schedule"
	"filbertcross/internal/verdict"
)

const methodHandOverJob peer.Method = "job.handin"

const (
	// handOverAfter is how long a job waits as a whole before another partition is
	// looked for.
	handoverDelay = 5 * time.Second
	// maxHops bounds how many partitions a status or cancel is passed on to.
	maxHandovers = 4
	// maxHomes bounds the partitions that a job without a key is submitted to in
	// turn while each says that it never fits.
	maxHomePartitions = 3
)

// handIn passes a job that was handed out to its new partition's owner.
type handoverRequest struct {
	To  model.PartitionID   `json:"to"`
	Job partition.HandedJob `json:"job"`
}

// jobAnswer is a job as one partition knows it.
type jobReply struct {
	Job          api.Job           `json:"job"`
	HandedTo     model.PartitionID `json:"handed_to,omitempty"`    // knows more; empty: nobody does
	Acknowledged bool              `json:"acknowledged,omitempty"` // HandedTo has logged the job
	NeverFits    string            `json:"never_fits,omitempty"`   // why a submission was refused; empty: it was not
}

// cancelAnswer says where a cancel has to go on to; empty: it is done.
type cancelReply struct {
	HandedTo     model.PartitionID `json:"handed_to,omitempty"`
	Acknowledged bool              `json:"acknowledged,omitempty"`
}

// owned lists the worker partitions of live VMs, but for the excepted ones.
func (j *jobService) ownedWorkerPartitions(exclude []model.PartitionID) map[model.PartitionID]membership.Tenancy {
	owned := map[model.PartitionID]membership.Tenancy{}
	for _, m := range j.directory.view.Members() {
		if m.State != membership.Alive {
			continue
		}
		for id, tenancy := range m.Digest.Partitions {
			known, listed := owned[id]
			if partition.IsKeyPartition(id) || slices.Contains(exclude, id) || listed && known.Epoch > tenancy.Epoch {
				continue
			}
			owned[id] = tenancy
		}
	}
	return owned
}

// target returns a partition with room for a task, one of the two emptiest; false
// if the digests show none.
func (j *jobService) findTarget(c partition.FindTarget) (model.PartitionID, bool) {
	owned := j.ownedWorkerPartitions(c.Avoid)
	var ids []model.PartitionID
	for id, tenancy := range owned {
		if c.Size.FitsIn(tenancy.Free) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "", false
	}
	slices.SortFunc(ids, func(a, b model.PartitionID) int {
		if lessLoaded(owned[a], owned[b]) {
			return -1
		}
		return 1
	})
	return ids[rand.IntN(min(len(ids), 2))], true
}

// handIn brings a job to the owner of its new partition. An error leaves open
// whether that has the job.
func (j *jobService) sendHandover(ctx context.Context, c partition.HandIn) (schedule.Status, error) {
	return callOwner(ctx, j, c.To, methodHandOverJob, handoverRequest{To: c.To, Job: c.Job}, j.acceptHandoverLocal)
}

func (j *jobService) acceptHandoverLocal(ctx context.Context, m handoverRequest) (schedule.Status, error) {
	reply, err := j.callLocalOwner(ctx, m.To, func(o *partition.Owner, now time.Time, token partition.Token) { o.HandIn(now, token, m.Job) })
	return reply.Status, err
}

// hasEnded reports whether the partition knows that the job has ended.
func (j *jobService) jobEnded(ctx context.Context, c partition.AskEnded) bool {
	reply, err := j.statusFollowingHandovers(ctx, c.Job, c.At)
	state := reply.Job.State
	return err == nil && (state == api.JobDone || state == api.JobFailed || state == api.JobCanceled) && reply.Job.Running == 0
}

// statusAt asks the owner of one partition.
func (j *jobService) statusAt(ctx context.Context, id model.JobID, at model.PartitionID) (jobReply, error) {
	return callOwner(ctx, j, at, methodJobStatus, jobRequest{id, at}, j.statusLocal)
}

// follow asks the partition, and those that the job was handed over to.
func (j *jobService) statusFollowingHandovers(ctx context.Context, id model.JobID, at model.PartitionID) (jobReply, error) {
	var last jobReply
	for hop := range maxHandovers + 1 {
		reply, err := j.statusAt(ctx, id, at)
		if hop > 0 && isUnknownJob(err) && !last.Acknowledged {
			return last, nil
		}
		if err != nil || reply.HandedTo == "" {
			return reply, err
		}
		last, at = reply, reply.HandedTo
	}
	return last, nil
}

// cancelAt cancels the job at the partition or those that it was handed over to.
func (j *jobService) cancelAt(ctx context.Context, id model.JobID, at model.PartitionID) error {
	var last cancelReply
	for hop := range maxHandovers + 1 {
		reply, err := callOwner(ctx, j, at, methodCancelJob, jobRequest{id, at}, j.cancelLocal)
		if hop > 0 && isUnknownJob(err) && !last.Acknowledged {
			break
		}
		if err != nil || reply.HandedTo == "" {
			return err
		}
		last, at = reply, reply.HandedTo
	}
	return temporarilyUnavailable(verdict.NotRun, jobRetryAfter, "job %s is being handed over to partition %s", id, last.HandedTo)
}

func isUnknownJob(err error) bool {
	var failure *api.StatusError
	return errors.As(err, &failure) && failure.Problem.Field == fieldJob
}

// handOverCommand carries out a command that goes to another partition.
func (e *executor) runHandoverCommand(command partition.Command) ownerUpdate {
	ctx, cancel := context.WithTimeout(context.Background(), jobTimeout)
	defer cancel()
	switch c := command.(type) {
	case partition.FindTarget:
		to, found := e.jobs.findTarget(c)
		if !found {
			return nil
		}
		return func(o *partition.Owner, now time.Time) { o.TargetFound(now, c.Job, to) }
	case partition.HandIn:
		status, err := e.jobs.sendHandover(ctx, c)
		e.recorder.Record(event.JobHandedOver, c.Job.ID, c.Job.Try, c.To, status.Reason, err)
		return func(o *partition.Owner, now time.Time) { o.HandInReturned(now, c, status, err) }
	case partition.AskEnded:
		if !e.jobs.jobEnded(ctx, c) {
			return nil
		}
		return func(o *partition.Owner, now time.Time) { o.HandedJobEnded(now, c.Job) }
	}
	return nil
}
