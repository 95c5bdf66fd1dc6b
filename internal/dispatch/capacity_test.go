package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

func withCores(n int64) func(int, *fleet.WorkerEntry) {
	return func(_ int, e *fleet.WorkerEntry) { e.Capacity.MilliCPU = n * 1000 }
}

// A worker's capacity shrinks below what its runs hold. They continue, stopped ones count until they have ended, and nothing
// is started there before there is room.
func TestShrunkWorkerGetsNoRunsUntilItHasRoom(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("quick", "a", tasks(4, 6))
	h.decide()
	running := h.starts
	h.acceptStarts(running)
	h.listWorkers(1, withCores(18))
	h.submit("quick", "b", tasks(1, 6))
	for i, want := range []int{0, 0, 1} { // 24, 18 and 12 of 18 cores are used
		h.progress += 10
		h.report(workerID(0))
		h.advance(sweepInterval)
		if i > 0 {
			h.report(workerID(0), h.runResult(running[i-1], fleet.OutcomeDone))
			h.commitAll()
		}
		for _, c := range h.d.Decide(h.now, h.wall, true) {
			switch c := c.(type) {
			case StartCommand:
				want--
			case StopCommand:
				t.Fatalf("run %v is stopped, as its worker has shrunk", c.Run)
			}
		}
		if want != 0 {
			t.Fatalf("after %d runs have ended: %d starts too few", i, want)
		}
	}
}

// A worker that had shrunk grows again. The tasks that wait were tried again only when a run ended there.
func TestGrownWorkerIsUsedAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.listWorkers(1, withCores(4))
	h.submit("quick", "a", tasks(1, 8))
	h.decide()
	h.advance(sweepInterval)
	h.decide()
	if len(h.starts) != 0 {
		t.Fatalf("starts %v on 4 cores, want none", h.starts)
	}
	h.listWorkers(1, withCores(32))
	h.advance(time.Millisecond)
	h.decide()
	if len(h.starts) != 1 {
		t.Fatalf("%d starts after the worker has grown, want 1", len(h.starts))
	}
}

// A worker was restarted as a smaller one under the same id, and responds before its entry shows that. Runs were started by the
// entry of the previous incarnation.
func TestRestartedWorkerIsUsedByItsOwnEntryOnly(t *testing.T) {
	h := newHarness(t, 1)
	h.d.HandleReport(h.now, h.now, workerID(0), false, fleet.Report{Incarnation: 2, Clock: 5})
	h.submit("quick", "a", tasks(2, 8))
	h.advance(sweepInterval)
	h.decide()
	if len(h.starts) != 0 {
		t.Fatalf("%d starts by the entry of the previous incarnation, want none", len(h.starts))
	}
	h.listWorkers(1, withCores(8), func(_ int, e *fleet.WorkerEntry) { e.Incarnation = 2 })
	h.commitAll()
	h.advance(sweepInterval)
	h.decide()
	if len(h.starts) != 1 {
		t.Fatalf("%d starts of 8 cores on a worker that has 8, want 1", len(h.starts))
	}
}

// The store does not give the list of workers for seconds, while the owner's lease is renewed. Workers may have shrunk since.
func TestNothingIsStartedByAnOldList(t *testing.T) {
	h := newHarness(t, 1)
	h.d.opts.MaxListAge = 2 * time.Second
	h.listWorkers(1)
	h.d.SetListFailing()
	h.advance(3 * time.Second)
	h.report(workerID(0))
	h.submit("quick", "a", tasks(1, 8))
	h.decide()
	if len(h.starts) != 0 {
		t.Fatalf("starts %v by a list that is 3 s old", h.starts)
	}
	h.listWorkers(1)
	h.advance(time.Millisecond)
	h.decide()
	if len(h.starts) != 1 {
		t.Fatalf("%d starts by a new list, want 1", len(h.starts))
	}
}

// After an outage of the store an entry may be from before it. It says where the worker is, but not how much room it has.
func TestNothingIsStartedOnAWorkerWithAnOutdatedEntry(t *testing.T) {
	h := newHarness(t, 2)
	outdated := func(i int, e *fleet.WorkerEntry) { e.Outdated = i == 0 }
	h.listWorkers(2, outdated)
	h.submit("quick", "a", tasks(6, 8))
	h.decide()
	for _, s := range h.starts {
		if s.To.ID == workerID(0) {
			t.Fatal("a run is started on a worker with an outdated entry")
		}
	}
	first := len(h.starts)
	h.acceptStarts(h.starts)
	h.listWorkers(2)
	h.advance(time.Millisecond)
	h.decide()
	if first != 4 || len(h.starts) != 2 {
		t.Fatalf("%d starts beside the outdated entry and %d after it, want 4 and 2", first, len(h.starts))
	}
}

// An earlier owner filled a worker that has shrunk since. The runs that the new owner does not know of yet may hold what the
// worker had, not what it has.
func TestUnknownUsageIsBoundedByTheRecordedCapacity(t *testing.T) {
	first := newHarness(t, 1)
	var recorded []RecordedWorker
	first.d.workerListDirty = true
	for _, rec := range first.d.NextBatch(first.now, 30) {
		if rec.IsWorkerList {
			recorded = rec.Workers
		}
	}
	h := &harness{t: t, now: time.Hour, wall: time.Unix(1_800_000_000, 0)}
	h.d = New(h.now, testOptions(), first.d.events)
	h.d.SetConfiguration(testConfiguration())
	h.d.SetRecordedWorkers(recorded)
	h.listWorkers(1, withCores(4))
	want := model.Resources{MilliCPU: 32000, MemoryMiB: 131072}
	if got := h.d.possibleUnknownUsage(); got != want {
		t.Errorf("unknown runs may hold %v, want %v", got, want)
	}
}

// Runs may hold more after a worker has grown. The next owner has to be able to know that, so the larger capacity is recorded
// before it is used.
func TestGrowthIsRecordedBeforeItIsUsed(t *testing.T) {
	h := newHarness(t, 1)
	h.listWorkers(1, withCores(64))
	h.submit("quick", "a", tasks(1, 8))
	h.decide()
	if len(h.starts) != 0 {
		t.Fatal("a run is started before the larger capacity is recorded")
	}
	h.commitAll()
	h.advance(time.Millisecond)
	h.decide()
	if len(h.starts) != 1 {
		t.Fatalf("%d starts after the capacity was recorded, want 1", len(h.starts))
	}
}
