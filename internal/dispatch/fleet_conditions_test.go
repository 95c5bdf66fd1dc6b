package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// Pattern: many submissions want the rack of their data (hot_key). Those that fit run there, the
// others run elsewhere at once: waiting costs more than the slower run.
func TestPreferredRackIsFilledBeforeOtherRacks(t *testing.T) {
	r := newHarness(t, 12) // racks r0 to r2, four workers of 32 cores each
	for i := range 24 {
		s := tasks(1, 8)
		s.PreferredRack = "r1"
		r.submit("quick", fleet.JobID(fmt.Sprintf("hot%02d", i)), s)
	}
	r.decide()
	inRack := 0
	for _, s := range r.starts {
		if slices.Contains(r.d.workers[s.To.ID].entry.Labels, "r1") {
			inRack++
		}
	}
	if len(r.starts) != 24 || inRack != 16 {
		t.Fatalf("%d starts, %d in the hot rack, want 24 and all 16 that fit", len(r.starts), inRack)
	}
}

// Pattern: a worker does not answer for a second and comes back, again and again (srv_flap). What
// runs there goes on under its lease, and nothing new is started while it is silent.
func TestFlappingWorkerKeepsItsRuns(t *testing.T) {
	r := newHarness(t, 2)
	s := tasks(4, 8)
	s.Estimate = 20 * time.Second
	r.submit("quick", "a", s)
	r.decide()
	r.acceptStarts(r.starts)
	flapping := workerID(0)
	before := len(r.d.RunsAt(flapping))
	progress := func(id model.WorkerID) {
		rows := r.runStatuses(id)
		for i := range rows {
			rows[i].Percent = int(100 * (r.now - time.Hour) / s.Estimate)
		}
		r.reportRuns(id, rows)
	}
	for turn := range 4 {
		progress(flapping)
		progress(workerID(1))
		r.decide() // renews the lease
		r.acceptStarts(r.starts)
		r.d.HandleRenewFailure(r.now, flapping, errNoResponse)
		r.submit("quick", fleet.JobID(fmt.Sprintf("b%d", turn)), tasks(1, 1))
		for range 5 {
			r.advance(200 * time.Millisecond)
			r.d.HandleRenewFailure(r.now, flapping, errNoResponse)
			progress(workerID(1))
			r.decide()
			if len(r.stops) != 0 {
				t.Fatalf("turn %d: %v is stopped", turn, r.stops[0].Run)
			}
			for _, s := range r.starts {
				if s.To.ID == flapping {
					t.Fatalf("turn %d: a start goes to the silent worker", turn)
				}
			}
			r.acceptStarts(r.starts)
		}
	}
	progress(flapping)
	if got := len(r.d.RunsAt(flapping)); got != before {
		t.Fatalf("%d runs of %d are left at the flapping worker", got, before)
	}
}

// Pattern: a worker is taken away two seconds after its notice (scale_in spot). What checkpoints
// and cannot end there moves with its checkpoint before it goes.
func TestDrainMovesCheckpointingRuns(t *testing.T) {
	r := newHarness(t, 2)
	s := tasks(2, 20)
	s.Checkpointing, s.Estimate = true, 30*time.Second
	r.submit("rebuild", "a", s)
	r.decide()
	r.acceptStarts(r.starts)
	leaving := workerID(0)
	r.listWorkers(2, func(i int, e *fleet.WorkerEntry) {
		e.Draining, e.DrainRemaining = workerID(i) == leaving, 2*time.Second
	})
	notice := r.now
	for len(r.stops) == 0 && r.now < notice+3*time.Second {
		r.advance(100 * time.Millisecond)
		r.report(leaving)
		r.report(workerID(1))
		r.decide()
	}
	if len(r.stops) != 1 || r.stops[0].To.ID != leaving {
		t.Fatalf("stops %v before the worker goes", r.stops)
	}
	if left := notice + 2*time.Second - r.now; left < r.d.opts.StopTimeout {
		t.Fatalf("the stop goes out %v before the worker goes, a stop takes %v", left, r.d.opts.StopTimeout)
	}
	stop := r.stops[0]
	r.d.HandleStopResponse(r.now, stop.Run, leaving, nil)
	r.listWorkers(3, func(i int, e *fleet.WorkerEntry) { e.Draining = workerID(i) == leaving })
	r.commitAll()
	r.decide()
	r.reportRuns(workerID(2), nil)
	r.report(leaving, fleet.RunResult{Number: 1, RunID: stop.Run, Outcome: fleet.OutcomeStopped, Checkpoint: "half"})
	r.advance(time.Millisecond)
	r.decide()
	if len(r.starts) != 1 || r.starts[0].Start.Checkpoint != "half" || r.starts[0].To.ID == leaving {
		t.Fatalf("starts %+v, want the task elsewhere with its checkpoint", r.starts)
	}
}
