package dispatch

import (
	"fmt"
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// answerAdvice answers a call: all workers that it names are allowed.
func (h *harness) answerAdvice(call AdviseCommand) {
	allowed := map[model.WorkerID]string{}
	for _, id := range call.Workers {
		allowed[id] = "ticket"
	}
	h.d.HandleAdvice(h.now, call.Step, call.Workers, allowed, 2500*time.Millisecond, nil)
}

// Load: short submissions arrive at the same moment on a fleet with room for all. Guards against calls
// that all name the workers with the most room, of which only the first answer is of use: most
// submissions then waited for further calls, with a fifth of the cluster free.
func TestShortCallsAtTheSameTimeNameDifferentWorkers(t *testing.T) {
	h := newHarness(t, 120)
	h.d.SetAdviceSlots(20)
	for i := range 4 {
		h.submit("advised", fleet.JobID(fmt.Sprint(i)), tasks(9, 7))
	}
	h.decide()
	named := map[model.WorkerID]int{}
	for _, call := range h.adviceCalls {
		for _, id := range call.Workers {
			named[id]++
		}
	}
	if len(h.adviceCalls) != 4 || len(named) != 4*objectiveAdviceWorkers {
		t.Fatalf("%d calls name %d different workers, want 4 calls that name 120", len(h.adviceCalls), len(named))
	}
	for _, call := range h.adviceCalls {
		h.answerAdvice(call)
	}
	h.advance(10 * time.Millisecond)
	h.decide()
	if len(h.starts) != 36 {
		t.Fatalf("%d starts after one call for each submission, want all 36", len(h.starts))
	}
	for _, w := range h.d.workerList {
		if w.claimedMilliCPU != 0 {
			t.Fatalf("%s has %d mCPU claimed without a call in flight", w.entry.ID, w.claimedMilliCPU)
		}
	}
}

// Guards against an owner whose process ends because a worker left while a call that names it was in
// flight.
func TestWorkerMayLeaveWhileACallNamesIt(t *testing.T) {
	h := newHarness(t, 3)
	h.submit("advised", "a", tasks(2, 8))
	h.decide()
	call := h.adviceCalls[0]
	h.listWorkers(2)
	h.d.HandleRenewFailure(h.now, workerID(2), errNoResponse)
	h.advance(time.Minute)
	h.decide()
	if h.d.workers[workerID(2)] != nil {
		t.Fatal("the worker that left is still known")
	}
	h.answerAdvice(call)
	for _, w := range h.d.workerList {
		if w.claimedMilliCPU != 0 {
			t.Fatalf("%s has %d mCPU claimed without a call in flight", w.entry.ID, w.claimedMilliCPU)
		}
	}
}

// Load: a full cluster of which advice allows the step two workers. Guards against a step that stays
// without a ticket although capacity was freed on a worker that it may use, and against one that keeps
// the advice service busy meanwhile.
func TestFreedCapacityWakesStepWithoutWorkersToName(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("quick", "full", tasks(2, 32))
	h.decide()
	first := h.starts
	h.acceptStarts(first)
	h.submit("advised", "waits", tasks(1, 8))
	calls := 0
	for range 300 { // the tickets of the first call expire
		h.advance(10 * time.Millisecond)
		h.decide()
		calls += len(h.adviceCalls)
		for _, call := range h.adviceCalls {
			h.answerAdvice(call)
		}
		for _, renewal := range h.renewals {
			h.progress++
			h.report(renewal.To.ID)
		}
	}
	if calls != 1 {
		t.Fatalf("%d advice calls while both workers are full, want 1", calls)
	}
	h.report(first[0].To.ID, h.runResult(first[0], fleet.OutcomeDone))
	for range 10 {
		h.advance(10 * time.Millisecond)
		h.decide()
		for _, call := range h.adviceCalls {
			h.answerAdvice(call)
		}
		if len(h.starts) > 0 {
			return
		}
	}
	t.Fatal("not started within 100 ms of the end of a run on a worker that it may use")
}
