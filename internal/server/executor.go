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

// executor carries out the commands of partitions' owners, each on a goroutine
// of its own, and posts the results to the control loop.
type executor struct {
	settings config.Settings
	workers  platform.WorkerResolver
	recorder event.Recorder
	post     func(message)
	jobs     *jobs // set before the control loop runs

	mu  sync.RWMutex
	vms map[model.WorkerID]platform.VM // as last listed; kept when a worker leaves the list
}

func newExecutor(settings config.Settings, workers platform.WorkerResolver, recorder event.Recorder) *executor {
	return &executor{settings: settings, workers: workers, recorder: recorder, vms: map[model.WorkerID]platform.VM{}}
}

// SetList takes the platform's list.
func (e *executor) SetList(vms []platform.VM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, vm := range vms {
		if vm.Role == platform.RoleWorker {
			e.vms[model.WorkerID(vm.ID)] = vm
		}
	}
}

// errUnlisted says that a worker was never listed, so that it has no address.
var errUnlisted = errors.Mark(errors.New("the worker was never listed"), platform.ErrRefused)

func (e *executor) worker(id model.WorkerID) (platform.Worker, error) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	vm, ok := e.vms[id]
	if !ok {
		return nil, errUnlisted
	}
	return e.workers.Resolve(vm), nil
}

// Execute starts a command and returns at once.
func (e *executor) Execute(t *tenure, command partition.Command) {
	go func() {
		input := e.carryOut(t, command)
		if input != nil {
			e.post(ownerInput{tenure: t, input: input})
		}
	}()
}

type ownerCall func(o *partition.Owner, now time.Time)

func (e *executor) carryOut(t *tenure, command partition.Command) ownerCall {
	switch c := command.(type) {
	case partition.Append:
		return e.append(t, c)
	case partition.ConfirmOwnership:
		return e.confirm(t)
	case partition.ClearPriorLead:
		ctx, cancel := context.WithTimeout(context.Background(), e.settings.StoreTimeout)
		defer cancel()
		_ = t.log.ClearPriorLead(ctx)
		return nil
	case partition.TakeSnapshot:
		return e.snapshot(t, c)
	case partition.FindHandoverTarget, partition.HandOverJob, partition.QueryJobEnded:
		return e.handOverCommand(command)
	default:
		return e.callWorker(t, command)
	}
}

func (e *executor) append(t *tenure, c partition.Append) ownerCall {
	err := t.log.Append(context.Background(), c.Records)
	position := t.log.Position()
	return func(o *partition.Owner, now time.Time) { o.Appended(now, c.Token, position, err) }
}

func (e *executor) confirm(t *tenure) ownerCall {
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.StoreTimeout)
	defer cancel()
	err := t.log.ConfirmOwnership(ctx)
	switch {
	case err == nil:
		horizon := t.log.Horizon()
		return func(o *partition.Owner, now time.Time) { o.HorizonExtended(now, horizon) }
	case errors.Is(err, partition.ErrOwnershipLost):
		return func(o *partition.Owner, now time.Time) { o.EndEpoch(now, "the record carries another epoch") }
	default:
		return func(o *partition.Owner, now time.Time) { o.OwnershipUnconfirmed(now) }
	}
}

func (e *executor) snapshot(t *tenure, c partition.TakeSnapshot) ownerCall {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallsPerTakeover*e.settings.StoreTimeout)
	defer cancel()
	err := t.log.Snapshot(ctx, c.Data, c.Through)
	return func(o *partition.Owner, now time.Time) { o.SnapshotTaken(now, err) }
}

// callWorker makes one call to a worker.
func (e *executor) callWorker(t *tenure, command partition.Command) ownerCall {
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.WorkerTimeout)
	defer cancel()
	id, epoch := t.info.ID, t.log.Epoch()
	switch c := command.(type) {
	case partition.PollWorker:
		asked := time.Now()
		report, err := e.poll(ctx, c.Worker, id, epoch)
		return func(o *partition.Owner, now time.Time) { o.WorkerReported(now, asked, c.Worker, report, err) }
	case partition.StartTask:
		ref := platform.TaskRef{Task: c.Start.Task, Attempt: c.Start.Attempt}
		err := e.call(c.Worker, "start", func(w platform.Worker) error { return w.Start(ctx, c.Start) })
		return func(o *partition.Owner, now time.Time) { o.StartReturned(now, c.Worker, ref, err) }
	case partition.RenewLeases:
		err := e.call(c.Worker, "renew", func(w platform.Worker) error { return w.Renew(ctx, c.Renewal) })
		return func(o *partition.Owner, now time.Time) { o.CallReturned(now, err) }
	case partition.CheckpointTask:
		var name string
		err := e.call(c.Worker, "checkpoint", func(w platform.Worker) (err error) {
			name, err = w.Checkpoint(ctx, id, epoch, c.Ref)
			return err
		})
		return func(o *partition.Owner, now time.Time) { o.CheckpointReturned(now, c.Ref, name, err) }
	case partition.StopTask:
		err := e.call(c.Worker, "stop", func(w platform.Worker) error { return w.Stop(ctx, id, epoch, c.Ref) })
		return func(o *partition.Owner, now time.Time) { o.StopReturned(now, c.Ref, err) }
	case partition.ThrottleTask:
		err := e.call(c.Worker, "throttle", func(w platform.Worker) error { return w.Throttle(ctx, id, epoch, c.Ref, c.Limit) })
		return func(o *partition.Owner, now time.Time) { o.CallReturned(now, err) }
	case partition.ForgetAttempts:
		err := e.call(c.Worker, "forget", func(w platform.Worker) error { return w.Forget(ctx, id, epoch, c.Refs) })
		return func(o *partition.Owner, now time.Time) { o.CallReturned(now, err) }
	default:
		return nil
	}
}

func (e *executor) poll(ctx context.Context, worker model.WorkerID, id model.PartitionID, epoch int64) (report platform.WorkerReport, err error) {
	err = e.call(worker, "report", func(w platform.Worker) (err error) {
		report, err = w.Report(ctx, id, epoch)
		return err
	})
	return report, err
}

func (e *executor) call(id model.WorkerID, name string, do func(platform.Worker) error) error {
	w, err := e.worker(id)
	if err == nil {
		err = do(w)
	}
	if err != nil {
		e.recorder.Record(event.WorkerCallFailed, id, name, err)
	}
	return err
}
