package partition

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/proptest"
	"filbertcross/internal/schedule"
)

// faultActions are the actions of the state machine for one partition. The names of the
// actions must not change: the sequences generated from a seed depend on their order.
type faultActions struct{ *testCluster }

func (tc faultActions) drawVM(t *rapid.T) int {
	return len(tc.vms) - rapid.IntRange(1, min(3, len(tc.vms))).Draw(t, "back")
}

func (tc faultActions) drawWorker(t *rapid.T) int {
	return rapid.IntRange(0, len(tc.workers)-1).Draw(t, "worker")
}

func (tc faultActions) drawGap(t *rapid.T) time.Duration {
	ms := rapid.SampledFrom([]int{1, 50, 300, 1000, 3000, 9000}).Draw(t, "ms")
	return time.Duration(ms) * time.Millisecond
}

// Brisk runs a VM for some rounds, possibly with one kind of operation held back.
func (tc faultActions) Brisk(t *rapid.T) {
	held := rapid.SampledFrom([]string{"", "", "Start", "Renew", "Poll", "Append", "Confirm", "Stop"}).Draw(t, "held")
	tc.runRounds(t, tc.drawVM(t), rapid.IntRange(1, 8).Draw(t, "rounds"), tc.drawGap(t), held)
}

// Ops advances operations of a VM in any order.
func (tc faultActions) Ops(t *rapid.T) {
	i := tc.drawVM(t)
	vm := tc.vms[i]
	for range rapid.IntRange(1, 8).Draw(t, "ops") {
		if len(vm.ops) == 0 {
			break
		}
		o := vm.ops[rapid.IntRange(0, len(vm.ops)-1).Draw(t, "op")]
		o.lose = rapid.IntRange(0, 5).Draw(t, "lose") == 0
		tc.advanceOperation(i, vm, o)
		tc.checkInvariants(t)
	}
}

func (tc faultActions) Submit(t *rapid.T) {
	tasks := rapid.IntRange(1, 3).Draw(t, "tasks")
	tc.submit(tc.vms[tc.drawVM(t)], tasks, rapid.IntRange(0, 3).Draw(t, "restartable") > 0)
}

func (tc faultActions) Cancel(t *rapid.T) {
	job := rapid.IntRange(1, int(tc.tokens)).Draw(t, "job")
	tc.cancel(tc.vms[tc.drawVM(t)], model.JobID(fmt.Sprintf("p~%d", job)))
}

func (tc faultActions) Preempt(t *rapid.T) {
	owner := tc.vms[tc.drawVM(t)].owner
	for _, a := range sortedAttempts(owner.attempts)[:min(1, len(owner.attempts))] {
		owner.preemptAttempt(a)
	}
}

func (tc faultActions) Check(t *rapid.T)  { tc.checkInvariants(t) }
func (tc faultActions) TakeOver(*rapid.T) { tc.takeOver() }
func (tc faultActions) Tick(t *rapid.T)   { tc.tick(tc.vms[tc.drawVM(t)]) }
func (tc faultActions) Pass(t *rapid.T)   { tc.advanceTime(tc.drawGap(t)) }
func (tc faultActions) Kill(t *rapid.T)   { tc.workers[tc.drawWorker(t)].up = false }
func (tc faultActions) Land(*rapid.T)     { tc.store.applyDelayedWrites() }
func (tc faultActions) Outage(*rapid.T)   { tc.store.down = !tc.store.down }

func (tc faultActions) Restart(t *rapid.T) {
	if i := tc.drawWorker(t); tc.listed[i] {
		tc.workers[i].restart()
	}
}

// Gone removes a worker that is down from the list.
func (tc faultActions) Gone(t *rapid.T) {
	if i := tc.drawWorker(t); !tc.workers[i].up && i > 0 {
		tc.listed[i] = false
	}
}

// Unlist simulates a stale list: a new owner takes over, and its first list lacks a worker.
func (tc faultActions) Unlist(t *rapid.T) {
	i := tc.drawWorker(t)
	before := len(tc.vms)
	if tc.takeOver(); len(tc.vms) == before {
		return
	}
	listed := tc.listed[i]
	tc.listed[i] = false
	tc.tick(tc.vms[before])
	tc.listed[i] = listed
}

func (tc faultActions) Finish(t *rapid.T) {
	for _, task := range tc.workers[tc.drawWorker(t)].tasks {
		if task.state == platform.TaskRunning {
			task.state = platform.TaskDone
		}
	}
}

// Cut starts or ends the loss of requests or answers between a VM and a worker.
func (tc faultActions) Cut(t *rapid.T) {
	link := [2]int{tc.drawVM(t), tc.drawWorker(t)}
	cut := rapid.SampledFrom([]map[[2]int]bool{tc.requestsLost, tc.answersLost}).Draw(t, "way")
	cut[link] = !cut[link]
}

func (tc faultActions) CutStore(t *rapid.T) {
	vm := tc.vms[tc.drawVM(t)]
	vm.storeUnreachable = !vm.storeUnreachable
}

func (tc faultActions) Faults(t *rapid.T) {
	kinds := []fault{noFault, noFault, refused, answerLost, requestLost, delayed}
	tc.store.faultPlan = rapid.SliceOfN(rapid.SampledFrom(kinds), 0, 4).Draw(t, "plan")
}

// CutOff may cut the newest VM off from a worker and lets another VM take over that may be
// cut off from the same worker.
func (tc faultActions) CutOff(t *rapid.T) {
	i := tc.drawWorker(t)
	tc.requestsLost[[2]int{len(tc.vms) - 1, i}] = rapid.Bool().Draw(t, "old")
	tc.requestsLost[[2]int{len(tc.vms), i}] = rapid.Bool().Draw(t, "new")
	tc.takeOver()
}

func TestOwnerInvariantsUnderFaults(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		for range 4 {
			runFaultActions(t, newTestCluster(3))
		}
	})
}

// newScheduler returns the production scheduler.
func newScheduler() schedule.Decider {
	return schedule.New(schedule.DefaultOptions(), rand.New(rand.NewPCG(1, 2)))
}

func runFaultActions(t *rapid.T, tc *testCluster) {
	tc.takeOver()
	tc.runRounds(t, 0, 2, time.Second, "")
	tc.submit(tc.vms[0], 3, true)
	tc.submit(tc.vms[0], 1, false)
	actions := rapid.StateMachineActions(faultActions{tc})
	actions["brisk2"] = actions["Brisk"]
	actions["ops2"] = actions["Ops"]
	check := actions[""]
	for name, action := range actions {
		actions[name] = func(t *rapid.T) { proptest.CountStep(); action(t) }
	}
	actions[""] = check
	t.Repeat(actions)
	tc.recoverAndFinish(t)
}
