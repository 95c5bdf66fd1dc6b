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

// failer is a test or a property check.
type failer interface {
	Fatalf(format string, args ...any)
}

// operation is a command in flight: it is first executed at the store or worker, then its
// result is delivered to the owner. Either step may be delayed for any time.
type operation struct {
	command Command
	sent    time.Time
	deliver func(now time.Time) // delivers the result; nil: not executed yet
	lose    bool                // the answer will be lost
}

// testVM is a VM that owns the partition or believes it does.
type testVM struct {
	log   *Log
	owner *Owner
	ops   []*operation
	// storeUnreachable cuts only this VM off from the store.
	storeUnreachable bool
}

// testCluster simulates workers, the store, the platform's list, and VMs that contend for
// one partition. The invariant check looks only at what actually runs on the workers.
type testCluster struct {
	now          time.Time
	store        *fakeStore
	workers      []*fakeWorker
	clockRates   []float64
	listed       []bool
	requestsLost map[[2]int]bool // by index of VM and worker: no call reaches the worker
	answersLost  map[[2]int]bool // by index of VM and worker: no answer reaches the VM
	vms          []*testVM
	decider      func() schedule.Decider

	partition           model.PartitionID
	taskSize            int64                          // milli-CPU of each submitted task
	handoverAfter       time.Duration                  // OwnerOptions.HandoverAfter
	runOnOtherPartition func(vm *testVM, o *operation) // executes commands for another partition
	takeHandoverReply   func(r Reply) bool             // reports whether the reply answered another partition's handover

	jobs            map[model.JobID]model.Job
	acknowledged    map[model.JobID]bool
	canceled        map[model.JobID]map[model.TaskID]int64 // acknowledged cancellations, with the newest attempts at that time
	cancellations   map[Token]model.JobID                  // jobs of the requested cancellations
	startedAttempts map[model.TaskID]map[int64]bool        // attempts that ran
	tokens          Token
	violation       string // invariant violation reported by an owner
}

func newTestCluster(workers int) *testCluster {
	tc := &testCluster{
		now: time.Unix(1000, 0), store: newFakeStore(), requestsLost: map[[2]int]bool{}, answersLost: map[[2]int]bool{},
		jobs: map[model.JobID]model.Job{}, acknowledged: map[model.JobID]bool{},
		canceled: map[model.JobID]map[model.TaskID]int64{}, cancellations: map[Token]model.JobID{},
		startedAttempts: map[model.TaskID]map[int64]bool{}, decider: newScheduler, partition: "p", taskSize: 1,
	}
	for i := range workers {
		tc.workers = append(tc.workers, &fakeWorker{id: model.WorkerID(fmt.Sprintf("w%d", i)), up: true,
			clock: platform.WorkerTime(i) * 1e12, capacity: model.Resources{MilliCPU: 2},
			tasks: map[platform.TaskRef]*fakeTask{}})
		tc.clockRates = append(tc.clockRates, 1+0.004*float64(i%3-1))
		tc.listed = append(tc.listed, true)
	}
	return tc
}

func (tc *testCluster) takeOver() {
	l, replay, err := TakeOver(context.Background(), tc.store, Options{Partition: tc.partition, VM: "vm", LogSlots: 64,
		Lead: testLead, Clock: func() time.Time { return tc.now }, Sleep: noSleep})
	if err != nil {
		return
	}
	opts := DefaultOwnerOptions(tc.partition, l.Epoch(), testLead)
	opts.HandoverAfter = tc.handoverAfter
	o, err := NewOwner(opts, replay, l.Horizon(), tc.decider(), tc.now)
	if err != nil {
		panic(err)
	}
	o.SetBranches(tc.now, []model.Branch{{ID: "b", Share: 1}})
	tc.vms = append(tc.vms, &testVM{log: l, owner: o})
}

// collectCommands turns the commands of a VM's owner into operations in flight.
func (tc *testCluster) collectCommands(vm *testVM) {
	for _, c := range vm.owner.Commands() {
		switch c := c.(type) {
		case Reply:
			tc.takeReply(vm, c)
		case Notice:
			if c.Kind == NoticeInvariantViolated {
				tc.violation = c.Reason
			}
		default:
			vm.ops = append(vm.ops, &operation{command: c, sent: tc.now})
		}
	}
}

func (tc *testCluster) takeReply(vm *testVM, r Reply) {
	if tc.takeHandoverReply != nil && tc.takeHandoverReply(r) {
		return
	}
	if r.Err != nil || r.Status.Code == schedule.Invalid || r.Status.Code == schedule.NeverFits {
		return
	}
	job, isCancel := tc.cancellations[r.Token]
	if !isCancel {
		tc.acknowledged[r.Job] = true
		return
	}
	newest := map[model.TaskID]int64{}
	for i := range tc.jobs[job].Tasks {
		if t := vm.owner.state.task(taskID(job, i)); t != nil {
			newest[taskID(job, i)] = t.Attempt
		}
	}
	tc.canceled[job] = newest
}

// advanceOperation performs the next step of an operation: its execution, or the delivery
// of its result.
func (tc *testCluster) advanceOperation(index int, vm *testVM, o *operation) {
	if o.deliver == nil {
		tc.execute(index, vm, o)
		return
	}
	for i := range vm.ops {
		if vm.ops[i] == o {
			vm.ops = append(vm.ops[:i], vm.ops[i+1:]...)
			break
		}
	}
	o.deliver(tc.now)
	tc.collectCommands(vm)
}

func (tc *testCluster) execute(index int, vm *testVM, o *operation) {
	ctx, owner := context.Background(), vm.owner
	if vm.storeUnreachable {
		down := tc.store.down
		tc.store.down = true
		defer func() { tc.store.down = down }()
	}
	switch c := o.command.(type) {
	case Append:
		err := vm.log.Append(ctx, c.Records)
		position := vm.log.Position()
		o.deliver = func(now time.Time) { owner.Appended(now, c.Token, position, err) }
	case ConfirmOwnership:
		err := vm.log.ConfirmOwnership(ctx)
		horizon := vm.log.Horizon()
		o.deliver = func(now time.Time) { deliverConfirmation(owner, now, horizon, err) }
	case ClearPriorLead:
		_ = vm.log.ClearPriorLead(ctx)
		o.deliver = func(time.Time) {}
	case TakeSnapshot:
		err := vm.log.Snapshot(ctx, c.Data, c.Through)
		o.deliver = func(now time.Time) { owner.SnapshotTaken(now, err) }
	case FindHandoverTarget, HandOverJob, QueryJobEnded:
		tc.runOnOtherPartition(vm, o)
	default:
		tc.executeOnWorker(index, vm, o)
	}
}

func deliverConfirmation(o *Owner, now, horizon time.Time, err error) {
	switch {
	case err == nil:
		o.HorizonExtended(now, horizon)
	case errors.Is(err, ErrOwnershipLost):
		o.EndEpoch(now, "the record carries a newer epoch")
	default:
		o.OwnershipUnconfirmed(now)
	}
}

// callWorker calls f on the worker unless the worker is down or unreachable from the VM.
func (tc *testCluster) callWorker(index int, o *operation, id model.WorkerID, f func(*fakeWorker) error) error {
	for i, worker := range tc.workers {
		if worker.id != id {
			continue
		}
		if !worker.up || tc.requestsLost[[2]int{index, i}] {
			return errTimeout
		}
		if err := f(worker); !o.lose && !tc.answersLost[[2]int{index, i}] {
			return err
		}
	}
	return errTimeout
}

func (tc *testCluster) executeOnWorker(index int, vm *testVM, o *operation) {
	owner, epoch := vm.owner, vm.log.Epoch()
	switch c := o.command.(type) {
	case PollWorker:
		var r platform.WorkerReport
		err := tc.callWorker(index, o, c.Worker, func(worker *fakeWorker) (err error) { r, err = worker.report(epoch); return })
		o.deliver = func(now time.Time) { owner.WorkerReported(now, o.sent, c.Worker, r, err) }
	case StartTask:
		ref := platform.TaskRef{Task: c.Start.Task, Attempt: c.Start.Attempt}
		err := tc.callWorker(index, o, c.Worker, func(worker *fakeWorker) error { return worker.start(c.Start) })
		o.deliver = func(now time.Time) { owner.StartReturned(now, c.Worker, ref, err) }
	case RenewLeases:
		err := tc.callWorker(index, o, c.Worker, func(worker *fakeWorker) error { return worker.renew(c.Renewal) })
		o.deliver = func(now time.Time) { owner.CallReturned(now, err) }
	case StopTask:
		err := tc.callWorker(index, o, c.Worker, func(worker *fakeWorker) error { return worker.stop(epoch, c.Ref) })
		o.deliver = func(now time.Time) { owner.StopReturned(now, c.Ref, err) }
	case ForgetAttempts:
		err := tc.callWorker(index, o, c.Worker, func(worker *fakeWorker) error { return worker.forget(epoch, c.Refs) })
		o.deliver = func(now time.Time) { owner.CallReturned(now, err) }
	case CheckpointTask:
		o.deliver = func(now time.Time) { owner.CheckpointReturned(now, c.Ref, "", errTimeout) }
	default:
		panic(fmt.Sprintf("command %T", c))
	}
}

// advanceTime advances all clocks, each at its own rate.
func (tc *testCluster) advanceTime(d time.Duration) {
	tc.now = tc.now.Add(d)
	for i, worker := range tc.workers {
		worker.advanceClock(time.Duration(float64(d) * tc.clockRates[i]))
	}
}

// checkInvariants fails if an owner reported a violation, a task runs twice, a worker runs
// more than its capacity, or a task ran that must not.
func (tc *testCluster) checkInvariants(t failer) {
	if tc.violation != "" {
		t.Fatalf("owner reported an invariant violation: %s", tc.violation)
	}
	places := map[model.TaskID]model.WorkerID{}
	for _, worker := range tc.workers {
		if !worker.up {
			continue
		}
		var used model.Resources
		for ref, task := range worker.tasks {
			tc.recordRun(t, ref, task)
			if task.state != platform.TaskRunning {
				continue
			}
			used = used.Add(task.start.Size)
			if other, twice := places[ref.Task]; twice {
				t.Fatalf("task %s runs on %s and %s", ref.Task, other, worker.id)
			}
			places[ref.Task] = worker.id
		}
		if !used.FitsIn(worker.capacity) {
			t.Fatalf("worker %s runs %v of %v", worker.id, used, worker.capacity)
		}
	}
}

func (tc *testCluster) recordRun(t failer, ref platform.TaskRef, task *fakeTask) {
	if tc.startedAttempts[ref.Task] == nil {
		tc.startedAttempts[ref.Task] = map[int64]bool{}
	}
	tc.startedAttempts[ref.Task][ref.Attempt] = true
	job, _, _ := splitTask(ref.Task)
	if newest, ok := tc.canceled[job]; ok && ref.Attempt > newest[ref.Task] {
		t.Fatalf("attempt %d of %s began after its job's cancellation", ref.Attempt, ref.Task)
	}
	if !tc.jobs[job].Restartable && len(tc.startedAttempts[ref.Task]) > 1 {
		t.Fatalf("non-restartable task %s ran %d times", ref.Task, len(tc.startedAttempts[ref.Task]))
	}
}

func (tc *testCluster) listWorkers() []platform.VM {
	var vms []platform.VM
	for i, worker := range tc.workers {
		if tc.listed[i] {
			vms = append(vms, platform.VM{ID: string(worker.id), Role: platform.RoleWorker})
		}
	}
	return vms
}

func (tc *testCluster) tick(vm *testVM) {
	vm.owner.WorkersListed(tc.now, tc.listWorkers())
	vm.owner.Tick(tc.now)
	tc.collectCommands(vm)
}

func (tc *testCluster) submit(vm *testVM, tasks int, restartable bool) {
	tc.tokens++
	job := model.Job{ID: model.JobID(fmt.Sprintf("%s~%d", tc.partition, tc.tokens)), Branch: "b", Kind: model.KindBatch,
		Tasks: tasks, Size: model.Resources{MilliCPU: tc.taskSize}, Restartable: restartable, IdempotencyKey: fmt.Sprint(tc.tokens)}
	tc.jobs[job.ID] = job
	vm.owner.Submit(tc.now, tc.tokens, job)
	tc.collectCommands(vm)
}

func (tc *testCluster) cancel(vm *testVM, job model.JobID) {
	tc.tokens++
	tc.cancellations[tc.tokens] = job
	vm.owner.Cancel(tc.now, tc.tokens, job)
	tc.collectCommands(vm)
}

// recoverAndFinish removes all faults and lets a new owner finish all work. Every
// acknowledged job must then be known and ended.
func (tc *testCluster) recoverAndFinish(t failer) {
	tc.store.faultPlan, tc.store.down = nil, false
	tc.requestsLost, tc.answersLost = map[[2]int]bool{}, map[[2]int]bool{}
	tc.store.applyDelayedWrites()
	tc.takeOver()
	index := len(tc.vms) - 1
	vm := tc.vms[index]
	for range 40 {
		for i, worker := range tc.workers {
			if !worker.up && tc.listed[i] {
				worker.restart()
			}
			for _, task := range worker.tasks {
				if task.state == platform.TaskRunning {
					task.state = platform.TaskDone
				}
			}
		}
		tc.runRounds(t, index, 1, time.Second, "")
	}
	for id := range tc.acknowledged {
		s, ok := vm.owner.JobStatus(id)
		if !ok {
			t.Fatalf("acknowledged job %s is lost", id)
		}
		if !s.Ended {
			t.Fatalf("job %s has not ended: %+v", id, s)
		}
	}
}

// runRounds runs a VM for some rounds. Operations whose command type contains held stay in
// flight.
func (tc *testCluster) runRounds(t failer, index, rounds int, gap time.Duration, held string) {
	vm := tc.vms[index]
	for range rounds {
		tc.tick(vm)
		for n := 0; n < 100; n++ {
			o := nextOperation(vm, held)
			if o == nil {
				break
			}
			tc.advanceOperation(index, vm, o)
			tc.checkInvariants(t)
		}
		tc.advanceTime(gap)
		tc.checkInvariants(t)
	}
}

// nextOperation returns the VM's first operation that is not held back.
func nextOperation(vm *testVM, held string) *operation {
	for _, o := range vm.ops {
		if held == "" || !strings.Contains(fmt.Sprintf("%T", o.command), held) {
			return o
		}
	}
	return nil
}
