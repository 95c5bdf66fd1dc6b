package server

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/config"
	"filbertcross/internal/event"
	"filbertcross/internal/model"
	"filbertcross/internal/partition"
	"filbertcross/internal/platform"
)

// executor executes the commands of partition owners, each on its own goroutine, and
// posts the results to the control loop. Safe for concurrent use.
type executor struct {
	settings config.Settings
	workers  platform.WorkerResolver
	recorder event.Recorder
	post     func(loopMessage)
	jobs     *jobService // set before the control loop runs

	mu  sync.RWMutex
	vms map[model.WorkerID]platform.VM // as last listed; kept after a worker leaves the list
}

func newExecutor(settings config.Settings, workers platform.WorkerResolver, recorder event.Recorder) *executor {
	return &executor{settings: settings, workers: workers, recorder: recorder, vms: map[model.WorkerID]platform.VM{}}
}

// UpdateVMList adds the workers of the platform's VM list.
func (e *executor) UpdateVMList(vms []platform.VM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, vm := range vms {
		if vm.Role == platform.RoleWorker {
			e.vms[model.WorkerID(vm.ID)] = vm
		}
	}
}

// errWorkerNeverListed is returned for a worker that no VM list has contained, so that
// its address is unknown.
var errWorkerNeverListed = errors.Mark(errors.New("worker never appeared in the VM list"), platform.ErrRefused)

func (e *executor) worker(id model.WorkerID) (platform.Worker, error) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	vm, ok := e.vms[id]
	if !ok {
		return nil, errWorkerNeverListed
	}
	return e.workers.Resolve(vm), nil
}

// Execute starts a command and returns immediately.
func (e *executor) Execute(p *ownedPartition, command partition.Command) {
	go func() {
		deliver := e.run(p, command)
		if deliver != nil {
			e.post(ownerInput{owned: p, deliver: deliver})
		}
	}()
}

// ownerUpdate delivers a command's result to the owner. It runs on the control loop's
// goroutine; nil means that there is nothing to deliver.
type ownerUpdate func(o *partition.Owner, now time.Time)

func (e *executor) run(p *ownedPartition, command partition.Command) ownerUpdate {
	switch c := command.(type) {
	case partition.Append:
		return e.appendRecords(p, c)
	case partition.ConfirmOwnership:
		return e.confirmOwnership(p)
	case partition.ClearPriorLead:
		ctx, cancel := context.WithTimeout(context.Background(), e.settings.StoreTimeout)
		defer cancel()
		_ = p.log.ClearPriorLead(ctx)
		return nil
	case partition.TakeSnapshot:
		return e.writeSnapshot(p, c)
	case partition.FindHandoverTarget, partition.HandOverJob, partition.QueryJobEnded:
		return e.runHandoverCommand(command)
	default:
		return e.runWorkerCommand(p, command)
	}
}

func (e *executor) appendRecords(p *ownedPartition, c partition.Append) ownerUpdate {
	err := p.log.Append(context.Background(), c.Records)
	position := p.log.Position()
	return func(o *partition.Owner, now time.Time) { o.Appended(now, c.Token, position, err) }
}

func (e *executor) confirmOwnership(p *ownedPartition) ownerUpdate {
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.StoreTimeout)
	defer cancel()
	err := p.log.ConfirmOwnership(ctx)
	switch {
	case err == nil:
		horizon := p.log.Horizon()
		return func(o *partition.Owner, now time.Time) { o.HorizonExtended(now, horizon) }
	case errors.Is(err, partition.ErrOwnershipLost):
		return func(o *partition.Owner, now time.Time) { o.EndEpoch(now, "the ownership record has a different epoch") }
	default:
		return func(o *partition.Owner, now time.Time) { o.OwnershipUnconfirmed(now) }
	}
}

func (e *executor) writeSnapshot(p *ownedPartition, c partition.TakeSnapshot) ownerUpdate {
	ctx, cancel := context.WithTimeout(context.Background(), multiCallTimeoutFactor*e.settings.StoreTimeout)
	defer cancel()
	err := p.log.Snapshot(ctx, c.Data, c.Through)
	return func(o *partition.Owner, now time.Time) { o.SnapshotTaken(now, err) }
}

// runWorkerCommand executes a command that makes one call to a worker.
func (e *executor) runWorkerCommand(p *ownedPartition, command partition.Command) ownerUpdate {
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.WorkerTimeout)
	defer cancel()
	id, epoch := p.info.ID, p.log.Epoch()
	switch c := command.(type) {
	case partition.PollWorker:
		polledAt := time.Now()
		report, err := e.pollWorker(ctx, c.Worker, id, epoch)
		return func(o *partition.Owner, now time.Time) { o.WorkerReported(now, polledAt, c.Worker, report, err) }
	case partition.StartTask:
		ref := platform.TaskRef{Task: c.Start.Task, Attempt: c.Start.Attempt}
		err := e.callWorker(c.Worker, "start", func(w platform.Worker) error { return w.Start(ctx, c.Start) })
		return func(o *partition.Owner, now time.Time) { o.StartReturned(now, c.Worker, ref, err) }
	case partition.RenewLeases:
		err := e.callWorker(c.Worker, "renew", func(w platform.Worker) error { return w.Renew(ctx, c.Renewal) })
		return func(o *partition.Owner, now time.Time) { o.CallReturned(now, err) }
	case partition.CheckpointTask:
		var name string
		err := e.callWorker(c.Worker, "checkpoint", func(w platform.Worker) (err error) {
			name, err = w.Checkpoint(ctx, id, epoch, c.Ref)
			return err
		})
		return func(o *partition.Owner, now time.Time) { o.CheckpointReturned(now, c.Ref, name, err) }
	case partition.StopTask:
		err := e.callWorker(c.Worker, "stop", func(w platform.Worker) error { return w.Stop(ctx, id, epoch, c.Ref) })
		return func(o *partition.Owner, now time.Time) { o.StopReturned(now, c.Ref, err) }
	case partition.ThrottleTask:
		err := e.callWorker(c.Worker, "throttle", func(w platform.Worker) error { return w.Throttle(ctx, id, epoch, c.Ref, c.Limit) })
		return func(o *partition.Owner, now time.Time) { o.CallReturned(now, err) }
	case partition.ForgetAttempts:
		err := e.callWorker(c.Worker, "forget", func(w platform.Worker) error { return w.Forget(ctx, id, epoch, c.Refs) })
		return func(o *partition.Owner, now time.Time) { o.CallReturned(now, err) }
	default:
		return nil
	}
}

func (e *executor) pollWorker(ctx context.Context, worker model.WorkerID, id model.PartitionID, epoch int64) (report platform.WorkerReport, err error) {
	err = e.callWorker(worker, "report", func(w platform.Worker) (err error) {
		report, err = w.Report(ctx, id, epoch)
		return err
	})
	return report, err
}

func (e *executor) callWorker(id model.WorkerID, name string, do func(platform.Worker) error) error {
	w, err := e.worker(id)
	if err == nil {
		err = do(w)
	}
	if err != nil {
		e.recorder.Record(event.WorkerCallFailed, id, name, err)
	}
	return err
}
