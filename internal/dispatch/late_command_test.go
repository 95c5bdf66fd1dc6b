package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
	"filbertcross/internal/proptest"
)

// A start gets no response and is forgotten; its worker starts again under its ID, and the start is executed there beside the
// task's next run (review/7, TWICE). However it was forgotten, the next incarnation must reject it within a second.
func TestNextIncarnationRejectsForgottenStart(t *testing.T) {
	never := func() bool { return false }
	for name, forget := range map[string]func(f *crashFleet, id model.WorkerID){
		"stop answered": func(f *crashFleet, _ model.WorkerID) { f.pass(time.Second, never) },
		"submission canceled": func(f *crashFleet, _ model.WorkerID) {
			f.d.Cancel(f.now, "a", "")
			f.pass(time.Second, never)
		},
		"lease expired": func(f *crashFleet, id model.WorkerID) {
			f.silentUntil[id] = f.now + 5*time.Second
			f.pass(5*time.Second, never)
		},
		"worker withdrawn": func(f *crashFleet, id model.WorkerID) {
			f.d.Cancel(f.now, "a", "")
			f.pass(time.Second, never)
			f.silentUntil[id] = f.now + time.Second
			f.listWorkers(3, func(i int, e *fleet.WorkerEntry) {
				if workerID(i) == id {
					e.ID, e.Address = "another", ""
				}
			})
			f.pass(time.Second, never)
			if f.d.workers[id] != nil {
				f.t.Fatal("the worker is not dropped")
			}
			f.listWorkers(3)
		},
		"owner replaced": func(f *crashFleet, _ model.WorkerID) {
			f.pass(time.Second, never)
			f.restart(f.stored, f.recorded, &fleet.Submission{ID: "a", Queue: "quick", Service: "pool", Steps: []fleet.Step{tasks(1, 4)}})
			f.pass(time.Second, never)
		},
	} {
		for _, noticed := range []bool{true, false} { // whether a renewal fails before the next incarnation answers one
			f := newCrashFleet(t, 3)
			f.pass(time.Second, never)
			long := tasks(1, 4)
			long.Estimate = 20 * time.Second
			f.loseStart = true
			f.submit("quick", "a", long)
			f.pass(25*time.Millisecond, never)
			id := f.lostStart.To.ID
			forget(f, id)
			if r := f.d.runs[f.lostStart.Start.RunID]; r != nil {
				t.Fatalf("%s: the run is still known", name)
			}
			f.crash(id)
			if !noticed {
				f.downUntil[id] = 0
			}
			f.pass(max(f.downUntil[id]-f.now, 0)+time.Second, never)
			if f.fence[id] <= f.lostStart.Start.Fence {
				t.Errorf("%s, restart noticed %v: the next incarnation has seen token %d, so it executes the start with token %d", name, noticed, f.fence[id], f.lostStart.Start.Fence)
			}
			if f.d.LostOwnership() {
				t.Errorf("%s: the owner takes its own later token for that of another one", name)
			}
		}
	}
}

// Guards against TWICE: a stop is executed by a worker that then restarts, and its answer arrives after the first report of the next
// incarnation. That one knows nothing of the stop, and would execute a late start beside the task's next run.
func TestStopAnsweredByFormerIncarnationIsRepeated(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("quick", "a", tasks(1, 4))
	h.commitAll()
	h.decide()
	start := h.starts[0]
	h.advance(CommandTimeout)
	h.d.HandleStartResponse(h.now, start.Start.RunID, workerID(0), 0, errNoResponse)
	h.advance(time.Millisecond)
	h.decide()
	h.reportRuns(workerID(0), nil) // without the run
	h.advance(time.Millisecond)
	h.decide()
	if len(h.stops) != 1 {
		t.Fatalf("%d stops, want 1", len(h.stops))
	}
	stop, sent := h.stops[0], h.now
	h.advance(time.Millisecond)
	h.d.HandleReport(h.now, sent, workerID(0), false, fleet.Report{Incarnation: restartedIncarnation, Clock: 1000})
	h.d.HandleStopResponse(h.now, stop.Run, workerID(0), nil)
	h.advance(time.Millisecond)
	h.decide()
	if len(h.stops) != 1 || h.d.runs[start.Start.RunID] == nil {
		t.Fatalf("%d stops to the next incarnation, want 1; run known: %v", len(h.stops), h.d.runs[start.Start.RunID] != nil)
	}
}

// executeByLaterIncarnation executes a command without a response 2 to 12 s later, if its worker has started again and has been
// known for a second. Before that nothing protects it, as the owner has not reached it.
func (h *simHistory) executeByLaterIncarnation(w *simWorker, do func() error) {
	if h.lateRNG == nil {
		return
	}
	incarnation := w.entry.Incarnation
	h.schedule(2*time.Second+time.Duration(h.lateRNG.Int64N(int64(10*time.Second))), func() {
		if w.up && w.entry.Incarnation > incarnation && w.knownSince != 0 && h.now-w.knownSince > time.Second {
			h.lateCommands++
			w.advance()
			_ = do()
		}
	})
}

// Commands are executed by a later incarnation of their worker, while owners are replaced, workers crash or are cut off, and
// messages are lost. No task runs twice, no result is lost, and every submission ends.
func TestSimulatedHistoriesOfLateCommands(t *testing.T) {
	late := 0
	first := seedFromEnvironment(proptest.SeedVariable, 1) * 1_000_000
	for i := range seedFromEnvironment(proptest.ChecksVariable, 30) {
		h := newHistory(t, first+i, nil, "quick")
		h.lateRNG = rand.New(rand.NewPCG(first+i, 4))
		h.run()
		late += h.lateCommands
	}
	t.Logf("%d commands were executed by a later incarnation", late)
	if late == 0 {
		t.Fatal("the histories do not contain what they are for")
	}
}
