package dispatch

import (
	"fmt"
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// Pattern: rebuilds that checkpoint fill the cluster, then a burst of quick submissions
// comes (hoogvlucht trouble-1, burst traject-prognose).
func TestUrgentBurstPreemptsCheckpointingRuns(t *testing.T) {
	r := newHarness(t, 2)
	long := tasks(8, 8)
	long.Checkpointing, long.Estimate = true, 10*time.Second
	r.submit("rebuild", "long", long)
	r.decide()
	r.acceptStarts(r.starts)
	if len(r.starts) != 8 {
		t.Fatalf("%d starts of 8", len(r.starts))
	}
	r.report(workerID(0))
	r.report(workerID(1))
	r.submit("quick", "urgent", tasks(3, 8))
	r.decide()
	if len(r.stops) == 0 {
		r.advance(time.Millisecond)
		r.decide()
	}
	if len(r.stops) != 3 {
		t.Fatalf("%d runs are stopped for three urgent tasks", len(r.stops))
	}
	for range 5 {
		r.advance(time.Millisecond)
		r.decide()
		if len(r.stops) != 0 {
			t.Fatal("more runs are stopped although room is being freed")
		}
	}
}

func TestRunsWithoutCheckpointsAreNotPreempted(t *testing.T) {
	r := newHarness(t, 1)
	long := tasks(4, 8)
	long.Estimate = 10 * time.Second
	r.submit("rebuild", "long", long)
	r.decide()
	r.acceptStarts(r.starts)
	r.report(workerID(0))
	r.submit("quick", "urgent", tasks(1, 8))
	for range 3 {
		r.decide()
		r.advance(time.Millisecond)
		if len(r.stops) != 0 {
			t.Fatal("work that would be lost was stopped")
		}
	}
}

// Pattern: long calls for advice occupy all VMs while quick steps wait (hoogvlucht scale-1).
func TestShortAdviceCallsHaveReservedSlots(t *testing.T) {
	r := newHarness(t, 40)
	conf := testConfiguration()
	conf.Version = 2
	conf.Queues = append(conf.Queues, fleet.Queue{Name: "slow", Service: "pool", Priority: 2, MaxAttempts: 2, SlowdownFactor: 2,
		Advice: &fleet.AdvicePolicy{BaseLatency: 400 * time.Millisecond, LatencyPerWorker: 6 * time.Millisecond, TicketValidity: 2500 * time.Millisecond}})
	r.d.SetConfiguration(conf)
	r.d.SetAdviceSlots(8)
	for i := range 12 {
		r.submit("slow", fleet.JobID(fmt.Sprintf("slow%d", i)), tasks(1, 1))
	}
	r.decide()
	if len(r.adviceCalls) != 6 {
		t.Fatalf("%d long calls are out, want 6 of 8 slots", len(r.adviceCalls))
	}
	r.advance(time.Millisecond)
	r.submit("advised", "quick", tasks(1, 1))
	r.decide()
	if len(r.adviceCalls) != 1 || r.adviceCalls[0].Step.Job != "quick" {
		t.Fatalf("asks %v, want the quick one", r.adviceCalls)
	}
}

func TestStartsCarryTicketsAndOnlyAllowedWorkersAreUsed(t *testing.T) {
	r := newHarness(t, 3)
	r.submit("advised", "a", tasks(2, 4))
	r.decide()
	if len(r.starts) != 0 || len(r.adviceCalls) != 1 {
		t.Fatalf("starts %v asks %v before advice", r.starts, r.adviceCalls)
	}
	ask := r.adviceCalls[0]
	r.advance(30 * time.Millisecond)
	r.d.HandleAdvice(r.now, ask.Step, ask.Workers, map[model.WorkerID]string{workerID(2): "ticket"}, 2500*time.Millisecond, nil)
	r.decide()
	for _, s := range r.starts {
		if s.To.ID != workerID(2) || s.Start.Ticket != "ticket" {
			t.Fatalf("start %+v", s)
		}
	}
	if len(r.starts) != 2 {
		t.Fatalf("%d starts, want 2", len(r.starts))
	}
}

// Pattern: a gang whose members do not all fit waits as a whole; a refused member stops the
// others, and the next run has another number.
func TestGangStartsAllMembersOrNone(t *testing.T) {
	r := newHarness(t, 2)
	gang := tasks(4, 16)
	gang.Gang = true
	blocker := tasks(1, 16)
	r.submit("quick", "b", blocker)
	r.decide()
	b := r.starts[0]
	r.acceptStarts(r.starts)
	r.submit("rebuild", "g", gang)
	r.decide()
	if len(r.starts) != 0 {
		t.Fatalf("%d members start without room for all", len(r.starts))
	}
	r.report(b.To.ID, r.runResult(b, fleet.OutcomeDone))
	r.advance(placementRetryInterval)
	r.decide()
	if len(r.starts) != 4 {
		t.Fatalf("%d members of 4", len(r.starts))
	}
	for _, s := range r.starts[1:] {
		if s.Start.Run != r.starts[0].Start.Run {
			t.Fatal("members have different run numbers")
		}
	}
	members := r.starts
	r.acceptStarts(members[1:])
	r.d.HandleStartResponse(r.now, members[0].Start.RunID, members[0].To.ID, &fleet.CallError{RejectReason: fleet.RejectedNoCapacity, Verdict: 1})
	r.decide()
	if len(r.stops) != 3 {
		t.Fatalf("%d members are stopped after a refusal, want 3", len(r.stops))
	}
}

func TestStepsRunInOrderAndRespectLimits(t *testing.T) {
	r := newHarness(t, 2)
	second := tasks(4, 1)
	second.After, second.MaxPerWorker, second.RequiredLabel = []int{0}, 1, "a"
	r.submit("quick", "a", tasks(1, 4), second)
	r.decide()
	if len(r.starts) != 1 {
		t.Fatalf("%d starts, want the first step only", len(r.starts))
	}
	first := r.starts[0]
	r.acceptStarts(r.starts)
	r.report(first.To.ID, r.runResult(first, fleet.OutcomeDone))
	r.decide()
	if len(r.starts) != 2 {
		t.Fatalf("%d starts, want one on each of two workers", len(r.starts))
	}
}

func TestDrainingWorkerGetsNoStartsAndStopsLongRunningTasks(t *testing.T) {
	r := newHarness(t, 2)
	watch := tasks(2, 4)
	watch.LongRunning = true
	r.submit("quick", "w", watch)
	r.decide()
	r.acceptStarts(r.starts)
	r.listWorkers(2, func(i int, e *fleet.WorkerEntry) {
		e.Draining, e.DrainRemaining = i == 0, 2*time.Second
	})
	r.submit("quick", "q", tasks(4, 1))
	r.advance(sweepInterval)
	r.decide()
	for _, s := range r.starts {
		if s.To.ID == workerID(0) {
			t.Fatal("a draining worker got a start")
		}
	}
	if len(r.stops) != 1 || r.stops[0].To.ID != workerID(0) {
		t.Fatalf("stops %v, want the lasting task of the draining worker", r.stops)
	}
}

func TestScheduledSubmissionStartsAtItsTimes(t *testing.T) {
	r := newHarness(t, 2)
	r.d.AddJob(r.now, &fleet.Submission{ID: "t", Queue: "quick", Service: "pool", Steps: []fleet.Step{tasks(1, 1)},
		Occurrences: 2, FirstRun: r.wall.Add(time.Second), Interval: 2 * time.Second}, testFence+1, 0, nil)
	count := 0
	for range 40 {
		r.advance(100 * time.Millisecond)
		r.report(workerID(0))
		r.report(workerID(1))
		r.decide()
		for _, s := range r.starts {
			due := time.Unix(1_800_000_000, 0).Add(time.Second + time.Duration(s.Start.Task.Occurrence)*2*time.Second)
			if r.wall.Before(due) {
				t.Fatalf("occurrence %d starts %v early", s.Start.Task.Occurrence, due.Sub(r.wall))
			}
			count++
		}
		r.acceptStarts(r.starts)
	}
	if count != 2 {
		t.Fatalf("%d starts, want one for each time", count)
	}
}

// Pattern: executors hang while their heartbeat goes on (srv_grey hang).
func TestStalledRunIsStopped(t *testing.T) {
	r := newHarness(t, 2)
	r.submit("quick", "a", tasks(1, 4))
	r.decide()
	first := r.starts[0]
	r.acceptStarts(r.starts)
	stopped := false
	for range 10 {
		r.advance(200 * time.Millisecond)
		r.report(workerID(0))
		r.report(workerID(1))
		r.decide()
		stopped = stopped || len(r.stops) == 1 && r.stops[0].Run == first.Start.RunID
	}
	if !stopped {
		t.Fatal("a run without progress for two seconds was left where it is")
	}
}

// Pattern: an executor is dark and a step allows copies.
func TestCopyStartsWhenStartOutcomeIsUnknown(t *testing.T) {
	r := newHarness(t, 2)
	s := tasks(1, 4)
	s.Speculative = true
	r.submit("quick", "a", s)
	r.decide()
	first := r.starts[0]
	r.d.HandleStartResponse(r.now, first.Start.RunID, first.To.ID, errNoResponse)
	r.advance(sweepInterval)
	r.decide()
	if len(r.starts) != 1 || r.starts[0].To.ID == first.To.ID {
		t.Fatalf("starts %v, want a copy on the other worker", r.starts)
	}
}

// Pattern: estimates are off by a factor of two and more (hoogvlucht-sched-grown, est_off 0.9).
// A run that is three quarters through ends before a copy would.
func TestProgressingRunIsNotCopied(t *testing.T) {
	r := newHarness(t, 2)
	s := tasks(1, 4)
	s.Speculative, s.Estimate = true, 100*time.Millisecond
	r.submit("quick", "a", s)
	r.decide()
	first := r.starts[0]
	r.acceptStarts(r.starts)
	for percent := 20; percent < 100; percent += 20 {
		r.advance(150 * time.Millisecond)
		r.reportRuns(first.To.ID, []fleet.RunStatus{{RunID: first.Start.RunID, Percent: percent}})
		r.report(otherWorker(first.To.ID))
		r.advance(sweepInterval)
		r.decide()
		if len(r.starts) != 0 {
			t.Fatalf("a copy is started of a run at %d percent after %v", percent, r.now-time.Hour)
		}
	}
}

// Pattern: one worker is eight times slower than the others (srv_slow, srv_grey slow): siblings
// of the step tell how long its tasks take.
func TestRunOnASlowWorkerIsCopied(t *testing.T) {
	r := newHarness(t, 2)
	s := tasks(6, 4)
	s.Speculative, s.Estimate = true, time.Second
	r.submit("quick", "a", s)
	r.decide()
	r.acceptStarts(r.starts)
	placed := r.starts
	slow := placed[0]
	for range 8 {
		r.advance(150 * time.Millisecond)
		for _, w := range []model.WorkerID{workerID(0), workerID(1)} {
			var rows []fleet.RunStatus
			var ends []fleet.RunResult
			for _, p := range placed {
				switch {
				case p.To.ID != w:
				case p.Start.RunID == slow.Start.RunID:
					rows = append(rows, fleet.RunStatus{RunID: p.Start.RunID, Percent: int((r.now - time.Hour) / (80 * time.Millisecond))})
				case r.now-time.Hour < time.Second:
					rows = append(rows, fleet.RunStatus{RunID: p.Start.RunID, Percent: int((r.now - time.Hour) / (10 * time.Millisecond))})
				case len(r.d.workers[w].runs) > 0 && r.d.runs[p.Start.RunID] != nil:
					ends = append(ends, r.runResult(p, fleet.OutcomeDone))
				}
			}
			r.reportRuns(w, rows, ends...)
		}
		r.advance(sweepInterval)
		r.decide()
		if len(r.starts) == 1 && r.starts[0].Start.Task == slow.Start.Task {
			return
		}
	}
	t.Fatalf("no copy of the slow run after %v, when its siblings have ended", r.now-time.Hour)
}

func otherWorker(id model.WorkerID) model.WorkerID {
	if id == workerID(0) {
		return workerID(1)
	}
	return workerID(0)
}

// Pattern: a burst of urgent tasks on a large cluster that is full of work that checkpoints
// (hoogvlucht-sched-grown scale-1), where a stop takes up to 0.9 s.
func TestUrgentBurstOnLargeClusterPreemptsAtOnce(t *testing.T) {
	const workers = 120
	r := newHarness(t, workers)
	long := tasks(4*workers, 8)
	long.Checkpointing, long.Estimate = true, 30*time.Second
	r.submit("rebuild", "long", long)
	r.decide()
	r.acceptStarts(r.starts)
	for i := range workers {
		r.report(workerID(i))
	}
	r.submit("quick", "urgent", tasks(40, 8))
	stops := 0
	for range 5 {
		r.decide()
		stops += len(r.stops)
		r.advance(time.Millisecond)
	}
	if stops != 40 {
		t.Fatalf("%d runs are stopped for forty urgent tasks", stops)
	}
}

// Pattern: a filler beside a task that serves people, whose tail rises (sharing, HARM).
func TestFillerIsPacedWhenServingTaskMissesLatencyTarget(t *testing.T) {
	r := newHarness(t, 1)
	serve := tasks(1, 4)
	serve.LongRunning, serve.LatencyTarget = true, 100*time.Millisecond
	fill := tasks(1, 4)
	fill.Filler = true
	r.submit("quick", "s", serve)
	r.submit("rebuild", "f", fill)
	r.decide()
	r.acceptStarts(r.starts)
	rows := r.runStatuses(workerID(0))
	for i := range rows {
		rows[i].Percent = 100
		if rows[i].Task.Job == "s" {
			rows[i].Load = 150
		}
	}
	r.reportRuns(workerID(0), rows)
	r.advance(sweepInterval)
	r.decide()
	if len(r.paces) != 1 || r.paces[0].Pace.Task.Job != "f" || r.paces[0].Pace.Percent != 0 {
		t.Fatalf("paces %v, want the filler stopped", r.paces)
	}
}

// Pattern: thousands of workers of which few run anything (sweep at 300 machines). A poll costs the
// owner as much as a start, so idle workers are asked seldom, and busy ones as often as ever.
func TestIdleWorkersGetLongerLongPollsInLargeFleet(t *testing.T) {
	r := newHarness(t, shortLongPollMaxWorkers+10)
	r.submit("quick", "a", tasks(3, 20))
	r.decide()
	r.acceptStarts(r.starts)
	busy := map[model.WorkerID]bool{}
	for _, s := range r.starts {
		busy[s.To.ID] = true
	}
	for i := range shortLongPollMaxWorkers + 10 {
		r.report(workerID(i))
	}
	r.decide()
	for _, h := range r.renewals {
		if long := h.Renew.Wait > RenewWait; long == busy[h.To.ID] {
			t.Fatalf("%s, busy %v, is asked for %v", h.To.ID, busy[h.To.ID], h.Renew.Wait)
		}
	}
	if len(r.renewals) != shortLongPollMaxWorkers+10 {
		t.Fatalf("%d holds", len(r.renewals))
	}
}

// Pattern: the same with thousands, where a connection to each uses up the descriptors. A start
// brings the long poll back at once.
func TestIdleWorkersGetNoLongPollInVeryLargeFleet(t *testing.T) {
	const workers = idleLongPollMaxWorkers + 10
	r := newHarness(t, workers)
	r.decide()
	for _, h := range r.renewals {
		if h.Renew.Wait != 0 {
			t.Fatalf("idle %s is asked for %v", h.To.ID, h.Renew.Wait)
		}
		r.report(h.To.ID)
	}
	r.advance(time.Second)
	r.decide()
	if len(r.renewals) != 0 {
		t.Fatalf("%d idle workers are asked again after a second", len(r.renewals))
	}
	r.submit("quick", "a", tasks(1, 4))
	r.decide()
	r.acceptStarts(r.starts)
	r.decide()
	if len(r.starts)+len(r.renewals) == 0 || len(r.renewals) != 1 || r.renewals[0].Renew.Wait != RenewWait || r.renewals[0].Renew.Deadline == 0 {
		t.Fatalf("holds %v after a start", r.renewals)
	}
	r.advance(idleRenewInterval)
	r.decide()
	if len(r.renewals) < workers-1 {
		t.Fatalf("%d idle workers are asked after %v", len(r.renewals), idleRenewInterval)
	}
}

// Pattern: starts and ends follow each other closely on a busy worker (hoogvlucht-sched quiet-1, a
// fifth more looks). While ends wait to become durable a hold would return at once.
func TestStartDoesNotRenewBeforePendingResultIsDurable(t *testing.T) {
	r := newHarness(t, 1)
	r.submit("quick", "a", tasks(2, 4))
	r.decide()
	r.acceptStarts(r.starts)
	first := r.starts[0]
	r.report(first.To.ID, r.runResult(first, fleet.OutcomeDone))
	r.submit("quick", "b", tasks(1, 4))
	r.advance(time.Millisecond)
	r.decide()
	starts := len(r.starts)
	r.advance(time.Millisecond)
	r.decide()
	if starts != 1 || len(r.renewals) != 0 {
		t.Fatalf("%d starts, %d holds while an end waits to become durable", starts, len(r.renewals))
	}
}
