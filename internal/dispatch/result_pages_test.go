package dispatch

import (
	"fmt"
	"testing"
	"time"

	"filbertcross/internal/fleet"
)

// pagedWorker is a worker that reports at most 500 results at once.
type pagedWorker struct {
	running map[fleet.RunID]bool
	results []fleet.RunResult // not acknowledged
	ended   int64
	starts  map[fleet.TaskID]int
}

const resultPage = 500

func newPagedWorker() *pagedWorker {
	return &pagedWorker{running: map[fleet.RunID]bool{}, starts: map[fleet.TaskID]int{}}
}

// finish completes all runs.
func (w *pagedWorker) finish(h *harness) {
	for _, id := range h.d.sortedRunIDs(w.running) {
		w.ended++
		w.results = append(w.results, fleet.RunResult{Number: w.ended, RunID: id, Outcome: fleet.OutcomeDone})
	}
	clear(w.running)
}

// report responds to a renewal or a status query.
func (w *pagedWorker) report(h *harness, c RenewCommand) {
	for len(w.results) > 0 && w.results[0].Number <= c.Renew.Acknowledged {
		w.results = w.results[1:]
	}
	page := w.results[:min(len(w.results), resultPage)]
	rep := fleet.Report{Incarnation: 1, Clock: h.now.Milliseconds(), Ended: page, MoreEnded: len(page) == resultPage}
	for id := range w.running {
		rep.Running = append(rep.Running, fleet.RunStatus{RunID: id})
	}
	sent := h.now
	h.advance(time.Millisecond)
	h.d.HandleReport(h.now, sent, c.To.ID, c.StatusOnly, rep)
}

// sortedRunIDs returns the IDs in order, so that the test is reproducible.
func (d *Dispatcher) sortedRunIDs(set map[fleet.RunID]bool) []fleet.RunID {
	runs := map[fleet.RunID]*run{}
	for id := range set {
		runs[id] = &run{id: id}
	}
	var list []fleet.RunID
	for _, r := range d.sortedRuns(runs) {
		list = append(list, r.id)
	}
	return list
}

// step makes one decision and lets the worker respond. Without the store nothing becomes durable, and the owner has no authority.
func (w *pagedWorker) step(h *harness, storeAnswers bool) {
	h.advance(sweepInterval)
	if storeAnswers {
		h.commitAll()
	}
	for _, c := range h.d.Decide(h.now, h.wall, storeAnswers) {
		switch c := c.(type) {
		case RenewCommand:
			w.report(h, c)
		case StartCommand:
			w.starts[c.Start.Task]++
			w.running[c.Start.RunID] = true
			h.d.HandleStartResponse(h.now, c.Start.RunID, c.To.ID, h.now.Milliseconds(), nil)
		case StopCommand:
			if w.running[c.Run] {
				delete(w.running, c.Run)
				w.ended++
				w.results = append(w.results, fleet.RunResult{Number: w.ended, RunID: c.Run, Outcome: fleet.OutcomeStopped})
			}
			h.d.HandleStopResponse(h.now, c.Run, c.To.ID, nil)
		}
	}
}

// manyTasks is the load: tasks that all fit on one worker at the same time, and are all done in an outage of the store.
func manyTasks(n int) fleet.Step {
	s := tasks(n, 0)
	s.Demand.MemoryMiB = 1
	return s
}

// Guards against tasks that are started again after they are done: a worker had more results than one report contains, and the
// owner took the runs beyond the first page for runs without a result when the store answered again.
func TestDoneTasksBeyondTheFirstPageAreNotStartedAfterAnOutage(t *testing.T) {
	for _, n := range []int{499, 500, 501, 1000, 5000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			h := newHarness(t, 1)
			h.submit("quick", "j", manyTasks(n))
			w := newPagedWorker()
			for range 20 {
				w.step(h, true)
			}
			w.finish(h)
			for range 60 { // an outage of 1.5 s
				w.step(h, false)
			}
			w.checkCompletion(t, h, n)
		})
	}
}

// Guards against the same by a new owner, which took a worker for known after its first report.
func TestDoneTasksBeyondTheFirstPageAreNotStartedByANewOwner(t *testing.T) {
	for _, n := range []int{499, 500, 501, 1000, 5000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			first := newHarness(t, 1)
			first.submit("quick", "j", manyTasks(n))
			w := newPagedWorker()
			for range 20 {
				w.step(first, true)
			}
			w.finish(first)
			h := newTakeoverHarness(t, 1)
			h.now = first.now
			h.d.AddJob(h.now, &fleet.Submission{ID: "j", Queue: "quick", Service: "pool", Steps: []fleet.Step{manyTasks(n)}}, testFence-1, 0, nil)
			w.checkCompletion(t, h, n)
		})
	}
}

// checkCompletion expects the submission to be completed with one start of each task, and the worker to know that.
func (w *pagedWorker) checkCompletion(t *testing.T, h *harness, n int) {
	t.Helper()
	for range 40 * (n/resultPage + 2) {
		w.step(h, true)
	}
	again := 0
	for _, starts := range w.starts {
		if starts > 1 {
			again++
		}
	}
	if again > 0 || len(w.starts) != n {
		t.Errorf("%d of %d tasks were started, %d of them more than once", len(w.starts), n, again)
	}
	if state := h.d.Status("j").State; state != fleet.StateCompleted || len(w.results) != 0 {
		t.Errorf("the submission is %v, %d results are not acknowledged", state, len(w.results))
	}
}
