package dispatch

import (
	"fmt"
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// decideSuspended decides without authority and returns the starts.
func (h *harness) decideSuspended() []StartCommand {
	var starts []StartCommand
	for _, c := range h.d.Decide(h.now, h.wall, false) {
		if start, ok := c.(StartCommand); ok {
			starts = append(starts, start)
		}
	}
	return starts
}

// Load: steps end and submissions wait while the store is down. Their tasks must be started as long as
// workers keep their leases, and not later.
func TestTasksAreStartedDuringAnOutageOfTheStore(t *testing.T) {
	h := newHarness(t, 2)
	second := tasks(2, 4)
	second.After = []int{0}
	h.submit("quick", "a", tasks(1, 4), second)
	h.decide()
	h.acceptStarts(h.starts)
	first := h.starts[0]
	h.submit("quick", "waiting", tasks(1, 4))
	h.d.ProveOwnership(testFence + 1)
	h.advance(500 * time.Millisecond)
	h.report(first.To.ID, h.runResult(first, fleet.OutcomeDone))
	lost := h.d.authorizedAt
	starts := h.decideSuspended()
	if len(starts) != 3 {
		t.Fatalf("%d starts during the outage, want the two tasks of the next step and the waiting submission", len(starts))
	}
	for _, s := range starts {
		if s.SuspendedUntil != lost+h.d.opts.RenewGrace {
			t.Errorf("may be sent until %v, authority was last held at %v", s.SuspendedUntil, lost)
		}
	}
	h.acceptStarts(starts)
	h.submit("quick", "late", tasks(1, 4))
	h.now = lost + h.d.opts.RenewGrace
	if starts := h.decideSuspended(); len(starts) != 0 {
		t.Fatalf("%d starts after the grace", len(starts))
	}
}

// Guards against starts by an owner without authority that a successor could not know of, or that
// follow from what a successor may have changed.
func TestSuspendedOwnerDoesNotStartWhatASuccessorMayOwn(t *testing.T) {
	cases := map[string]struct {
		change func(h *harness, running StartCommand)
		want   int
	}{
		"nothing happened": {func(*harness, StartCommand) {}, 1},
		"the submission may be newer than the successor": {func(h *harness, _ StartCommand) { h.d.provenRevision = testFence }, 0},
		"the worker restarted": {func(h *harness, running StartCommand) {
			h.restart(running.To.ID)
		}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.submit("quick", "running", tasks(1, 4))
			h.decide()
			h.acceptStarts(h.starts)
			running := h.starts[0]
			h.d.ProveOwnership(testFence + 1)
			h.submit("quick", "waiting", tasks(1, 4))
			h.advance(500 * time.Millisecond)
			c.change(h, running)
			if starts := h.decideSuspended(); len(starts) != c.want {
				t.Fatalf("%d starts, want %d", len(starts), c.want)
			}
		})
	}
}

// A successor may have acknowledged the result of a run before its worker crashed.
func TestSuspendedOwnerDoesNotRepeatRunsOfCrashedWorkers(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("quick", "a", tasks(1, 4))
	h.decide()
	h.acceptStarts(h.starts)
	h.d.ProveOwnership(testFence + 1)
	h.advance(500 * time.Millisecond)
	h.restart(h.starts[0].To.ID)
	if starts := h.decideSuspended(); len(starts) != 0 {
		t.Fatalf("%v is started again without authority", starts[0].Start.Task)
	}
	h.decide()
	h.commitAll() // a suspected task is started once that is durable
	h.advance(100 * time.Millisecond)
	h.decide()
	if len(h.starts) != 1 {
		t.Fatalf("%d starts with authority, want one", len(h.starts))
	}
}

// restart reports a new incarnation of a worker, without runs.
func (h *harness) restart(id model.WorkerID) {
	sent := h.now
	h.advance(time.Millisecond)
	h.d.HandleReport(h.now, sent, id, false, fleet.Report{Incarnation: 2, Clock: 1})
}

// A pass without authority uses up what is known of freed workers, although it passes over submissions that it may not start
// (review/6, LOST): they waited on idle workers for good. The load is one that the owner cannot prove to be older than a
// successor, one whose run was lost, and a backlog that waits for the same capacity.
func TestSubmissionsPassedOverInAnOutageStartAfterIt(t *testing.T) {
	for _, backlog := range []int{0, 200} {
		h := newHarness(t, 2)
		h.submit("rebuild", "first", tasks(2, 32))
		h.decide()
		running := h.starts
		h.acceptStarts(running)
		h.d.AddJob(h.now, &fleet.Submission{ID: "new", Queue: "rebuild", Service: "pool", Steps: []fleet.Step{tasks(2, 8)}}, h.d.provenRevision+1, 0, nil)
		for i := range backlog {
			h.d.AddJob(h.now, &fleet.Submission{ID: fleet.JobID(fmt.Sprint("later", i)), Queue: "rebuild", Service: "pool", Steps: []fleet.Step{tasks(1, 16)}}, h.d.provenRevision+2, 0, nil)
		}
		h.advance(100 * time.Millisecond)
		h.decide() // passes it over for want of capacity
		h.advance(500 * time.Millisecond)
		for _, r := range running {
			h.report(r.To.ID, h.runResult(r, fleet.OutcomeDone))
		}
		if starts := h.decideSuspended(); len(starts) != 0 {
			t.Fatalf("%d starts of a submission that a successor may own", len(starts))
		}
		h.advance(100 * time.Millisecond)
		h.decideSuspended()
		h.advance(time.Second)
		examined, started := h.d.load.Examined, 0
		for range 10 {
			h.decide()
			started += len(h.starts)
			h.acceptStarts(h.starts)
			h.advance(50 * time.Millisecond)
		}
		if want := min(2+backlog, 4); started < want { // as many as fit
			t.Fatalf("backlog of %d: %d starts on idle workers 0.5 s after the outage, want %d", backlog, started, want)
		}
		if cost := h.d.load.Examined - examined; cost > int64(10*(2+backlog)) {
			t.Errorf("backlog of %d: %d workers examined after the outage", backlog, cost)
		}
	}
}
