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
	// handoverDelay is how long a job without an attempt waits before its partition
	// searches for another partition to hand it over to.
	handoverDelay = 5 * time.Second
	// maxHandovers bounds how many handovers a status or cancel request follows.
	maxHandovers = 4
	// maxHomePartitions bounds the partitions that a job without an idempotency key is
	// submitted to while each reports that it never fits.
	maxHomePartitions = 3
)

// handoverRequest hands a job over to the owner of partition To.
type handoverRequest struct {
	To  model.PartitionID       `json:"to"`
	Job partition.HandedOverJob `json:"job"`
}

// jobResponse is the state of a job in one partition.
type jobResponse struct {
	Job          api.Job           `json:"job"`
	HandedTo     model.PartitionID `json:"handed_to,omitempty"`    // next partition to query; empty: none
	Acknowledged bool              `json:"acknowledged,omitempty"` // HandedTo has stored the job durably
	NeverFits    string            `json:"never_fits,omitempty"`   // why a submission was rejected; empty: accepted
}

// cancelResponse names the partition to send the cancel to next; if HandedTo is empty, the
// job is canceled.
type cancelResponse struct {
	HandedTo     model.PartitionID `json:"handed_to,omitempty"`
	Acknowledged bool              `json:"acknowledged,omitempty"`
}

// ownedWorkerPartitions returns the worker partitions that live VMs own, without those
// in exclude. If two VMs report a partition, the higher epoch counts.
func (j *jobService) ownedWorkerPartitions(exclude []model.PartitionID) map[model.PartitionID]membership.PartitionSummary {
	owned := map[model.PartitionID]membership.PartitionSummary{}
	for _, m := range j.directory.view.Members() {
		if m.State != membership.Alive {
			continue
		}
		for id, summary := range m.Digest.Partitions {
			known, listed := owned[id]
			if partition.IsKeyPartition(id) || slices.Contains(exclude, id) || listed && known.Epoch > summary.Epoch {
				continue
			}
			owned[id] = summary
		}
	}
	return owned
}

// findTarget returns a partition with enough free capacity for one task, chosen at random
// among the two least loaded; false if the digests show none.
func (j *jobService) findTarget(c partition.FindHandoverTarget) (model.PartitionID, bool) {
	owned := j.ownedWorkerPartitions(c.Exclude)
	var ids []model.PartitionID
	for id, summary := range owned {
		if c.Size.FitsIn(summary.Free) {
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

// sendHandover hands a job over to the owner of its new partition. After an error the
// outcome is unknown: that owner may have the job.
func (j *jobService) sendHandover(ctx context.Context, c partition.HandOverJob) (schedule.Status, error) {
	return callOwner(ctx, j, c.To, methodHandOverJob, handoverRequest{To: c.To, Job: c.Job}, j.acceptHandoverLocal)
}

func (j *jobService) acceptHandoverLocal(ctx context.Context, m handoverRequest) (schedule.Status, error) {
	reply, err := j.callLocalOwner(ctx, m.To, func(o *partition.Owner, now time.Time, token partition.Token) { o.ReceiveHandover(now, token, m.Job) })
	return reply.Status, err
}

// jobEnded reports whether the job is known to have ended without running tasks; false
// if that is unknown.
func (j *jobService) jobEnded(ctx context.Context, c partition.QueryJobEnded) bool {
	reply, err := j.statusFollowingHandovers(ctx, c.Job, c.At)
	state := reply.Job.State
	return err == nil && (state == api.JobDone || state == api.JobFailed || state == api.JobCanceled) && reply.Job.Running == 0
}

// statusAt requests the job's status from the owner of one partition.
func (j *jobService) statusAt(ctx context.Context, id model.JobID, at model.PartitionID) (jobResponse, error) {
	return callOwner(ctx, j, at, methodJobStatus, jobRequest{id, at}, j.statusLocal)
}

// statusFollowingHandovers requests the job's status from the partition, then from those
// that the job was handed over to in turn. If the next partition does not know the job
// and has not acknowledged it, the previous partition's status is returned.
func (j *jobService) statusFollowingHandovers(ctx context.Context, id model.JobID, at model.PartitionID) (jobResponse, error) {
	var last jobResponse
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

// cancelAt cancels the job in the partition, or in the one that it was handed over to. If
// a handover is still in flight, the error asks the client to retry.
func (j *jobService) cancelAt(ctx context.Context, id model.JobID, at model.PartitionID) error {
	var last cancelResponse
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

// runHandoverCommand executes a command that concerns another partition.
func (e *executor) runHandoverCommand(command partition.Command) ownerUpdate {
	ctx, cancel := context.WithTimeout(context.Background(), jobTimeout)
	defer cancel()
	switch c := command.(type) {
	case partition.FindHandoverTarget:
		to, found := e.jobs.findTarget(c)
		if !found {
			return nil
		}
		return func(o *partition.Owner, now time.Time) { o.HandoverTargetFound(now, c.Job, to) }
	case partition.HandOverJob:
		status, err := e.jobs.sendHandover(ctx, c)
		e.recorder.Record(event.JobHandedOver, c.Job.ID, c.Job.Try, c.To, status.Reason, err)
		return func(o *partition.Owner, now time.Time) { o.HandoverReturned(now, c, status, err) }
	case partition.QueryJobEnded:
		if !e.jobs.jobEnded(ctx, c) {
			return nil
		}
		return func(o *partition.Owner, now time.Time) { o.HandedOverJobEnded(now, c.Job) }
	}
	return nil
}
