package dispatch

import (
	"slices"
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// newAcceleratorHarness returns a harness whose workers have 128 cores and 8 accelerators each.
func newAcceleratorHarness(t *testing.T, workers int) *harness {
	t.Helper()
	h := newHarness(t, workers)
	h.listWorkers(workers, makeAcceleratorWorker)
	h.commitAll() // the larger capacities
	return h
}

func makeAcceleratorWorker(_ int, e *fleet.WorkerEntry) {
	e.Capacity = model.Resources{MilliCPU: 128_000, MemoryMiB: 524_288, Accelerators: 8}
}

// acceleratorTasks is a step of n tasks with the given cores and accelerators each.
func acceleratorTasks(n int, cpu, accelerators int64, estimate time.Duration) fleet.Step {
	return fleet.Step{Tasks: n, Demand: model.Resources{MilliCPU: cpu * 1000, MemoryMiB: 1024, Accelerators: accelerators}, Estimate: estimate}
}

func acceleratorGang(n int, cpu, accelerators int64, estimate time.Duration) fleet.Step {
	s := acceleratorTasks(n, cpu, accelerators, estimate)
	s.Gang = true
	return s
}

func startsOf(starts []StartCommand, job fleet.JobID) int {
	n := 0
	for _, s := range starts {
		if s.Start.Task.Job == job {
			n++
		}
	}
	return n
}

// Tasks of one accelerator each arrive before a gang whose members need whole workers
// (salnorte-fc-grown quiet-1). They are packed onto one worker, so that the gang starts at once.
func TestSingleAcceleratorsAreLeftWholeForGangs(t *testing.T) {
	h := newAcceleratorHarness(t, 4)
	h.submit("rebuild", "singles", acceleratorTasks(8, 11, 1, 3*time.Second))
	h.decide()
	used := map[model.WorkerID]int{}
	for _, s := range h.starts {
		used[s.To.ID]++
	}
	if len(h.starts) != 8 || len(used) != 1 {
		t.Fatalf("8 tasks of one accelerator run as %v, want all on one worker", used)
	}
	h.acceptStarts(h.starts)
	h.submit("quick", "gang", acceleratorGang(3, 62, 8, 4*time.Second))
	h.decide()
	if got := startsOf(h.starts, "gang"); got != 3 {
		t.Fatalf("%d members of the gang start on the three whole workers, want 3", got)
	}
}

// gangHarness returns a harness with two accelerator workers that are full of single tasks
// without checkpoints, and the starts of these tasks.
func gangHarness(t *testing.T) (*harness, []StartCommand) {
	t.Helper()
	h := newAcceleratorHarness(t, 2)
	h.submit("rebuild", "singles", acceleratorTasks(16, 11, 1, 3*time.Second))
	h.decide()
	starts := h.starts
	if len(starts) != 16 {
		t.Fatalf("%d single tasks start, want 16", len(starts))
	}
	h.acceptStarts(starts)
	h.reportAll()
	return h, starts
}

func (h *harness) reportAll() {
	for _, w := range h.d.workerList {
		h.report(w.entry.ID)
	}
}

// end reports that the run of a start is done.
func (h *harness) end(s StartCommand) {
	h.progress += 5
	h.report(s.To.ID, h.runResult(s, fleet.OutcomeDone))
}

// decideAfter advances the clock and decides.
func (h *harness) decideAfter(d time.Duration) {
	h.advance(d)
	h.decide()
}

// A wide gang waits on busy workers while less urgent single tasks keep arriving
// (salnorte-fc-grown scale-1). The capacity that the ending tasks free is kept for the gang.
func TestWideGangOnBusyWorkersIsNotStarvedBySingleTasks(t *testing.T) {
	h, starts := gangHarness(t)
	h.submit("quick", "gang", acceleratorGang(2, 62, 8, 4*time.Second))
	h.decideAfter(100 * time.Millisecond)
	for i, s := range starts {
		h.submit("rebuild", fleet.JobID("late"+string(rune('a'+i))), acceleratorTasks(1, 11, 1, 20*time.Second))
		h.end(s)
		h.decideAfter(100 * time.Millisecond)
		if got := len(h.starts) - startsOf(h.starts, "gang"); got != 0 {
			t.Fatalf("%d single tasks take capacity reserved for the gang after the end of task %d", got, i)
		}
		if i < len(starts)-1 && len(h.starts) != 0 {
			t.Fatalf("the gang starts with %d tasks left", len(starts)-1-i)
		}
	}
	if got := startsOf(h.starts, "gang"); got != 2 {
		t.Fatalf("%d members of the gang start after the workers are free, want 2", got)
	}
}

// A worker is reserved for a gang that still waits for another worker. Short tasks run there
// meanwhile, long ones do not.
func TestShortTasksRunUnderTheReservation(t *testing.T) {
	h, starts := gangHarness(t)
	h.submit("quick", "gang", acceleratorGang(2, 62, 8, 4*time.Second))
	h.decideAfter(100 * time.Millisecond)
	for _, s := range starts {
		if s.To.ID == workerID(0) {
			h.end(s)
		}
	}
	h.submit("rebuild", "long", acceleratorTasks(1, 11, 1, 10*time.Second))
	h.submit("rebuild", "short", acceleratorTasks(1, 11, 1, time.Second))
	h.decideAfter(100 * time.Millisecond)
	if startsOf(h.starts, "short") != 1 || startsOf(h.starts, "long") != 0 {
		t.Fatalf("starts %v, want only the short task under the reservation", h.starts)
	}
}

// Checkpointing tasks of a less urgent queue fill the workers when a gang arrives
// (salnorte-fc-grown, burst of gangs). They are stopped for it, on all its workers at once.
func TestCheckpointingTasksAreStoppedForAGang(t *testing.T) {
	h := newAcceleratorHarness(t, 2)
	singles := acceleratorTasks(16, 11, 1, 20*time.Second)
	singles.Checkpointing = true
	h.submit("rebuild", "singles", singles)
	h.decide()
	starts := h.starts
	h.acceptStarts(starts)
	h.reportAll()
	h.submit("quick", "gang", acceleratorGang(2, 62, 4, 4*time.Second))
	h.decideAfter(100 * time.Millisecond)
	if len(h.stops) == 0 {
		h.decideAfter(time.Millisecond)
	}
	if len(h.stops) != 8 {
		t.Fatalf("%d runs are stopped for a gang of 2 members with 4 accelerators, want 8", len(h.stops))
	}
	stopped := map[fleet.RunID]bool{}
	for _, s := range h.stops {
		stopped[s.Run] = true
	}
	for _, s := range starts {
		if stopped[s.Start.RunID] {
			h.report(s.To.ID, h.runResult(s, fleet.OutcomeStopped))
		}
	}
	h.decideAfter(100 * time.Millisecond)
	if got := startsOf(h.starts, "gang"); got != 2 {
		t.Fatalf("%d members of the gang start after the stops, want 2", got)
	}
}

// Two gangs arrive that each need all workers. The second does not take the capacity that the
// first waits for, and starts after it.
func TestTwoGangsThatNeedTheSameWorkersStartOneAfterTheOther(t *testing.T) {
	h, starts := gangHarness(t)
	h.submit("quick", "first", acceleratorGang(2, 62, 8, 2*time.Second))
	h.advance(time.Millisecond)
	h.submit("quick", "second", acceleratorGang(2, 62, 8, 3*time.Second))
	h.decideAfter(100 * time.Millisecond)
	for _, s := range starts {
		h.end(s)
		h.decideAfter(100 * time.Millisecond)
	}
	if len(h.starts) != 2 || startsOf(h.starts, "first") != 2 {
		t.Fatalf("starts %v, want the two members of the first gang", h.starts)
	}
	first := h.starts
	h.acceptStarts(first)
	for _, s := range first {
		h.end(s)
	}
	h.decideAfter(100 * time.Millisecond)
	if startsOf(h.starts, "second") != 2 {
		t.Fatalf("starts %v, want the two members of the second gang", h.starts)
	}
}

// The tickets of a waiting gang have expired. They are renewed in one call for all reserved
// workers when the gang can start soon, not worker by worker.
func TestWaitingGangRenewsTheTicketsOfAllReservedWorkersAtOnce(t *testing.T) {
	h, starts := gangHarness(t)
	gang := acceleratorGang(2, 62, 8, 4*time.Second)
	h.submit("advised", "gang", gang)
	h.decideAfter(100 * time.Millisecond)
	if len(h.adviceCalls) != 1 {
		t.Fatalf("%d advice calls, want 1", len(h.adviceCalls))
	}
	tickets := map[model.WorkerID]string{workerID(0): "t0", workerID(1): "t1"}
	call := h.adviceCalls[0]
	h.d.HandleAdvice(h.now, call.Step, call.Workers, tickets, time.Second, nil)
	h.decideAfter(100 * time.Millisecond)
	for range 20 { // until the reserved workers are estimated to be free
		h.decideAfter(100 * time.Millisecond)
		if len(h.adviceCalls) != 0 && h.now < time.Hour+2700*time.Millisecond {
			t.Fatalf("tickets are renewed %v after the singles' start, long before the gang can start", h.now-time.Hour)
		}
	}
	var renewed []AdviseCommand
	for i := range 20 {
		if i < len(starts) {
			h.end(starts[i])
		}
		h.decideAfter(50 * time.Millisecond)
		renewed = append(renewed, h.adviceCalls...)
	}
	if len(renewed) != 1 || len(renewed[0].Workers) != 2 {
		t.Fatalf("advice calls %v, want one that names both reserved workers", renewed)
	}
	h.d.HandleAdvice(h.now, renewed[0].Step, renewed[0].Workers, tickets, time.Second, nil)
	h.decideAfter(time.Millisecond)
	if got := startsOf(h.starts, "gang"); got != 2 {
		t.Fatalf("%d members of the gang start with the new tickets, want 2", got)
	}
}

// A gang waits for busy workers when a long-running task of a less urgent queue has to be
// restarted. The reservation does not hold it up.
func TestLongRunningTaskIgnoresTheReservation(t *testing.T) {
	h, starts := gangHarness(t)
	h.submit("quick", "gang", acceleratorGang(2, 62, 8, 4*time.Second))
	h.decideAfter(100 * time.Millisecond)
	watcher := acceleratorTasks(1, 11, 1, time.Second)
	watcher.LongRunning = true
	h.submit("rebuild", "watcher", watcher)
	h.end(starts[0])
	h.decideAfter(100 * time.Millisecond)
	if startsOf(h.starts, "watcher") != 1 {
		t.Fatalf("starts %v, want the long-running task", h.starts)
	}
}

// All members of a gang fit, but the advice service does not answer. After a while other tasks
// may use the reserved workers.
func TestGangWithoutAdviceDoesNotHoldWorkers(t *testing.T) {
	h, starts := gangHarness(t)
	h.submit("advised", "gang", acceleratorGang(2, 62, 8, 4*time.Second))
	h.decideAfter(100 * time.Millisecond)
	call := h.adviceCalls[0]
	tickets := map[model.WorkerID]string{workerID(0): "t0", workerID(1): "t1"}
	h.d.HandleAdvice(h.now, call.Step, call.Workers, tickets, 200*time.Millisecond, nil)
	h.decideAfter(100 * time.Millisecond)
	for _, s := range starts {
		h.end(s)
	}
	h.submit("rebuild", "single", acceleratorTasks(1, 11, 1, 20*time.Second))
	waited := time.Duration(0)
	for ; waited < 5*time.Second; waited += 100 * time.Millisecond {
		h.decideAfter(100 * time.Millisecond)
		if startsOf(h.starts, "single") == 1 {
			break
		}
	}
	if waited < time.Second || waited > 3*time.Second {
		t.Fatalf("the single task starts after %v, want it after the gang could have started for 2 s", waited)
	}
}

// Independent tasks that need whole workers wait while less urgent single tasks keep arriving
// (salnorte-fc scale-2). Each starts on the first worker that is free; the capacity that the ending
// tasks free there is kept for it.
func TestWideTasksAreNotStarvedBySingleTasks(t *testing.T) {
	h, starts := gangHarness(t)
	h.submit("quick", "wide", acceleratorTasks(2, 62, 8, 4*time.Second))
	h.decideAfter(100 * time.Millisecond)
	started := 0
	for i, s := range starts {
		h.submit("rebuild", fleet.JobID("late"+string(rune('a'+i))), acceleratorTasks(1, 11, 1, 20*time.Second))
		h.end(s)
		h.decideAfter(100 * time.Millisecond)
		if got := len(h.starts) - startsOf(h.starts, "wide"); got != 0 {
			t.Fatalf("%d single tasks take capacity reserved for a wide task after the end of task %d", got, i)
		}
		started += startsOf(h.starts, "wide")
	}
	if started != 2 {
		t.Fatalf("%d wide tasks start, want 2", started)
	}
}

// Workers are added while a gang waits for busy ones (scale_out, release). They are named in an
// advice call at once, although the gang has reserved others.
func TestAddedWorkersAreNamedWhileAGangWaits(t *testing.T) {
	h, _ := gangHarness(t)
	h.submit("advised", "gang", acceleratorGang(2, 62, 8, 4*time.Second))
	h.decideAfter(100 * time.Millisecond)
	call := h.adviceCalls[0]
	tickets := map[model.WorkerID]string{workerID(0): "t0", workerID(1): "t1"}
	h.d.HandleAdvice(h.now, call.Step, call.Workers, tickets, time.Second, nil)
	h.decideAfter(100 * time.Millisecond)
	h.listWorkers(4, makeAcceleratorWorker)
	h.commitAll()
	h.decide()
	h.report(workerID(2))
	h.report(workerID(3))
	for range 3 {
		h.decideAfter(100 * time.Millisecond)
		if len(h.adviceCalls) > 0 {
			break
		}
	}
	want := []model.WorkerID{workerID(2), workerID(3)}
	if len(h.adviceCalls) != 1 || !slices.Equal(h.adviceCalls[0].Workers, want) {
		t.Fatalf("advice calls %v, want one that names the added workers", h.adviceCalls)
	}
}

// Workers become usable between two attempts to place a gang, and nothing else changes. The gang started 2 s later, when the
// workers' idle polls ended.
func TestGangStartsOnWorkersThatWereFreedBeforeItsNextAttempt(t *testing.T) {
	f := newCrashFleet(t, 4)
	gang := tasks(2, 20)
	gang.Gang = true
	f.restart(nil, nil, &fleet.Submission{ID: "gang", Queue: "quick", Service: "pool", Steps: []fleet.Step{gang}})
	if !f.pass(200*time.Millisecond, func() bool { return f.starts[taskID("gang", 1)] == 1 }) {
		t.Fatal("the gang has not started 200 ms after a takeover with free workers")
	}
}

// The runs on the reserved workers take longer than declared. The reservation outlasts them.
func TestReservationOutlastsRunsThatOverrunTheirEstimates(t *testing.T) {
	h, starts := gangHarness(t)
	h.submit("quick", "gang", acceleratorGang(2, 62, 8, 10*time.Second))
	h.decideAfter(100 * time.Millisecond)
	h.progress = 90 // all runs report 100 percent from now on
	for range 60 {
		h.reportAll()
		h.decideAfter(100 * time.Millisecond)
	}
	h.submit("rebuild", "single", acceleratorTasks(1, 11, 1, 20*time.Second))
	h.report(starts[0].To.ID, h.runResult(starts[0], fleet.OutcomeDone))
	h.decideAfter(100 * time.Millisecond)
	if len(h.starts) != 0 {
		t.Fatalf("starts %v, want none: the capacity is reserved for the gang", h.starts)
	}
}
