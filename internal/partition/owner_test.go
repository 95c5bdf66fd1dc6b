package partition

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/proptest"
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
	vms     []*testVM
	decider func() schedule.Decider

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
		now: time.Unix(1000, 0), store: newFakeStore(), cut: map[[2]int]bool{},
		jobs: map[model.JobID]model.Job{}, acked: map[model.JobID]bool{},
		canceled: map[model.JobID]map[model.TaskID]int64{}, asked: map[Token]model.JobID{},
		begun: map[model.TaskID]map[int64]bool{}, decider: newScheduler,
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
	l, replay, err := TakeOver(context.Background(), w.store, Options{Partition: "p", VM: "vm", Ring: 64,
		Lead: testLead, Clock: func() time.Time { return w.now }, Sleep: noSleep})
	if err != nil {
		return
	}
	opts := DefaultOwnerOptions("p", l.Epoch(), testLead)
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
		if err := f(k); !o.lose {
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
		if !used.Fits(k.capacity) {
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
	job := model.Job{ID: model.JobID(fmt.Sprintf("p~%d", w.tokens)), Branch: "b", Kind: model.KindBatch,
		Tasks: tasks, Size: model.Resources{MilliCPU: 1}, Restartable: restartable, IdempotencyKey: fmt.Sprint(w.tokens)}
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
	w.store.plan, w.store.down, w.cut = nil, false, map[[2]int]bool{}
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

// faultActions are the steps of the state machine.
type faultActions struct{ *world }

func (w faultActions) anyVM(t *rapid.T) int {
	return len(w.vms) - rapid.IntRange(1, min(3, len(w.vms))).Draw(t, "back")
}

func (w faultActions) anyWorker(t *rapid.T) int {
	return rapid.IntRange(0, len(w.workers)-1).Draw(t, "worker")
}

func (w faultActions) gap(t *rapid.T) time.Duration {
	ms := rapid.SampledFrom([]int{1, 50, 300, 1000, 3000, 9000}).Draw(t, "ms")
	return time.Duration(ms) * time.Millisecond
}

func (w faultActions) Brisk(t *rapid.T) {
	held := rapid.SampledFrom([]string{"", "", "Start", "Renew", "Poll", "Append", "Confirm", "Stop"}).Draw(t, "held")
	w.brisk(t, w.anyVM(t), rapid.IntRange(1, 8).Draw(t, "rounds"), w.gap(t), held)
}

func (w faultActions) Ops(t *rapid.T) {
	i := w.anyVM(t)
	vm := w.vms[i]
	for range rapid.IntRange(1, 8).Draw(t, "ops") {
		if len(vm.ops) == 0 {
			break
		}
		o := vm.ops[rapid.IntRange(0, len(vm.ops)-1).Draw(t, "op")]
		o.lose = rapid.IntRange(0, 5).Draw(t, "lose") == 0
		w.run(i, vm, o)
		w.check(t)
	}
}

func (w faultActions) Submit(t *rapid.T) {
	tasks := rapid.IntRange(1, 3).Draw(t, "tasks")
	w.submit(w.vms[w.anyVM(t)], tasks, rapid.IntRange(0, 3).Draw(t, "restartable") > 0)
}

func (w faultActions) Cancel(t *rapid.T) {
	job := rapid.IntRange(1, int(w.tokens)).Draw(t, "job")
	w.cancel(w.vms[w.anyVM(t)], model.JobID(fmt.Sprintf("p~%d", job)))
}

func (w faultActions) Preempt(t *rapid.T) {
	owner := w.vms[w.anyVM(t)].owner
	for _, a := range sorted(owner.attempts)[:min(1, len(owner.attempts))] {
		owner.preempt(a)
	}
}

func (w faultActions) Check(t *rapid.T)  { w.check(t) }
func (w faultActions) TakeOver(*rapid.T) { w.takeOver() }
func (w faultActions) Tick(t *rapid.T)   { w.tick(w.vms[w.anyVM(t)]) }
func (w faultActions) Pass(t *rapid.T)   { w.pass(w.gap(t)) }
func (w faultActions) Kill(t *rapid.T)   { w.workers[w.anyWorker(t)].up = false }
func (w faultActions) Land(*rapid.T)     { w.store.land() }
func (w faultActions) Outage(*rapid.T)   { w.store.down = !w.store.down }

func (w faultActions) Restart(t *rapid.T) {
	if i := w.anyWorker(t); w.listed[i] {
		w.workers[i].restart()
	}
}

func (w faultActions) Gone(t *rapid.T) {
	if i := w.anyWorker(t); !w.workers[i].up && i > 0 {
		w.listed[i] = false
	}
}

// Unlist has the list lag: a worker that no owner has seen yet is not in it.
func (w faultActions) Unlist(t *rapid.T) {
	i := w.anyWorker(t)
	before := len(w.vms)
	if w.takeOver(); len(w.vms) == before {
		return
	}
	listed := w.listed[i]
	w.listed[i] = false
	w.tick(w.vms[before])
	w.listed[i] = listed
}

func (w faultActions) Finish(t *rapid.T) {
	for _, task := range w.workers[w.anyWorker(t)].tasks {
		if task.state == platform.TaskRunning {
			task.state = platform.TaskDone
		}
	}
}

func (w faultActions) Cut(t *rapid.T) {
	link := [2]int{w.anyVM(t), w.anyWorker(t)}
	w.cut[link] = !w.cut[link]
}

func (w faultActions) Faults(t *rapid.T) {
	kinds := []fault{none, none, refused, answerLost, requestLost, delayed}
	w.store.plan = rapid.SliceOfN(rapid.SampledFrom(kinds), 0, 4).Draw(t, "plan")
}

// CutOff has the newest VM lose a worker, and another one take over that may not
// reach it either.
func (w faultActions) CutOff(t *rapid.T) {
	i := w.anyWorker(t)
	w.cut[[2]int{len(w.vms) - 1, i}] = rapid.Bool().Draw(t, "old")
	w.cut[[2]int{len(w.vms), i}] = rapid.Bool().Draw(t, "new")
	w.takeOver()
}

func TestOwnersUnderFaults(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		for range 4 {
			runFaults(t, newWorld(3))
		}
	})
}

// newScheduler returns the product's own decision.
func newScheduler() schedule.Decider {
	return schedule.New(schedule.DefaultOptions(), rand.New(rand.NewPCG(1, 2)))
}

func runFaults(t *rapid.T, w *world) {
	w.takeOver()
	w.brisk(t, 0, 2, time.Second, "")
	w.submit(w.vms[0], 3, true)
	w.submit(w.vms[0], 1, false)
	actions := rapid.StateMachineActions(faultActions{w})
	actions["brisk2"] = actions["Brisk"]
	actions["ops2"] = actions["Ops"]
	check := actions[""]
	for name, action := range actions {
		actions[name] = func(t *rapid.T) { proptest.Step(); action(t) }
	}
	actions[""] = check
	t.Repeat(actions)
	w.settle(t)
}
