package dispatch

import (
	"fmt"
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// rig drives a dispatcher by hand against workers that do what the test says.
type harness struct {
	t    *testing.T
	d    *Dispatcher
	now  time.Duration
	wall time.Time
	// commands of the last decide, by kind
	renewals      []RenewCommand
	starts        []StartCommand
	stops         []StopCommand
	paces         []PaceCommand
	adviceCalls   []AdviseCommand
	resultNumbers map[model.WorkerID]int64
}

const (
	testFence = 1000
	testLease = 3500 * time.Millisecond
)

func testOptions() Options {
	return Options{
		Fence: testFence, Lease: testLease, MaxInheritedLease: 8 * time.Second, RenewGrace: 3 * time.Second,
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

// newRig returns a rig with workers of 32 cores that have been heard.
func newHarness(t *testing.T, workers int) *harness {
	t.Helper()
	r := &harness{t: t, now: time.Hour, wall: time.Unix(1_800_000_000, 0), resultNumbers: map[model.WorkerID]int64{}}
	r.d = New(r.now, testOptions(), event.Discard{})
	r.d.SetConfiguration(testConfiguration())
	r.listWorkers(workers)
	r.commitAll()
	r.decide()
	for _, h := range r.renewals {
		r.report(h.To.ID)
	}
	return r
}

func workerID(i int) model.WorkerID { return model.WorkerID(fmt.Sprintf("w%d", i)) }

func workerEntry(i int) fleet.WorkerEntry {
	return fleet.WorkerEntry{
		ID: workerID(i), Service: "pool", Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: "a",
		Capacity: model.Resources{MilliCPU: 32000, MemoryMiB: 131072}, Labels: []string{"a", fmt.Sprintf("r%d", i/4)}, Incarnation: 1,
	}
}

func (r *harness) listWorkers(n int, change ...func(i int, e *fleet.WorkerEntry)) {
	var entries []fleet.WorkerEntry
	for i := range n {
		e := workerEntry(i)
		for _, c := range change {
			c(i, &e)
		}
		entries = append(entries, e)
	}
	r.d.SetWorkers(r.now, entries)
}

// record makes everything that is to last durable.
func (r *harness) commitAll() {
	for batch := r.d.NextBatch(r.now, 30); len(batch) > 0; batch = r.d.NextBatch(r.now, 30) {
		r.d.HandleBatchResult(r.now, batch, true)
	}
}

func (r *harness) decide() {
	r.renewals, r.starts, r.stops, r.paces, r.adviceCalls = nil, nil, nil, nil, nil
	for _, c := range r.d.Decide(r.now, r.wall, true) {
		switch c := c.(type) {
		case RenewCommand:
			r.renewals = append(r.renewals, c)
		case StartCommand:
			r.starts = append(r.starts, c)
		case StopCommand:
			r.stops = append(r.stops, c)
		case PaceCommand:
			r.paces = append(r.paces, c)
		case AdviseCommand:
			r.adviceCalls = append(r.adviceCalls, c)
		}
	}
	for _, w := range r.d.workerList {
		if w.used.Sub(w.entry.Capacity).MilliCPU > 0 {
			r.t.Fatalf("worker %s holds %v of %v", w.entry.ID, w.used, w.entry.Capacity)
		}
	}
}

func (r *harness) advance(d time.Duration) {
	r.now += d
	r.wall = r.wall.Add(d)
}

// report answers a hold that was sent just now; the worker runs what is booked there.
func (r *harness) report(id model.WorkerID, ends ...fleet.RunResult) {
	r.reportRuns(id, r.runStatuses(id, ends...), ends...)
}

func (r *harness) runStatuses(id model.WorkerID, ends ...fleet.RunResult) []fleet.RunStatus {
	ended := map[fleet.RunID]bool{}
	for _, e := range ends {
		ended[e.RunID] = true
	}
	var rows []fleet.RunStatus
	for _, run := range r.d.RunsAt(id) {
		if !ended[run] {
			rows = append(rows, fleet.RunStatus{RunID: run, Percent: 10})
		}
	}
	return rows
}

func (r *harness) reportRuns(id model.WorkerID, rows []fleet.RunStatus, ends ...fleet.RunResult) {
	sent := r.now
	r.advance(time.Millisecond)
	r.d.HandleReport(r.now, sent, id, false, fleet.Report{Incarnation: 1, Clock: r.now.Milliseconds(), Running: rows, Ended: ends})
}

func (r *harness) runResult(s StartCommand, how fleet.Outcome) fleet.RunResult {
	r.resultNumbers[s.To.ID]++
	return fleet.RunResult{Number: r.resultNumbers[s.To.ID], RunID: s.Start.RunID, Outcome: how}
}

func (r *harness) submit(queue string, id fleet.JobID, steps ...fleet.Step) {
	r.d.AddJob(r.now, &fleet.Submission{ID: id, Queue: queue, Service: "pool", Spec: "x", Steps: steps}, testFence+1, 0, nil)
}

func (r *harness) acceptStarts(starts []StartCommand) {
	for _, s := range starts {
		r.d.HandleStartResponse(r.now, s.Start.RunID, s.To.ID, nil)
	}
	r.advance(time.Millisecond)
}

func cores(n int64) model.Resources { return model.Resources{MilliCPU: n * 1000, MemoryMiB: 1024} }

func tasks(n int, size int64) fleet.Step {
	return fleet.Step{Tasks: n, Demand: cores(size), Estimate: time.Second}
}
