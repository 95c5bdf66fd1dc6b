package server

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"filbertcross/internal/api"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/partition"
	"filbertcross/internal/peer"
	"filbertcross/internal/verdict"
)

// Peer methods of the job service.
const (
	methodSubmitJob   peer.Method = "job.submit"
	methodJobStatus   peer.Method = "job.status"
	methodCancelJob   peer.Method = "job.cancel"
	methodListJobs    peer.Method = "job.list"
	methodListWorkers peer.Method = "worker.list"
)

const (
	jobTimeout    = 10 * time.Second
	jobRetryAfter = time.Second
	maxJobTasks   = 4096
	fieldJob      = "job" // Problem.Field of an unknown job
)

// jobService submits, lists and cancels jobs on the VM that owns their partition. Its
// methods run on request goroutines and are safe for concurrent use.
type jobService struct {
	loop      *loop
	caller    peer.Caller
	directory directory
	source    model.ConfigurationSource
	layout    func() (partition.Layout, bool)
	tokens    atomic.Int64
}

// jobRequest identifies a job in a call to a partition owner.
type jobRequest struct {
	Job       model.JobID       `json:"job"`
	Partition model.PartitionID `json:"at"` // its home, or a partition it was handed over to
}

type listRequest struct {
	Branch model.BranchID `json:"branch"`
}

func (j *jobService) register(r peer.Registry) {
	handle(r, methodSubmitJob, j.submitLocal)
	handle(r, methodJobStatus, j.statusLocal)
	handle(r, methodCancelJob, j.cancelLocal)
	handle(r, methodHandOverJob, j.acceptHandoverLocal)
	handle(r, methodListJobs, func(ctx context.Context, m listRequest) ([]api.Job, error) { return j.listLocal(ctx, m.Branch) })
	handle(r, methodListWorkers, func(ctx context.Context, _ struct{}) ([]api.Worker, error) { return j.listWorkersLocal(ctx) })
}

// handle registers a peer method whose parameters are decoded into M.
func handle[M, R any](r peer.Registry, method peer.Method, do func(context.Context, M) (R, error)) {
	r.Handle(method, func(ctx context.Context, params json.RawMessage) (any, error) {
		var message M
		if err := json.Unmarshal(params, &message); err != nil {
			return nil, &peer.Error{Code: peer.CodeInvalid, Message: err.Error(), Verdict: verdict.NotRun}
		}
		return do(ctx, message)
	})
}

// submit submits a job of a workload and returns once it is durable. key is its
// idempotency key, or empty.
func (j *jobService) submit(ctx context.Context, request api.SubmitJobRequest, key string) (api.Job, error) {
	job, err := j.buildJob(request, key)
	if err != nil {
		return api.Job{}, err
	}
	layout, known := j.layout()
	if !known {
		return api.Job{}, temporarilyUnavailable(verdict.NotRun, jobRetryAfter, "the partitions are not known yet")
	}
	reply, err := j.submitToHome(ctx, layout, job)
	switch {
	case err != nil:
		return api.Job{}, err
	case reply.NeverFits != "":
		return api.Job{}, rejectedRequest(http.StatusUnprocessableEntity, "workload", "%s", reply.NeverFits)
	case reply.HandedTo != "":
		return j.status(ctx, reply.Job.ID)
	}
	return reply.Job, nil
}

// submitToHome submits the job to its home partition. A job without an idempotency key
// that a partition reports as never fitting is submitted to other partitions, up to
// maxHomePartitions; a key has a single home.
func (j *jobService) submitToHome(ctx context.Context, layout partition.Layout, job model.Job) (jobResponse, error) {
	var tried []model.PartitionID
	var reply jobResponse
	for len(tried) < maxHomePartitions {
		home, found := j.homePartition(layout, job, tried)
		if !found && len(tried) == 0 {
			return jobResponse{}, temporarilyUnavailable(verdict.NotRun, jobRetryAfter, "no partition of workers has an owner yet")
		}
		if !found {
			break
		}
		job.ID = partition.NewJobID(home)
		var err error
		reply, err = callOwner(ctx, j, home, methodSubmitJob, job, j.submitLocal)
		if err != nil || reply.NeverFits == "" || job.IdempotencyKey != "" {
			return reply, err
		}
		tried = append(tried, home)
	}
	return reply, nil
}

// buildJob builds the job from the active configuration's workload and the request.
func (j *jobService) buildJob(request api.SubmitJobRequest, key string) (model.Job, error) {
	configuration := j.source.Active()
	if configuration == nil {
		return model.Job{}, noConfigurationError()
	}
	if _, known := configuration.Branch(request.Branch); !known {
		return model.Job{}, rejectedRequest(http.StatusNotFound, "branch", "branch %q is not in the active sheet", request.Branch)
	}
	workload, known := configuration.Workload(request.Branch, request.Workload)
	if !known {
		return model.Job{}, rejectedRequest(http.StatusNotFound, "workload", "%q is not a workload of branch %s", request.Workload, request.Branch)
	}
	if workload.Kind == model.KindInteractive {
		return model.Job{}, rejectedRequest(http.StatusBadRequest, "workload", "workload %q is interactive; send its requests to service %s", request.Workload, workload.Service)
	}
	now := time.Now()
	job := model.Job{
		Branch:         request.Branch,
		Workload:       request.Workload,
		Kind:           workload.Kind,
		Tier:           workload.Tier,
		Tasks:          cmp.Or(request.Tasks, workload.Tasks, 1),
		Size:           workload.Size,
		Runtime:        workload.Runtime,
		Submitted:      now.UTC().Round(0),
		Deadline:       request.Deadline.UTC().Round(0),
		IdempotencyKey: key,
		Restartable:    !request.RunOnce,
	}
	if request.Deadline.IsZero() && workload.Deadline > 0 {
		job.Deadline = job.Submitted.Add(workload.Deadline)
	}
	if job.Tasks < 1 || job.Tasks > maxJobTasks {
		return model.Job{}, rejectedRequest(http.StatusBadRequest, "tasks", "%d is not between 1 and %d", job.Tasks, maxJobTasks)
	}
	if !request.Deadline.IsZero() && request.Deadline.Before(now) {
		return model.Job{}, rejectedRequest(http.StatusBadRequest, "deadline", "%s has passed", request.Deadline.Format(time.RFC3339))
	}
	return job, nil
}

// homePartition returns the job's home: the home of its idempotency key, or without a key
// the less loaded of two owned partitions chosen at random outside exclude. It returns
// false if there is none.
func (j *jobService) homePartition(layout partition.Layout, job model.Job, exclude []model.PartitionID) (model.PartitionID, bool) {
	if job.IdempotencyKey != "" {
		return layout.HomePartition(job.Branch, job.IdempotencyKey)
	}
	owned := j.ownedWorkerPartitions(exclude)
	if len(owned) == 0 {
		return "", false
	}
	ids := slices.Collect(maps.Keys(owned))
	a, b := ids[rand.IntN(len(ids))], ids[rand.IntN(len(ids))]
	if lessLoaded(owned[b], owned[a]) {
		return b, true
	}
	return a, true
}

// lessLoaded reports whether a has fewer waiting tasks than b or, with as many, more free
// CPU.
func lessLoaded(a, b membership.PartitionSummary) bool {
	if a.Waiting != b.Waiting {
		return a.Waiting < b.Waiting
	}
	return a.Free.MilliCPU > b.Free.MilliCPU
}

// status returns a job with its tasks, from the partition that it was last handed over to.
func (j *jobService) status(ctx context.Context, id model.JobID) (api.Job, error) {
	home, ok := partition.JobPartition(id)
	if !ok {
		return api.Job{}, unknownJobError(id)
	}
	reply, err := j.statusFollowingHandovers(ctx, id, home)
	return reply.Job, err
}

// cancel cancels a job and returns once the cancellation is durable.
func (j *jobService) cancel(ctx context.Context, id model.JobID) error {
	home, ok := partition.JobPartition(id)
	if !ok {
		return unknownJobError(id)
	}
	return j.cancelAt(ctx, id, home)
}

func (j *jobService) list(ctx context.Context, branch model.BranchID) ([]api.Job, error) {
	found, err := gatherFromMembers(ctx, j, methodListJobs, listRequest{branch}, func(ctx context.Context) ([]api.Job, error) { return j.listLocal(ctx, branch) })
	slices.SortFunc(found, func(a, b api.Job) int { return a.Submitted.Compare(b.Submitted) })
	return found, err
}

func (j *jobService) workers(ctx context.Context) ([]api.Worker, error) {
	found, err := gatherFromMembers(ctx, j, methodListWorkers, struct{}{}, j.listWorkersLocal)
	slices.SortFunc(found, func(a, b api.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return found, err
}

// callOwner makes a call to the VM that owns the partition, with handleLocal if that is
// this VM. It times out after jobTimeout.
func callOwner[M, R any](ctx context.Context, j *jobService, home model.PartitionID, method peer.Method, message M, handleLocal func(context.Context, M) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	var reply R
	address, local, owned := j.directory.Owner(home)
	if !owned {
		return reply, temporarilyUnavailable(verdict.NotRun, jobRetryAfter, "partition %s has no owner at the moment", home)
	}
	var err error
	if local {
		reply, err = handleLocal(ctx, message)
	} else {
		err = j.caller.Call(ctx, address, method, message, &reply)
	}
	return reply, publicError(err)
}

// gatherFromMembers calls all members that are not dead and concatenates their lists. It
// fails if any call fails, or after gatherTimeout.
func gatherFromMembers[T any](ctx context.Context, j *jobService, method peer.Method, message any, handleLocal func(context.Context) ([]T, error)) ([]T, error) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var mu sync.Mutex
	all := []T{}
	group, ctx := errgroup.WithContext(ctx)
	self := j.directory.view.Self().ID
	for _, m := range j.directory.view.Members() {
		if m.State == membership.Dead {
			continue
		}
		group.Go(func() error {
			var found []T
			var err error
			if m.ID == self {
				found, err = handleLocal(ctx)
			} else {
				err = j.caller.Call(ctx, m.Address, method, message, &found)
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, found...)
			return errors.Wrapf(err, "%s", m.ID)
		})
	}
	return all, publicError(group.Wait())
}
