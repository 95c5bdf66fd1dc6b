package dispatch

import (
	"fmt"
	"testing"

	"filbertcross/internal/fleet"
)

// Many submissions end while the store takes 0.3 s for a write (hoogvlucht-sched-grown trouble-2,
// platform_slow). Final states, which callers wait for, are written first, and several batches are
// in flight without sharing a record.
func TestFinalStatesAreWrittenFirstInConcurrentBatches(t *testing.T) {
	h := newHarness(t, 4)
	var half, whole []fleet.RunResult
	at := workerID(0)
	for i := range 20 {
		h.submit("quick", fleet.JobID(fmt.Sprintf("half%02d", i)), tasks(2, 1))
		h.submit("quick", fleet.JobID(fmt.Sprintf("whole%02d", i)), tasks(1, 1))
	}
	h.decide()
	h.acceptStarts(h.starts)
	halves := map[fleet.JobID]bool{}
	byWorker := map[string][]fleet.RunResult{}
	for _, s := range h.starts {
		id := s.Start.Task.Job
		if id[0] == 'h' && halves[id] {
			continue
		}
		halves[id] = true
		result := h.runResult(s, fleet.OutcomeDone)
		byWorker[string(s.To.ID)] = append(byWorker[string(s.To.ID)], result)
		if id[0] == 'h' {
			half = append(half, result)
		} else {
			whole = append(whole, result)
		}
	}
	for i := range 4 {
		h.report(workerID(i), byWorker[string(workerID(i))]...)
	}
	if len(half) != 20 || len(whole) != 20 {
		t.Fatalf("%d and %d results on %s, want 20 of each", len(half), len(whole), at)
	}
	first := h.d.NextBatch(h.now, 15)
	second := h.d.NextBatch(h.now, 15)
	seen := map[fleet.JobID]bool{}
	final := 0
	for _, rec := range append(first, second...) {
		if seen[rec.Job] {
			t.Fatalf("%s is in two batches in flight", rec.Job)
		}
		seen[rec.Job] = true
		if rec.Progress.State.Final() {
			final++
		}
	}
	if len(first) != 15 || len(second) != 15 || final != 20 {
		t.Fatalf("batches of %d and %d records with %d final states, want 15, 15 and 20", len(first), len(second), final)
	}
	h.d.HandleBatchResult(h.now, second, true)
	h.d.HandleBatchResult(h.now, first, false)
	for _, rec := range first {
		if h.d.Status(rec.Job).State.Final() {
			t.Fatalf("%s is reported as ended although its write failed", rec.Job)
		}
	}
	again := h.d.NextBatch(h.now, 30)
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

// A change made while a write of the job is in flight is written after it, not concurrently.
func TestChangeDuringWriteIsWrittenAfterIt(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("quick", "a", tasks(2, 1))
	h.decide()
	h.acceptStarts(h.starts)
	starts := h.starts
	h.report(workerID(0), h.runResult(starts[0], fleet.OutcomeDone))
	batch := h.d.NextBatch(h.now, 15)
	if len(batch) != 1 {
		t.Fatalf("batch %v, want one record", batch)
	}
	second := h.runResult(starts[1], fleet.OutcomeDone)
	second.Number = 2
	h.report(workerID(0), second)
	if concurrent := h.d.NextBatch(h.now, 15); len(concurrent) != 0 || h.d.HasUrgentRecord() {
		t.Fatalf("%d records concurrent with the write in flight, urgent %v", len(concurrent), h.d.HasUrgentRecord())
	}
	h.d.HandleBatchResult(h.now, batch, true)
	if after := h.d.NextBatch(h.now, 15); len(after) != 1 || after[0].Progress.State != fleet.StateCompleted {
		t.Fatalf("batch %v after the write, want the final state", after)
	}
}
