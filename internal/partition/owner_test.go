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

// faultActions are the steps of the state machine.
type faultActions struct{ *testCluster }

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
	for _, a := range sortedAttempts(owner.attempts)[:min(1, len(owner.attempts))] {
		owner.preemptAttempt(a)
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
	cut := rapid.SampledFrom([]map[[2]int]bool{w.cut, w.deaf}).Draw(t, "way")
	cut[link] = !cut[link]
}

func (w faultActions) CutStore(t *rapid.T) {
	vm := w.vms[w.anyVM(t)]
	vm.storeless = !vm.storeless
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
			runFaults(t, newTestCluster(3))
		}
	})
}

// newScheduler returns the product's own decision.
func newScheduler() schedule.Decider {
	return schedule.New(schedule.DefaultOptions(), rand.New(rand.NewPCG(1, 2)))
}

func runFaults(t *rapid.T, w *testCluster) {
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
