package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// compactions commits all pending records and returns the compacted submissions among them.
func (h *harness) compactions() []*fleet.Submission {
	var compacted []*fleet.Submission
	for batch := h.d.NextBatch(h.now, 30); len(batch) > 0; batch = h.d.NextBatch(h.now, 30) {
		for _, rec := range batch {
			if rec.Compacted != nil {
				compacted = append(compacted, rec.Compacted)
			}
		}
		h.d.HandleBatchResult(h.now, batch, true)
	}
	return compacted
}

// Load: a new owner is elected late in a day with many finished submissions. What it reads of them must
// not contain their steps, and it must know them all the same.
func TestFinishedSubmissionsAreCompacted(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("quick", "a", tasks(1, 4))
	h.decide()
	h.acceptStarts(h.starts)
	h.report(h.starts[0].To.ID, h.runResult(h.starts[0], fleet.OutcomeDone))
	if got := h.compactions(); len(got) != 0 {
		t.Fatalf("%v is compacted at once", got)
	}
	h.advance(compactionDelay)
	compacted := h.compactions()
	if len(compacted) != 1 || !compacted[0].IsCompacted() || compacted[0].ID != "a" {
		t.Fatalf("compacted %+v", compacted)
	}
	h.advance(compactionDelay)
	if got := h.compactions(); len(got) != 0 {
		t.Fatalf("%v is compacted again", got)
	}

	successor := New(h.now, testOptions(), event.Discard{})
	successor.SetConfiguration(testConfiguration())
	successor.AddJob(h.now, compacted[0], testFence-1, 0, &Progress{State: fleet.StateCompleted})
	if state := successor.Status("a").State; state != fleet.StateCompleted {
		t.Fatalf("state %v after a change of the owner", state)
	}
	if successor.AddJob(h.now, &fleet.Submission{ID: "a", Queue: "quick", Service: "pool", Steps: []fleet.Step{tasks(1, 4)}}, testFence+1, 0, nil) {
		t.Fatal("the submission is accepted a second time")
	}
}

// Guards against overcommitted workers: a new owner must know what a run holds until it has ended.
func TestSubmissionWithRunsIsNotCompacted(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("quick", "a", tasks(1, 4))
	h.decide()
	h.acceptStarts(h.starts)
	run := h.starts[0]
	h.d.Cancel(h.now, "a", "")
	h.compactions()
	h.advance(compactionDelay)
	if got := h.compactions(); len(got) != 0 {
		t.Fatalf("%v is compacted while its run holds capacity", got)
	}
	h.report(run.To.ID, h.runResult(run, fleet.OutcomeStopped))
	h.advance(compactionDelay)
	if got := h.compactions(); len(got) != 1 {
		t.Fatalf("%d submissions are compacted after the run has ended, want 1", len(got))
	}
}

func TestFailedCompactionIsRepeated(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("quick", "a", tasks(1, 4))
	h.d.Cancel(h.now, "a", "")
	h.compactions()
	h.advance(compactionDelay)
	h.d.HandleBatchResult(h.now, h.d.NextBatch(h.now, 30), false)
	h.advance(compactionDelay + time.Second)
	if got := h.compactions(); len(got) != 1 {
		t.Fatalf("%d compactions after a failed write, want 1", len(got))
	}
}
