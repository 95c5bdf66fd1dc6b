package dispatch

import (
	"fmt"
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// Checkpointing rebuilds fill the cluster when a burst of urgent submissions arrives (hoogvlucht
// trouble-1, burst traject-prognose).
func TestUrgentBurstPreemptsCheckpointingRuns(t *testing.T) {
	h := newHarness(t, 2)
	long := tasks(8, 8)
	long.Checkpointing, long.Estimate = true, 10*time.Second
	h.submit("rebuild", "long", long)
	h.decide()
	h.acceptStarts(h.starts)
	if len(h.starts) != 8 {
		t.Fatalf("%d starts of 8", len(h.starts))
	}
	h.report(workerID(0))
	h.report(workerID(1))
	h.submit("quick", "urgent", tasks(3, 8))
	h.decide()
	if len(h.stops) == 0 {
		h.advance(time.Millisecond)
		h.decide()
	}
	if len(h.stops) != 3 {
		t.Fatalf("%d runs are stopped for three urgent tasks, want 3", len(h.stops))
	}
	for range 5 {
		h.advance(time.Millisecond)
		h.decide()
		if len(h.stops) != 0 {
			t.Fatal("more runs are stopped although enough capacity is being freed")
		}
	}
}

func TestRunsWithoutCheckpointsAreNotPreempted(t *testing.T) {
	h := newHarness(t, 1)
	long := tasks(4, 8)
	long.Estimate = 10 * time.Second
	h.submit("rebuild", "long", long)
	h.decide()
	h.acceptStarts(h.starts)
	h.report(workerID(0))
	h.submit("quick", "urgent", tasks(1, 8))
	for range 3 {
		h.decide()
		h.advance(time.Millisecond)
		if len(h.stops) != 0 {
			t.Fatal("a run without checkpoints is stopped and would lose its work")
		}
	}
}

// Long advice calls occupied all VMs while steps that need only short calls waited (hoogvlucht
// scale-1).
func TestShortAdviceCallsHaveReservedSlots(t *testing.T) {
	h := newHarness(t, 40)
	conf := testConfiguration()
	conf.Version = 2
	conf.Queues = append(conf.Queues, fleet.Queue{Name: "slow", Service: "pool", Priority: 2, MaxAttempts: 2, SlowdownFactor: 2,
		Advice: &fleet.AdvicePolicy{BaseLatency: 400 * time.Millisecond, LatencyPerWorker: 6 * time.Millisecond, TicketValidity: 2500 * time.Millisecond}})
	h.d.SetConfiguration(conf)
	h.d.SetAdviceSlots(8)
	for i := range 12 {
		h.submit("slow", fleet.JobID(fmt.Sprintf("slow%d", i)), tasks(1, 1))
	}
	h.decide()
	if len(h.adviceCalls) != 6 {
		t.Fatalf("%d long calls are in flight, want 6 of 8 slots", len(h.adviceCalls))
	}
	h.advance(time.Millisecond)
	h.submit("advised", "quick", tasks(1, 1))
	h.decide()
	if len(h.adviceCalls) != 1 || h.adviceCalls[0].Step.Job != "quick" {
		t.Fatalf("advice calls %v, want the short one", h.adviceCalls)
	}
}

func TestStartsCarryTicketsAndOnlyAllowedWorkersAreUsed(t *testing.T) {
	h := newHarness(t, 3)
	h.submit("advised", "a", tasks(2, 4))
	h.decide()
	if len(h.starts) != 0 || len(h.adviceCalls) != 1 {
		t.Fatalf("starts %v, advice calls %v; want no starts and one call before the advice", h.starts, h.adviceCalls)
	}
	call := h.adviceCalls[0]
	h.advance(30 * time.Millisecond)
	h.d.HandleAdvice(h.now, call.Step, call.Workers, map[model.WorkerID]string{workerID(2): "ticket"}, 2500*time.Millisecond, nil)
	h.decide()
	for _, s := range h.starts {
		if s.To.ID != workerID(2) || s.Start.Ticket != "ticket" {
			t.Fatalf("start %+v, want it on the allowed worker with its ticket", s)
		}
	}
	if len(h.starts) != 2 {
		t.Fatalf("%d starts, want 2", len(h.starts))
	}
}

// A gang waits until all members fit. If the start of one member is rejected, the others are
// stopped, and the next run gets another number.
func TestGangStartsAllMembersOrNone(t *testing.T) {
	h := newHarness(t, 2)
	gang := tasks(4, 16)
	gang.Gang = true
	blocker := tasks(1, 16)
	h.submit("quick", "b", blocker)
	h.decide()
	b := h.starts[0]
	h.acceptStarts(h.starts)
	h.submit("rebuild", "g", gang)
	h.decide()
	if len(h.starts) != 0 {
		t.Fatalf("%d members start without capacity for all", len(h.starts))
	}
	h.report(b.To.ID, h.runResult(b, fleet.OutcomeDone))
	h.advance(placementRetryInterval)
	h.decide()
	if len(h.starts) != 4 {
		t.Fatalf("%d members are started, want 4", len(h.starts))
	}
	for _, s := range h.starts[1:] {
		if s.Start.Run != h.starts[0].Start.Run {
			t.Fatal("members have different run numbers")
		}
	}
	members := h.starts
	h.acceptStarts(members[1:])
	h.d.HandleStartResponse(h.now, members[0].Start.RunID, members[0].To.ID, 0, &fleet.CallError{RejectReason: fleet.RejectedNoCapacity, Verdict: 1})
	h.decide()
	if len(h.stops) != 3 {
		t.Fatalf("%d members are stopped after a rejection, want 3", len(h.stops))
	}
}

func TestStepsRunInOrderAndRespectLimits(t *testing.T) {
	h := newHarness(t, 2)
	second := tasks(4, 1)
	second.After, second.MaxPerWorker, second.RequiredLabel = []int{0}, 1, "a"
	h.submit("quick", "a", tasks(1, 4), second)
	h.decide()
	if len(h.starts) != 1 {
		t.Fatalf("%d starts, want only the first step", len(h.starts))
	}
	first := h.starts[0]
	h.acceptStarts(h.starts)
	h.report(first.To.ID, h.runResult(first, fleet.OutcomeDone))
	h.decide()
	if len(h.starts) != 2 {
		t.Fatalf("%d starts, want one on each of two workers", len(h.starts))
	}
}

func TestDrainingWorkerGetsNoStartsAndStopsLongRunningTasks(t *testing.T) {
	h := newHarness(t, 2)
	watch := tasks(2, 4)
	watch.LongRunning = true
	h.submit("quick", "w", watch)
	h.decide()
	h.acceptStarts(h.starts)
	h.listWorkers(2, func(i int, e *fleet.WorkerEntry) {
		e.Draining, e.DrainRemaining = i == 0, 2*time.Second
	})
	h.submit("quick", "q", tasks(4, 1))
	h.advance(sweepInterval)
	h.decide()
	for _, s := range h.starts {
		if s.To.ID == workerID(0) {
			t.Fatal("a run is started on the draining worker")
		}
	}
	if len(h.stops) != 1 || h.stops[0].To.ID != workerID(0) {
		t.Fatalf("stops %v, want the long-running task on the draining worker", h.stops)
	}
}

func TestScheduledSubmissionStartsAtItsTimes(t *testing.T) {
	h := newHarness(t, 2)
	h.d.AddJob(h.now, &fleet.Submission{ID: "t", Queue: "quick", Service: "pool", Steps: []fleet.Step{tasks(1, 1)},
		Occurrences: 2, FirstRun: h.wall.Add(time.Second), Interval: 2 * time.Second}, testFence+1, 0, nil)
	count := 0
	for range 40 {
		h.advance(100 * time.Millisecond)
		h.report(workerID(0))
		h.report(workerID(1))
		h.decide()
		for _, s := range h.starts {
			due := time.Unix(1_800_000_000, 0).Add(time.Second + time.Duration(s.Start.Task.Occurrence)*2*time.Second)
			if h.wall.Before(due) {
				t.Fatalf("occurrence %d starts %v early", s.Start.Task.Occurrence, due.Sub(h.wall))
			}
			count++
		}
		h.acceptStarts(h.starts)
	}
	if count != 2 {
		t.Fatalf("%d starts, want one for each occurrence", count)
	}
}

// A worker does not respond to the start of a run in a speculative step.
func TestCopyStartsWhenStartOutcomeIsUnknown(t *testing.T) {
	h := newHarness(t, 2)
	s := tasks(1, 4)
	s.Speculative = true
	h.submit("quick", "a", s)
	h.decide()
	first := h.starts[0]
	h.d.HandleStartResponse(h.now, first.Start.RunID, first.To.ID, 0, errNoResponse)
	h.advance(sweepInterval)
	h.decide()
	if len(h.starts) != 1 || h.starts[0].To.ID == first.To.ID {
		t.Fatalf("starts %v, want a copy on the other worker", h.starts)
	}
}

// Estimates are wrong by a factor of two or more (hoogvlucht-sched-grown, est_off 0.9). A run that
// is three quarters complete ends before a copy would.
func TestProgressingRunIsNotCopied(t *testing.T) {
	h := newHarness(t, 2)
	s := tasks(1, 4)
	s.Speculative, s.Estimate = true, 100*time.Millisecond
	h.submit("quick", "a", s)
	h.decide()
	first := h.starts[0]
	h.acceptStarts(h.starts)
	for percent := 20; percent < 100; percent += 20 {
		h.advance(150 * time.Millisecond)
		h.reportRuns(first.To.ID, []fleet.RunStatus{{RunID: first.Start.RunID, Percent: percent}})
		h.report(otherWorker(first.To.ID))
		h.advance(sweepInterval)
		h.decide()
		if len(h.starts) != 0 {
			t.Fatalf("a copy of a run at %d percent is started after %v", percent, h.now-time.Hour)
		}
	}
}

// One worker is eight times slower than the others (srv_slow, srv_grey slow). The other tasks of
// the step show the usual duration.
func TestRunOnASlowWorkerIsCopied(t *testing.T) {
	h := newHarness(t, 2)
	s := tasks(6, 4)
	s.Speculative, s.Estimate = true, time.Second
	h.submit("quick", "a", s)
	h.decide()
	h.acceptStarts(h.starts)
	placed := h.starts
	slow := placed[0]
	for range 8 {
		h.advance(150 * time.Millisecond)
		for _, w := range []model.WorkerID{workerID(0), workerID(1)} {
			var statuses []fleet.RunStatus
			var results []fleet.RunResult
			for _, p := range placed {
				switch {
				case p.To.ID != w:
				case p.Start.RunID == slow.Start.RunID:
					statuses = append(statuses, fleet.RunStatus{RunID: p.Start.RunID, Percent: int((h.now - time.Hour) / (80 * time.Millisecond))})
				case h.now-time.Hour < time.Second:
					statuses = append(statuses, fleet.RunStatus{RunID: p.Start.RunID, Percent: int((h.now - time.Hour) / (10 * time.Millisecond))})
				case len(h.d.workers[w].runs) > 0 && h.d.runs[p.Start.RunID] != nil:
					results = append(results, h.runResult(p, fleet.OutcomeDone))
				}
			}
			h.reportRuns(w, statuses, results...)
		}
		h.advance(sweepInterval)
		h.decide()
		if len(h.starts) == 1 && h.starts[0].Start.Task == slow.Start.Task {
			return
		}
	}
	t.Fatalf("no copy of the slow run is started after %v, although the other tasks have ended", h.now-time.Hour)
}

func otherWorker(id model.WorkerID) model.WorkerID {
	if id == workerID(0) {
		return workerID(1)
	}
	return workerID(0)
}

// A burst of urgent tasks arrives at a large cluster full of checkpointing runs
// (hoogvlucht-sched-grown scale-1), where a stop takes up to 0.9 s.
func TestUrgentBurstOnLargeClusterPreemptsAtOnce(t *testing.T) {
	const workers = 120
	h := newHarness(t, workers)
	long := tasks(4*workers, 8)
	long.Checkpointing, long.Estimate = true, 30*time.Second
	h.submit("rebuild", "long", long)
	h.decide()
	h.acceptStarts(h.starts)
	for i := range workers {
		h.report(workerID(i))
	}
	h.submit("quick", "urgent", tasks(40, 8))
	stops := 0
	for range 5 {
		h.decide()
		stops += len(h.stops)
		h.advance(time.Millisecond)
	}
	if stops != 40 {
		t.Fatalf("%d runs are stopped for forty urgent tasks, want 40", stops)
	}
}

// The tail latency of a serving task rises while a filler task runs on its worker (sharing, HARM).
func TestFillerIsPacedWhenServingTaskMissesLatencyTarget(t *testing.T) {
	h := newHarness(t, 1)
	serve := tasks(1, 4)
	serve.LongRunning, serve.LatencyTarget = true, 100*time.Millisecond
	fill := tasks(1, 4)
	fill.Filler = true
	h.submit("quick", "s", serve)
	h.submit("rebuild", "f", fill)
	h.decide()
	h.acceptStarts(h.starts)
	statuses := h.runStatuses(workerID(0))
	for i := range statuses {
		statuses[i].Percent = 100
		if statuses[i].Task.Job == "s" {
			statuses[i].Load = 150
		}
	}
	h.reportRuns(workerID(0), statuses)
	h.advance(sweepInterval)
	h.decide()
	if len(h.paces) != 1 || h.paces[0].Pace.Task.Job != "f" || h.paces[0].Pace.Percent != 0 {
		t.Fatalf("pace commands %v, want the filler paused", h.paces)
	}
}

// Most workers of a large fleet are idle (sweep at 300 machines). A poll costs the owner as much as
// a start, so idle workers get a longer long poll; that of busy workers is unchanged.
func TestIdleWorkersGetLongerLongPollsInLargeFleet(t *testing.T) {
	h := newHarness(t, shortLongPollMaxWorkers+10)
	h.submit("quick", "a", tasks(3, 20))
	h.decide()
	h.acceptStarts(h.starts)
	busy := map[model.WorkerID]bool{}
	for _, s := range h.starts {
		busy[s.To.ID] = true
	}
	for i := range shortLongPollMaxWorkers + 10 {
		h.report(workerID(i))
	}
	h.decide()
	for _, renewal := range h.renewals {
		if long := renewal.Renew.Wait > RenewWait; long == busy[renewal.To.ID] {
			t.Fatalf("worker %s, busy %v, has a long poll of %v", renewal.To.ID, busy[renewal.To.ID], renewal.Renew.Wait)
		}
	}
	if len(h.renewals) != shortLongPollMaxWorkers+10 {
		t.Fatalf("%d renewals, want one for each worker", len(h.renewals))
	}
}

// With thousands of workers, a connection to each exhausts the file descriptors, so idle workers get
// no long poll. A start enables the long poll again at once.
func TestIdleWorkersGetNoLongPollInVeryLargeFleet(t *testing.T) {
	const workers = idleLongPollMaxWorkers + 10
	h := newHarness(t, workers)
	h.decide()
	for _, renewal := range h.renewals {
		if renewal.Renew.Wait != 0 {
			t.Fatalf("idle worker %s has a long poll of %v", renewal.To.ID, renewal.Renew.Wait)
		}
		h.report(renewal.To.ID)
	}
	h.advance(time.Second)
	h.decide()
	if len(h.renewals) != 0 {
		t.Fatalf("%d idle workers are polled again after a second", len(h.renewals))
	}
	h.submit("quick", "a", tasks(1, 4))
	h.decide()
	h.acceptStarts(h.starts)
	h.decide()
	if len(h.starts)+len(h.renewals) == 0 || len(h.renewals) != 1 || h.renewals[0].Renew.Wait != RenewWait || h.renewals[0].Renew.Deadline == 0 {
		t.Fatalf("renewals %v after a start, want one with a long poll and a lease", h.renewals)
	}
	h.advance(idleRenewInterval)
	h.decide()
	if len(h.renewals) < workers-1 {
		t.Fatalf("%d idle workers are polled after %v, want all", len(h.renewals), idleRenewInterval)
	}
}

// Starts and results follow each other closely on a busy worker. A renewal sent while results wait
// to become durable returns at once, which cost a fifth more polls (hoogvlucht-sched quiet-1).
func TestStartDoesNotRenewBeforePendingResultIsDurable(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("quick", "a", tasks(2, 4))
	h.decide()
	h.acceptStarts(h.starts)
	first := h.starts[0]
	h.report(first.To.ID, h.runResult(first, fleet.OutcomeDone))
	h.submit("quick", "b", tasks(1, 4))
	h.advance(time.Millisecond)
	h.decide()
	starts := len(h.starts)
	h.advance(time.Millisecond)
	h.decide()
	if starts != 1 || len(h.renewals) != 0 {
		t.Fatalf("%d starts, %d renewals while a result waits to become durable, want 1 and 0", starts, len(h.renewals))
	}
}

// Load: a queue gets twice the work that fits. In order of their deadlines alone, each submission
// waits for older ones that are late already, and is late, too. Those that can be in time go first.
func TestOverloadedQueueServesThoseThatCanBeInTime(t *testing.T) {
	h := newHarness(t, 1)
	n, inTime := 0, 0
	arrived := map[fleet.JobID]time.Duration{}
	h.runFor(12*time.Second, time.Second, func(elapsed time.Duration) {
		for ; n < int(elapsed/(125*time.Millisecond)); n++ { // 8 a second, 4 fit
			id := fleet.JobID(fmt.Sprintf("%03d", n))
			arrived[id] = h.now
			h.submit("quick", id, tasks(1, 8))
		}
		for id, at := range arrived {
			if j := h.d.jobs[id]; j.complete() {
				if h.now-at <= j.objective+20*time.Millisecond {
					inTime++
				}
				delete(arrived, id)
			}
		}
	})
	if inTime < 36 {
		t.Fatalf("%d of %d submissions are in time, want nearly all of the 40 to 44 that can be", inTime, n)
	}
}
