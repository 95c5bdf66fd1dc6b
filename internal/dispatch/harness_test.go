package dispatch

import (
	"fmt"
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// harness drives a dispatcher step by step; the test supplies the workers' responses.
type harness struct {
	t    *testing.T
	d    *Dispatcher
	now  time.Duration
	wall time.Time
	// commands of the last Decide call, by type
	renewals      []RenewCommand
	starts        []StartCommand
	stops         []StopCommand
	paces         []PaceCommand
	adviceCalls   []AdviseCommand
	resultNumbers map[model.WorkerID]int64
	revision      int64            // of the store, beyond testFence
	recorded      []RecordedWorker // as written last
	progress      int              // percent that runs have made beyond the 10 of a first report
}

const (
	testFence = 1000
	testLease = 3500 * time.Millisecond
	// testMaxLease is the longest lease that a worker grants, whatever the deadline.
	testMaxLease = 6 * time.Second
)

func testOptions() Options {
	return Options{
		Fence: testFence, Lease: testLease, MaxLease: testMaxLease, MaxInheritedLease: 8 * time.Second, RenewGrace: 3 * time.Second,
		StopTimeout: 200 * time.Millisecond, Retention: 2 * time.Minute,
	}
}

func testConfiguration() *fleet.Configuration {
	return &fleet.Configuration{Version: 1, Queues: []fleet.Queue{
		{Name: "quick", Service: "pool", Priority: 0, MaxAttempts: 3, SlowdownFactor: 1.5, TargetLatency: 300 * time.Millisecond},
		{Name: "rebuild", Service: "pool", Priority: 2, MaxAttempts: 2, SlowdownFactor: 2.2, TargetLatency: 1200 * time.Millisecond},
		{Name: "advised", Service: "pool", Priority: 0, MaxAttempts: 3, SlowdownFactor: 1.5, TargetLatency: 300 * time.Millisecond,
			Advice: &fleet.AdvicePolicy{BaseLatency: 28 * time.Millisecond, LatencyPerWorker: time.Millisecond, TicketValidity: 2500 * time.Millisecond}},
	}}
}

// newHarness returns a harness whose workers have 32 cores each, have been known for long, and have reported.
func newHarness(t *testing.T, workers int) *harness {
	t.Helper()
	h := &harness{t: t, now: time.Hour, wall: time.Unix(1_800_000_000, 0), resultNumbers: map[model.WorkerID]int64{}}
	h.d = New(h.now, testOptions(), event.Discard{})
	h.d.SetConfiguration(testConfiguration())
	h.listWorkers(workers)
	for _, w := range h.d.workerList {
		w.settled = w.entry.Incarnation
	}
	h.commitAll()
	h.decide()
	for _, renewal := range h.renewals {
		h.report(renewal.To.ID)
	}
	return h
}

func workerID(i int) model.WorkerID { return model.WorkerID(fmt.Sprintf("w%d", i)) }

func workerEntry(i int) fleet.WorkerEntry {
	return fleet.WorkerEntry{
		ID: workerID(i), Service: "pool", Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: "a",
		Capacity: model.Resources{MilliCPU: 32000, MemoryMiB: 131072}, Labels: []string{"a", fmt.Sprintf("r%d", i/4)}, Incarnation: 1,
	}
}

func (h *harness) listWorkers(n int, change ...func(i int, e *fleet.WorkerEntry)) {
	var entries []fleet.WorkerEntry
	for i := range n {
		e := workerEntry(i)
		for _, c := range change {
			c(i, &e)
		}
		entries = append(entries, e)
	}
	h.d.SetWorkers(h.now, h.now, entries)
}

// commitAll writes all pending records.
func (h *harness) commitAll() {
	for batch := h.d.NextBatch(h.now, 30); len(batch) > 0; batch = h.d.NextBatch(h.now, 30) {
		h.d.HandleBatchResult(h.now, batch, true)
		for _, rec := range batch {
			if rec.IsWorkerList {
				h.recorded = rec.Workers
			}
		}
		h.revision++
		h.d.ProveOwnership(testFence + h.revision)
	}
}

func (h *harness) decide() {
	h.renewals, h.starts, h.stops, h.paces, h.adviceCalls = nil, nil, nil, nil, nil
	for _, c := range h.d.Decide(h.now, h.wall, true) {
		switch c := c.(type) {
		case RenewCommand:
			h.renewals = append(h.renewals, c)
		case StartCommand:
			h.starts = append(h.starts, c)
		case StopCommand:
			h.stops = append(h.stops, c)
		case PaceCommand:
			h.paces = append(h.paces, c)
		case AdviseCommand:
			h.adviceCalls = append(h.adviceCalls, c)
		}
	}
	for _, w := range h.d.workerList {
		if w.used.Sub(w.entry.Capacity).MilliCPU > 0 {
			h.t.Fatalf("worker %s has reserved %v of %v", w.entry.ID, w.used, w.entry.Capacity)
		}
	}
}

func (h *harness) advance(d time.Duration) {
	h.now += d
	h.wall = h.wall.Add(d)
}

// report responds to a renewal sent just now. The worker lists the runs known to the dispatcher
// except those in results.
func (h *harness) report(id model.WorkerID, results ...fleet.RunResult) {
	h.reportRuns(id, h.runStatuses(id, results...), results...)
}

func (h *harness) runStatuses(id model.WorkerID, results ...fleet.RunResult) []fleet.RunStatus {
	ended := map[fleet.RunID]bool{}
	for _, e := range results {
		ended[e.RunID] = true
	}
	var statuses []fleet.RunStatus
	for _, run := range h.d.RunsAt(id) {
		if !ended[run] {
			statuses = append(statuses, fleet.RunStatus{RunID: run, Percent: 10 + h.progress})
		}
	}
	return statuses
}

func (h *harness) reportRuns(id model.WorkerID, statuses []fleet.RunStatus, results ...fleet.RunResult) {
	sent := h.now
	h.advance(time.Millisecond)
	h.d.HandleReport(h.now, sent, id, false, fleet.Report{Incarnation: 1, Clock: h.now.Milliseconds(), Running: statuses, Ended: results})
}

func (h *harness) runResult(s StartCommand, outcome fleet.Outcome) fleet.RunResult {
	h.resultNumbers[s.To.ID]++
	return fleet.RunResult{Number: h.resultNumbers[s.To.ID], RunID: s.Start.RunID, Outcome: outcome}
}

func (h *harness) submit(queue string, id fleet.JobID, steps ...fleet.Step) {
	sub := &fleet.Submission{ID: id, Queue: queue, Service: "pool", Spec: "x", Steps: steps}
	if q, ok := h.d.config.Queue(queue); ok { // as the VM that accepts it
		sub.Settings = q.Settings(h.d.config.Version)
	}
	h.d.AddJob(h.now, sub, testFence+1, 0, nil)
}

func (h *harness) acceptStarts(starts []StartCommand) {
	for _, s := range starts {
		h.d.HandleStartResponse(h.now, s.Start.RunID, s.To.ID, h.now.Milliseconds(), nil)
	}
	h.advance(time.Millisecond)
}

func cores(n int64) model.Resources { return model.Resources{MilliCPU: n * 1000, MemoryMiB: 1024} }

func tasks(n int, size int64) fleet.Step {
	return fleet.Step{Tasks: n, Demand: cores(size), Estimate: time.Second}
}
