package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// Many submissions prefer the rack of their data (hot_key). Those that fit run there, and the
// others start elsewhere at once, because waiting costs more than a slower run.
func TestPreferredRackIsFilledBeforeOtherRacks(t *testing.T) {
	h := newHarness(t, 12) // racks r0 to r2, four workers of 32 cores each
	for i := range 24 {
		s := tasks(1, 8)
		s.PreferredRack = "r1"
		h.submit("quick", fleet.JobID(fmt.Sprintf("hot%02d", i)), s)
	}
	h.decide()
	inRack := 0
	for _, s := range h.starts {
		if slices.Contains(h.d.workers[s.To.ID].entry.Labels, "r1") {
			inRack++
		}
	}
	if len(h.starts) != 24 || inRack != 16 {
		t.Fatalf("%d starts, %d in the preferred rack, want 24 starts and 16 in the rack", len(h.starts), inRack)
	}
}

// A worker repeatedly stops responding for a second (srv_flap). Its runs continue under their
// lease, and no new runs are started on it while it does not respond.
func TestFlappingWorkerKeepsItsRuns(t *testing.T) {
	h := newHarness(t, 2)
	s := tasks(4, 8)
	s.Estimate = 20 * time.Second
	h.submit("quick", "a", s)
	h.decide()
	h.acceptStarts(h.starts)
	flapping := workerID(0)
	before := len(h.d.RunsAt(flapping))
	progress := func(id model.WorkerID) {
		statuses := h.runStatuses(id)
		for i := range statuses {
			statuses[i].Percent = int(100 * (h.now - time.Hour) / s.Estimate)
		}
		h.reportRuns(id, statuses)
	}
	for round := range 4 {
		progress(flapping)
		progress(workerID(1))
		h.decide() // renews the lease
		h.acceptStarts(h.starts)
		h.d.HandleRenewFailure(h.now, flapping, errNoResponse)
		h.submit("quick", fleet.JobID(fmt.Sprintf("b%d", round)), tasks(1, 1))
		for range 5 {
			h.advance(200 * time.Millisecond)
			h.d.HandleRenewFailure(h.now, flapping, errNoResponse)
			progress(workerID(1))
			h.decide()
			if len(h.stops) != 0 {
				t.Fatalf("round %d: run %v is stopped", round, h.stops[0].Run)
			}
			for _, s := range h.starts {
				if s.To.ID == flapping {
					t.Fatalf("round %d: a run is started on the unresponsive worker", round)
				}
			}
			h.acceptStarts(h.starts)
		}
	}
	progress(flapping)
	if got := len(h.d.RunsAt(flapping)); got != before {
		t.Fatalf("%d runs of %d are left on the flapping worker", got, before)
	}
}

// A worker is removed two seconds after the notice (scale_in spot). Checkpointing runs that cannot
// end there are stopped before that and continue elsewhere from their checkpoint.
func TestDrainMovesCheckpointingRuns(t *testing.T) {
	h := newHarness(t, 2)
	s := tasks(2, 20)
	s.Checkpointing, s.Estimate = true, 30*time.Second
	h.submit("rebuild", "a", s)
	h.decide()
	h.acceptStarts(h.starts)
	leaving := workerID(0)
	h.listWorkers(2, func(i int, e *fleet.WorkerEntry) {
		e.Draining, e.DrainRemaining = workerID(i) == leaving, 2*time.Second
	})
	notice := h.now
	for len(h.stops) == 0 && h.now < notice+3*time.Second {
		h.advance(100 * time.Millisecond)
		h.report(leaving)
		h.report(workerID(1))
		h.decide()
	}
	if len(h.stops) != 1 || h.stops[0].To.ID != leaving {
		t.Fatalf("stops %v before the worker is removed, want one of its run", h.stops)
	}
	if left := notice + 2*time.Second - h.now; left < h.d.opts.StopTimeout {
		t.Fatalf("the stop is sent %v before the worker is removed, but may take %v", left, h.d.opts.StopTimeout)
	}
	stop := h.stops[0]
	h.d.HandleStopResponse(h.now, stop.Run, leaving, nil)
	h.listWorkers(3, func(i int, e *fleet.WorkerEntry) { e.Draining = workerID(i) == leaving })
	h.commitAll()
	h.decide()
	h.reportRuns(workerID(2), nil)
	h.report(leaving, fleet.RunResult{Number: 1, RunID: stop.Run, Outcome: fleet.OutcomeStopped, Checkpoint: "half"})
	h.advance(time.Millisecond)
	h.decide()
	if len(h.starts) != 1 || h.starts[0].Start.Checkpoint != "half" || h.starts[0].To.ID == leaving {
		t.Fatalf("starts %+v, want the task on another worker with its checkpoint", h.starts)
	}
}
