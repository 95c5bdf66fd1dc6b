package partition

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/schedule"
)

const testLead = 10 * time.Second

var errTimeout = errors.New("no answer")

// fataler is a test or a property's check.
type fataler interface {
	Fatalf(format string, args ...any)
}

// op is a command on its way: first its effect at the store or worker, then the
// result's delivery to the owner. Either may be delayed for any time.
type op struct {
	command Command
	sent    time.Time
	deliver func(now time.Time) // nil: the effect is still to come
	lose    bool                // the answer will be lost
}

// testVM is an entry VM that owns, or believes to own, the partition.
type testVM struct {
	log   *Log
	owner *Owner
	ops   []*op
	// storeless cuts the VM, and no other, off from the store.
	storeless bool
}

// world is the ground truth: workers, the store, the platform's list, and VMs that
// contend for one partition. Its oracle looks at the workers only.
type world struct {
	now     time.Time
	store   *fakeStore
	workers []*fakeWorker
	rates   []float64
	listed  []bool
	cut     map[[2]int]bool // VM (by index) and worker: no call gets through
	deaf    map[[2]int]bool // the same: no answer gets through
	vms     []*testVM
	decider func() schedule.Decider

	partition model.PartitionID
	size      int64                   // milli-CPU of the tasks submitted
	handOver  time.Duration           // OwnerOptions.HandOverAfter
	other     func(vm *testVM, o *op) // carries out what goes to another partition
	answered  func(r Reply) bool      // takes the replies to another partition

	jobs     map[model.JobID]model.Job
	acked    map[model.JobID]bool
	canceled map[model.JobID]map[model.TaskID]int64 // acknowledged: newest attempts by then
	asked    map[Token]model.JobID                  // cancellations
	begun    map[model.TaskID]map[int64]bool        // attempts that ran
	tokens   Token
	broken   string // an invariant that an owner asserted
}

func newWorld(workers int) *world {
	w := &world{
		now: time.Unix(1000, 0), store: newFakeStore(), cut: map[[2]int]bool{}, deaf: map[[2]int]bool{},
		jobs: map[model.JobID]model.Job{}, acked: map[model.JobID]bool{},
		canceled: map[model.JobID]map[model.TaskID]int64{}, asked: map[Token]model.JobID{},
		begun: map[model.TaskID]map[int64]bool{}, decider: newScheduler, partition: "p", size: 1,
	}
	for i := range workers {
		w.workers = append(w.workers, &fakeWorker{id: model.WorkerID(fmt.Sprintf("w%d", i)), up: true,
			clock: platform.WorkerClock(i) * 1e12, capacity: model.Resources{MilliCPU: 2},
			tasks: map[platform.TaskRef]*fakeTask{}})
		w.rates = append(w.rates, 1+0.004*float64(i%3-1))
		w.listed = append(w.listed, true)
	}
	return w
}

func (w *world) takeOver() {
	l, replay, err := TakeOver(context.Background(), w.store, Options{Partition: w.partition, VM: "vm", Ring: 64,
		Lead: testLead, Clock: func() time.Time { return w.now }, Sleep: noSleep})
	if err != nil {
		return
	}
	opts := DefaultOwnerOptions(w.partition, l.Epoch(), testLead)
	opts.HandOverAfter = w.handOver
	o, err := NewOwner(opts, replay, l.Horizon(), w.decider(), w.now)
	if err != nil {
		panic(err)
	}
	o.SetBranches(w.now, []model.Branch{{ID: "b", Share: 1}})
	w.vms = append(w.vms, &testVM{log: l, owner: o})
}

// drain collects the commands of a VM's owner.
func (w *world) drain(vm *testVM) {
	for _, c := range vm.owner.Commands() {
		switch c := c.(type) {
		case Reply:
			w.reply(vm, c)
		case Notice:
			if c.Kind == NoticeInvariant {
				w.broken = c.Reason
			}
		default:
			vm.ops = append(vm.ops, &op{command: c, sent: w.now})
		}
	}
}

func (w *world) reply(vm *testVM, r Reply) {
	if w.answered != nil && w.answered(r) {
		return
	}
	if r.Err != nil || r.Status.Code == schedule.Invalid || r.Status.Code == schedule.NeverFits {
		return
	}
	job, isCancel := w.asked[r.Token]
	if !isCancel {
		w.acked[r.Job] = true
		return
	}
	newest := map[model.TaskID]int64{}
	for i := range w.jobs[job].Tasks {
		if t := vm.owner.state.task(taskID(job, i)); t != nil {
			newest[taskID(job, i)] = t.Attempt
		}
	}
	w.canceled[job] = newest
}

// run takes an op one step on: its effect, or the delivery of its result.
func (w *world) run(index int, vm *testVM, o *op) {
	if o.deliver == nil {
		w.effect(index, vm, o)
		return
	}
	for i := range vm.ops {
		if vm.ops[i] == o {
			vm.ops = append(vm.ops[:i], vm.ops[i+1:]...)
			break
		}
	}
	o.deliver(w.now)
	w.drain(vm)
}

func (w *world) effect(index int, vm *testVM, o *op) {
	ctx, owner := context.Background(), vm.owner
	if vm.storeless {
		down := w.store.down
		w.store.down = true
		defer func() { w.store.down = down }()
	}
	switch c := o.command.(type) {
	case Append:
		err := vm.log.Append(ctx, c.Records)
		position := vm.log.Position()
		o.deliver = func(now time.Time) { owner.Appended(now, c.Token, position, err) }
	case ConfirmOwnership:
		err := vm.log.Confirm(ctx)
		horizon := vm.log.Horizon()
		o.deliver = func(now time.Time) { confirmed(owner, now, horizon, err) }
	case SettleLeases:
		_ = vm.log.Settle(ctx)
		o.deliver = func(time.Time) {}
	case TakeSnapshot:
		err := vm.log.Snapshot(ctx, c.Data, c.Through)
		o.deliver = func(now time.Time) { owner.SnapshotTaken(now, err) }
	case FindTarget, HandIn, AskEnded:
		w.other(vm, o)
	default:
		w.workerEffect(index, vm, o)
	}
}

func confirmed(o *Owner, now, horizon time.Time, err error) {
	switch {
	case err == nil:
		o.HorizonMoved(now, horizon)
	case errors.Is(err, ErrDeposed):
		o.Depose(now, "the record carries a newer epoch")
	default:
		o.ConfirmFailed(now)
	}
}

// call runs f on the worker unless it is down or cut off.
func (w *world) call(index int, o *op, id model.WorkerID, f func(*fakeWorker) error) error {
	for i, k := range w.workers {
		if k.id != id {
			continue
		}
		if !k.up || w.cut[[2]int{index, i}] {
			return errTimeout
		}
		if err := f(k); !o.lose && !w.deaf[[2]int{index, i}] {
			return err
		}
	}
	return errTimeout
}

func (w *world) workerEffect(index int, vm *testVM, o *op) {
	owner, epoch := vm.owner, vm.log.Epoch()
	switch c := o.command.(type) {
	case PollWorker:
		var r platform.Report
		err := w.call(index, o, c.Worker, func(k *fakeWorker) (err error) { r, err = k.report(epoch); return })
		o.deliver = func(now time.Time) { owner.Reported(now, o.sent, c.Worker, r, err) }
	case StartTask:
		ref := platform.TaskRef{Task: c.Start.Task, Attempt: c.Start.Attempt}
		err := w.call(index, o, c.Worker, func(k *fakeWorker) error { return k.start(c.Start) })
		o.deliver = func(now time.Time) { owner.StartReturned(now, c.Worker, ref, err) }
	case RenewLeases:
		err := w.call(index, o, c.Worker, func(k *fakeWorker) error { return k.renew(c.Renewal) })
		o.deliver = func(now time.Time) { owner.CallReturned(now, err) }
	case StopTask:
		err := w.call(index, o, c.Worker, func(k *fakeWorker) error { return k.stop(epoch, c.Ref) })
		o.deliver = func(now time.Time) { owner.StopReturned(now, c.Ref, err) }
	case ForgetAttempts:
		err := w.call(index, o, c.Worker, func(k *fakeWorker) error { return k.forget(epoch, c.Refs) })
		o.deliver = func(now time.Time) { owner.CallReturned(now, err) }
	case CheckpointTask:
		o.deliver = func(now time.Time) { owner.CheckpointReturned(now, c.Ref, "", errTimeout) }
	default:
		panic(fmt.Sprintf("command %T", c))
	}
}

// pass lets time go by on all clocks, which drift apart.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for i, k := range w.workers {
		k.pass(time.Duration(float64(d) * w.rates[i]))
	}
}

// check is the oracle.
func (w *world) check(t fataler) {
	if w.broken != "" {
		t.Fatalf("an owner's invariant: %s", w.broken)
	}
	places := map[model.TaskID]model.WorkerID{}
	for _, k := range w.workers {
		if !k.up {
			continue
		}
		var used model.Resources
		for ref, task := range k.tasks {
			w.noteRun(t, ref, task)
			if task.state != platform.TaskRunning {
				continue
			}
			used = used.Add(task.start.Size)
			if other, twice := places[ref.Task]; twice {
				t.Fatalf("task %s runs on %s and %s", ref.Task, other, k.id)
			}
			places[ref.Task] = k.id
		}
		if !used.FitsIn(k.capacity) {
			t.Fatalf("worker %s runs %v of %v", k.id, used, k.capacity)
		}
	}
}

func (w *world) noteRun(t fataler, ref platform.TaskRef, task *fakeTask) {
	if w.begun[ref.Task] == nil {
		w.begun[ref.Task] = map[int64]bool{}
	}
	w.begun[ref.Task][ref.Attempt] = true
	job, _, _ := splitTask(ref.Task)
	if newest, ok := w.canceled[job]; ok && ref.Attempt > newest[ref.Task] {
		t.Fatalf("attempt %d of %s began after its job's cancellation", ref.Attempt, ref.Task)
	}
	if !w.jobs[job].Restartable && len(w.begun[ref.Task]) > 1 {
		t.Fatalf("non-restartable task %s ran %d times", ref.Task, len(w.begun[ref.Task]))
	}
}

func (w *world) vmsList() []platform.VM {
	var vms []platform.VM
	for i, k := range w.workers {
		if w.listed[i] {
			vms = append(vms, platform.VM{ID: string(k.id), Role: platform.RoleWorker})
		}
	}
	return vms
}

func (w *world) tick(vm *testVM) {
	vm.owner.Listed(w.now, w.vmsList())
	vm.owner.Tick(w.now)
	w.drain(vm)
}

func (w *world) submit(vm *testVM, tasks int, restartable bool) {
	w.tokens++
	job := model.Job{ID: model.JobID(fmt.Sprintf("%s~%d", w.partition, w.tokens)), Branch: "b", Kind: model.KindBatch,
		Tasks: tasks, Size: model.Resources{MilliCPU: w.size}, Restartable: restartable, IdempotencyKey: fmt.Sprint(w.tokens)}
	w.jobs[job.ID] = job
	vm.owner.Submit(w.now, w.tokens, job)
	w.drain(vm)
}

func (w *world) cancel(vm *testVM, job model.JobID) {
	w.tokens++
	w.asked[w.tokens] = job
	vm.owner.Cancel(w.now, w.tokens, job)
	w.drain(vm)
}

// settle heals everything and lets a new owner finish all work; acknowledged jobs
// must then be known and ended.
func (w *world) settle(t fataler) {
	w.store.plan, w.store.down = nil, false
	w.cut, w.deaf = map[[2]int]bool{}, map[[2]int]bool{}
	w.store.land()
	w.takeOver()
	index := len(w.vms) - 1
	vm := w.vms[index]
	for range 40 {
		for i, k := range w.workers {
			if !k.up && w.listed[i] {
				k.restart()
			}
			for _, task := range k.tasks {
				if task.state == platform.TaskRunning {
					task.state = platform.TaskDone
				}
			}
		}
		w.brisk(t, index, 1, time.Second, "")
	}
	for id := range w.acked {
		s, ok := vm.owner.JobStatus(id)
		if !ok {
			t.Fatalf("acknowledged job %s is lost", id)
		}
		if !s.Ended {
			t.Fatalf("job %s has not ended: %+v", id, s)
		}
	}
}

// brisk lets a VM work for some rounds; operations of the held kind stay on their way.
func (w *world) brisk(t fataler, index, rounds int, gap time.Duration, held string) {
	vm := w.vms[index]
	for range rounds {
		w.tick(vm)
		for n := 0; n < 100; n++ {
			o := nextOp(vm, held)
			if o == nil {
				break
			}
			w.run(index, vm, o)
			w.check(t)
		}
		w.pass(gap)
		w.check(t)
	}
}

// nextOp returns the VM's first operation that is not of the held kind.
func nextOp(vm *testVM, held string) *op {
	for _, o := range vm.ops {
		if held == "" || !strings.Contains(fmt.Sprintf("%T", o.command), held) {
			return o
		}
	}
	return nil
}
