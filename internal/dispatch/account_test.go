package dispatch

import (
	"fmt"
	"testing"
	"time"

	"filbertcross/internal/admission"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
	"filbertcross/internal/proptest"
)

// simAccounts are the accounts of simulated submissions; the last has none.
var simAccounts = []string{"a", "b", ""}

// simQuota lets a few tasks of an account run; the workers have room for 160 cores.
var simQuota = model.Resources{MilliCPU: 24000}

// checkQuota checks that a start keeps its account within its quota, whatever the owner knows.
func (h *simHistory) checkQuota(sub *fleet.Submission, demand model.Resources) {
	if h.accounts == nil || sub.Account == "" {
		return
	}
	used := demand.MilliCPU
	for _, w := range h.workers {
		for id, r := range w.runs {
			if w.up && h.jobs[id.Job].Account == sub.Account {
				used += r.milliCPU
			}
		}
	}
	if used > simQuota.MilliCPU {
		h.fail("account %s uses %d of %d mCPU", sub.Account, used, simQuota.MilliCPU)
	}
}

// Guards against an account above its quota under any order of commands, lost and late responses,
// worker restarts, partitions and changes of owner, and against work that never starts.
func TestQuotaHoldsInSimulatedHistories(t *testing.T) {
	accounts := fleet.NewAccounts()
	for _, name := range simAccounts[:2] {
		accounts.Add(fleet.Account{Name: name, Weight: 2, Quota: simQuota})
	}
	first := seedFromEnvironment(proptest.SeedVariable, 1) * 1_000_000
	for i := range seedFromEnvironment(proptest.ChecksVariable, 30) {
		runHistory(t, first+i, accounts)
	}
}

// newAccountHarness returns a harness with accounts of the given weights, named a0, a1 and so on.
func newAccountHarness(t *testing.T, workers int, quota model.Resources, weights ...float64) *harness {
	h := newHarness(t, workers)
	h.configureAccounts(2, quota, weights...)
	return h
}

func (h *harness) configureAccounts(version int64, quota model.Resources, weights ...float64) {
	conf := testConfiguration()
	conf.Version, conf.Accounts = version, fleet.NewAccounts()
	for i, weight := range weights {
		conf.Accounts.Add(fleet.Account{Name: accountName(i), Weight: weight, Quota: quota})
	}
	h.d.SetConfiguration(conf)
}

func accountName(i int) string { return fmt.Sprint("a", i) }

func (h *harness) submitFor(account int, queue string, id fleet.JobID, steps ...fleet.Step) {
	sub := &fleet.Submission{ID: id, Queue: queue, Service: "pool", Spec: "x", Steps: steps, Account: accountName(account)}
	h.d.AddJob(h.now, sub, testFence+1, 0, nil)
}

// runFor advances in steps of 20 ms. Each run takes duration; it returns the starts by account.
func (h *harness) runFor(total, duration time.Duration, each func(elapsed time.Duration)) map[string]int {
	counts := map[string]int{}
	var open []StartCommand
	begun := map[fleet.RunID]time.Duration{}
	for elapsed := time.Duration(0); elapsed < total; elapsed += 20 * time.Millisecond {
		if elapsed%(200*time.Millisecond) == 0 {
			h.progress++ // otherwise the runs count as stalled
		}
		each(elapsed)
		h.decide()
		starts := h.starts
		h.acceptStarts(starts)
		for _, s := range starts {
			counts[h.d.jobs[s.Start.Task.Job].sub.Account]++
			begun[s.Start.RunID] = h.now
		}
		open = append(open, starts...)
		ended := map[model.WorkerID][]fleet.RunResult{}
		var still []StartCommand
		for _, s := range open {
			if h.now-begun[s.Start.RunID] >= duration {
				ended[s.To.ID] = append(ended[s.To.ID], h.runResult(s, fleet.OutcomeDone))
			} else {
				still = append(still, s)
			}
		}
		open = still
		for _, w := range h.d.workerList {
			h.report(w.entry.ID, ended[w.entry.ID]...)
		}
		h.commitAll()
		h.advance(20*time.Millisecond - time.Duration(len(h.d.workerList))*time.Millisecond)
	}
	return counts
}

// Load: one account hands in eight times its rate while another stays within its own. Both compete
// for the same workers; what is beyond the rate must not delay what is within.
func TestFloodOfOneAccountDoesNotDelayOthers(t *testing.T) {
	h := newAccountHarness(t, 2, model.Resources{}, 4, 4)
	n := 0
	var slowest time.Duration
	waiting := map[fleet.JobID]time.Duration{}
	h.runFor(6*time.Second, 400*time.Millisecond, func(elapsed time.Duration) {
		for range int(elapsed/(31*time.Millisecond)) - n { // 32 a second
			n++
			h.submitFor(0, "quick", fleet.JobID(fmt.Sprintf("flood-%d", n)), tasks(4, 8))
		}
		if elapsed%(500*time.Millisecond) == 0 { // 2 a second
			id := fleet.JobID(fmt.Sprintf("usual-%v", elapsed))
			waiting[id] = h.now
			h.submitFor(1, "quick", id, tasks(1, 8))
		}
		for id, since := range waiting {
			if h.d.jobs[id].started {
				slowest = max(slowest, h.now-since)
				delete(waiting, id)
			}
		}
	})
	if len(waiting) > 1 || slowest > 600*time.Millisecond {
		t.Fatalf("%d submissions within the rate wait, the slowest started after %v; a task takes 400ms", len(waiting), slowest)
	}
}

// Load: two accounts of weights 1 and 3 have more work than fits, all of it within their rates.
func TestFullClusterIsSharedByWeight(t *testing.T) {
	h := newAccountHarness(t, 4, model.Resources{}, 100, 300)
	for n := range 60 {
		h.submitFor(0, "quick", fleet.JobID(fmt.Sprintf("a%02d", n)), tasks(4, 8))
		h.submitFor(1, "quick", fleet.JobID(fmt.Sprintf("b%02d", n)), tasks(4, 8))
	}
	starts := h.runFor(3*time.Second, 200*time.Millisecond, func(time.Duration) {})
	if ratio := float64(starts["a1"]) / float64(starts["a0"]); ratio < 2.4 || ratio > 3.6 {
		t.Fatalf("starts %v: ratio %.2f, want 3", starts, ratio)
	}
}

// Load: the only account with work uses the share that the other leaves unused, and gives it back
// to urgent work of the other without losing any.
func TestUnusedShareIsLentAndComesBack(t *testing.T) {
	h := newAccountHarness(t, 2, model.Resources{}, 50, 50)
	long := tasks(8, 8)
	long.Checkpointing, long.Estimate = true, 20*time.Second
	h.submitFor(0, "rebuild", "lent", long)
	starts := h.runFor(time.Second, time.Hour, func(time.Duration) {})
	if starts["a0"] != 8 {
		t.Fatalf("%d of 8 tasks run while the other account is idle", starts["a0"])
	}
	h.submitFor(1, "rebuild", "own", long)
	stops := 0
	h.progress += 10
	for elapsed := time.Duration(0); elapsed < maxShareReturn+time.Second; elapsed += 20 * time.Millisecond {
		h.decide()
		h.acceptStarts(h.starts)
		for _, s := range h.stops {
			stops++
			h.d.HandleStopResponse(h.now, s.Run, s.To.ID, nil)
			h.advance(time.Millisecond)
			h.report(s.To.ID, fleet.RunResult{Number: int64(100 + stops), RunID: s.Run, Outcome: fleet.OutcomeStopped, Checkpoint: "c"})
		}
		if elapsed%(200*time.Millisecond) == 0 {
			h.progress++
		}
		h.report(workerID(0))
		h.report(workerID(1))
		h.commitAll()
		h.advance(18 * time.Millisecond)
	}
	if stops < 3 || stops > 4 {
		t.Fatalf("%d of 8 runs are stopped for an account with half of the shares, want 3 or 4", stops)
	}
}

// Load: an account fills its quota and has more work. The work of another starts at once beside it, and the
// waiting step reserves no workers and requests no advice.
func TestStepThatWaitsForItsQuotaDelaysNoOtherAccount(t *testing.T) {
	h := newAccountHarness(t, 4, model.Resources{MilliCPU: 32000}, 10, 10)
	gang := tasks(4, 8)
	gang.Gang = true
	h.submitFor(0, "quick", "full", tasks(3, 8))
	h.decide()
	h.acceptStarts(h.starts)
	h.submitFor(0, "quick", "gang", gang)
	h.submitFor(0, "advised", "advised", tasks(2, 8))
	h.submitFor(1, "quick", "other", tasks(4, 8))
	h.advance(time.Millisecond)
	h.decide()
	for _, s := range h.starts {
		if s.Start.Task.Job != "other" {
			t.Errorf("%v starts although its account waits for its quota", s.Start.Task)
		}
	}
	if len(h.starts) != 4 || len(h.adviceCalls) != 0 || len(h.d.reservations) != 0 {
		t.Errorf("%d starts, %d advice calls, %d reservations, want 4, none and none", len(h.starts), len(h.adviceCalls), len(h.d.reservations))
	}
}

// Load: a quota is halved while it is used in full. No run is stopped, and none starts until the
// account is below the new quota.
func TestLoweredQuotaStopsNothing(t *testing.T) {
	quota := model.Resources{MilliCPU: 64000}
	h := newAccountHarness(t, 4, quota, 100)
	h.submitFor(0, "quick", "work", tasks(24, 8))
	lowered := false
	h.runFor(3*time.Second, 300*time.Millisecond, func(elapsed time.Duration) {
		used := h.d.accounts["a0"].usage.MilliCPU
		if elapsed == 100*time.Millisecond {
			if used != quota.MilliCPU {
				t.Fatalf("%d mCPU in use, want the whole quota", used)
			}
			h.configureAccounts(3, model.Resources{MilliCPU: 32000}, 100)
			lowered = true
		}
		if len(h.stops) > 0 {
			t.Fatal("a run is stopped")
		}
		if lowered && len(h.starts) > 0 && used > 32000 {
			t.Fatalf("a run starts while %d mCPU are in use", used)
		}
	})
	if !h.d.jobs["work"].complete() {
		t.Fatal("the work is not complete")
	}
}

// Guards against a new owner that counts only the runs that it knows of.
func TestQuotaCountsWorkersThatHaveNotReportedToANewOwner(t *testing.T) {
	h := newTakeoverHarness(t, 2)
	h.configureAccounts(2, model.Resources{MilliCPU: 40000}, 10)
	h.submitFor(0, "quick", "new", tasks(2, 16))
	h.decide()
	h.reportRuns(workerID(0), nil)
	h.decide()
	if len(h.starts) != 0 {
		t.Fatal("a task starts although a worker may run 32 cores of the account, which has 40")
	}
	h.reportRuns(workerID(1), nil)
	h.decide()
	if len(h.starts) != 2 {
		t.Fatalf("%d starts after all workers have reported, want 2", len(h.starts))
	}
}

// Guards against the cancellation of another account's submission, also before it has arrived.
func TestCancellationNeedsTheSubmissionsAccount(t *testing.T) {
	h := newAccountHarness(t, 1, model.Resources{}, 10, 10)
	h.d.Cancel(h.now, "early", accountName(1))
	for _, id := range []fleet.JobID{"early", "late"} {
		h.submitFor(0, "quick", id, tasks(1, 1))
	}
	if h.d.Cancel(h.now, "late", accountName(1)) || h.d.jobs["early"].canceled || h.d.jobs["late"].canceled {
		t.Error("a submission is canceled by another account")
	}
	if !h.d.Cancel(h.now, "late", accountName(0)) || !h.d.jobs["late"].canceled {
		t.Error("a submission is not canceled by its account")
	}
}

// Load: an account fills its quota, and one floods beyond its rate. Their streams are overdue only once
// submissions wait so long that those behind them would have no value; that of a third account never is.
func TestOverdueStreamsAreThoseWithAHopelessBacklog(t *testing.T) {
	h := newAccountHarness(t, 2, model.Resources{MilliCPU: 32000}, 50, 1, 50)
	for n := range 12 {
		h.submitFor(0, "quick", fleet.JobID(fmt.Sprintf("quota-%d", n)), tasks(4, 8))
		h.submitFor(1, "quick", fleet.JobID(fmt.Sprintf("flood-%d", n)), tasks(4, 8))
	}
	objective, begun, n := h.d.jobs["quota-0"].objective, h.now, 0
	h.runFor(6*time.Second, time.Second, func(elapsed time.Duration) {
		if n = int(elapsed / time.Second); h.d.jobs[fleet.JobID(fmt.Sprintf("usual-%d", n))] == nil {
			h.submitFor(2, "quick", fleet.JobID(fmt.Sprintf("usual-%d", n)), tasks(1, 4))
		}
		overdue := h.d.OverdueStreams(h.now)
		if overdue[admission.Stream{Account: "a2", Queue: "quick"}] {
			t.Fatalf("the stream of an account within its rate is overdue after %v", elapsed)
		}
		if waited := h.now - begun; waited < 2*objective && len(overdue) > 0 {
			t.Fatalf("%v are overdue after %v, the objective is %v", overdue, waited, objective)
		}
	})
	if overdue := h.d.OverdueStreams(h.now); len(overdue) != 2 {
		t.Fatalf("%v are overdue, want those of two accounts", overdue)
	}
}
