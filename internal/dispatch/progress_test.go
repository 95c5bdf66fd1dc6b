package dispatch

import (
	"fmt"
	"testing"

	"filbertcross/internal/fleet"
)

// Pattern: the store takes 0.3 s for a write while a burst of submissions ends
// (hoogvlucht-sched-grown trouble-2, platform_slow): what callers wait for goes first, and
// several writes are out, none with a record of another.
func TestFinalStatesAreWrittenFirstInConcurrentBatches(t *testing.T) {
	r := newHarness(t, 4)
	var half, whole []fleet.RunResult
	at := workerID(0)
	for i := range 20 {
		r.submit("quick", fleet.JobID(fmt.Sprintf("half%02d", i)), tasks(2, 1))
		r.submit("quick", fleet.JobID(fmt.Sprintf("whole%02d", i)), tasks(1, 1))
	}
	r.decide()
	r.acceptStarts(r.starts)
	halves := map[fleet.JobID]bool{}
	byWorker := map[string][]fleet.RunResult{}
	for _, s := range r.starts {
		id := s.Start.Task.Job
		if id[0] == 'h' && halves[id] {
			continue
		}
		halves[id] = true
		end := r.runResult(s, fleet.OutcomeDone)
		byWorker[string(s.To.ID)] = append(byWorker[string(s.To.ID)], end)
		if id[0] == 'h' {
			half = append(half, end)
		} else {
			whole = append(whole, end)
		}
	}
	for i := range 4 {
		r.report(workerID(i), byWorker[string(workerID(i))]...)
	}
	if len(half) != 20 || len(whole) != 20 {
		t.Fatalf("%d and %d ends at %s", len(half), len(whole), at)
	}
	first := r.d.NextBatch(r.now, 15)
	second := r.d.NextBatch(r.now, 15)
	seen := map[fleet.JobID]bool{}
	final := 0
	for _, rec := range append(first, second...) {
		if seen[rec.Job] {
			t.Fatalf("%s is in two batches that are out", rec.Job)
		}
		seen[rec.Job] = true
		if rec.Progress.State.Final() {
			final++
		}
	}
	if len(first) != 15 || len(second) != 15 || final != 20 {
		t.Fatalf("batches of %d and %d with %d final states of 20", len(first), len(second), final)
	}
	r.d.HandleBatchResult(r.now, second, true)
	r.d.HandleBatchResult(r.now, first, false)
	for _, rec := range first {
		if r.d.State(rec.Job).Final() {
			t.Fatalf("%s is shown as ended although its write failed", rec.Job)
		}
	}
	again := r.d.NextBatch(r.now, 30)
	for _, rec := range first {
		found := false
		for _, other := range again {
			found = found || other.Job == rec.Job
		}
		if !found {
			t.Fatalf("%s is not written again after its write failed", rec.Job)
		}
	}
}

// A change that comes while a job's write is out is written after it, not beside it.
func TestChangeDuringWriteIsWrittenAfterIt(t *testing.T) {
	r := newHarness(t, 1)
	r.submit("quick", "a", tasks(2, 1))
	r.decide()
	r.acceptStarts(r.starts)
	starts := r.starts
	r.report(workerID(0), r.runResult(starts[0], fleet.OutcomeDone))
	out := r.d.NextBatch(r.now, 15)
	if len(out) != 1 {
		t.Fatalf("batch %v", out)
	}
	second := r.runResult(starts[1], fleet.OutcomeDone)
	second.Number = 2
	r.report(workerID(0), second)
	if beside := r.d.NextBatch(r.now, 15); len(beside) != 0 || r.d.HasUrgentRecord() {
		t.Fatalf("%d records beside the write that is out, urgent %v", len(beside), r.d.HasUrgentRecord())
	}
	r.d.HandleBatchResult(r.now, out, true)
	if after := r.d.NextBatch(r.now, 15); len(after) != 1 || after[0].Progress.State != fleet.StateCompleted {
		t.Fatalf("after the write: %v", after)
	}
}
