package schedule

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"filbertcross/internal/model"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

var (
	branchA = model.Branch{ID: "a", Share: 1}
	branchB = model.Branch{ID: "b", Share: 1}
	branchC = model.Branch{ID: "c", Share: 2}
)

func withTier(t model.Tier) func(*model.Job) { return func(j *model.Job) { j.Tier = t } }

func useHourLongRuns(h *harness) { h.runtime = func(Decision) time.Duration { return time.Hour } }

func TestUrgentStartsOnFullCluster(t *testing.T) {
	h := newHarness(t, branchA, branchB).addWorkers(4)
	useHourLongRuns(h)
	h.submit("flood", "a", 500, nil)
	h.advance(time.Minute)
	submitted := h.now
	for n := range 10 {
		h.submit(fmt.Sprint("urgent", n), "b", 1, withTier(model.TierUrgent))
	}
	h.advance(10 * time.Second)
	for n := range 10 {
		at, ok := h.firstStart[model.JobID(fmt.Sprint("urgent", n))]
		if wait := at.Sub(submitted); !ok || wait > model.UrgentStartTarget {
			t.Errorf("urgent job %d started: %t, after %s", n, ok, wait)
		}
	}
	if n := h.countDecisions(ActionPreempt, nil); n != 10 {
		t.Errorf("%d preemptions for 10 tasks of the victims' size, want 10", n)
	}
	if n := h.countDecisions(ActionPreempt, func(d Decision) bool { return d.Beneficiary != "b" }); n != 0 {
		t.Errorf("%d preemptions name a beneficiary other than b", n)
	}
}

// A branch that uses the whole cluster while others are idle must give their shares back by
// preemption once they submit work, and no further preemption may follow.
func TestBorrowedShareIsReclaimedByPreemption(t *testing.T) {
	h := newHarness(t, branchA, branchB, branchC).addWorkers(4)
	useHourLongRuns(h)
	h.submit("a", "a", 500, nil)
	h.advance(time.Minute)
	if n := h.runningTasks("a"); n != 32 {
		t.Fatalf("branch a holds %d tasks while alone, want 32", n)
	}
	h.submit("b", "b", 500, nil)
	h.submit("c", "c", 500, nil)
	h.advance(30 * time.Second)
	for branch, want := range map[model.BranchID]int{"a": 8, "b": 8, "c": 16} {
		if n := h.runningTasks(branch); n != want {
			t.Errorf("%s holds %d, share is %d", branch, n, want)
		}
	}
	before := h.countDecisions(ActionPreempt, nil)
	h.advance(10 * time.Minute)
	if n := h.countDecisions(ActionPreempt, nil); n != before || n != 24 {
		t.Errorf("%d preemptions to reclaim the shares, then %d more; want 24 and 0", before, n-before)
	}
}

// Work must not preempt a higher tier of another branch, nor work of its own branch in the same
// tier.
func TestNoPreemptionOfHigherOrOwnEqualTier(t *testing.T) {
	h := newHarness(t, branchA, branchB).addWorkers(4)
	useHourLongRuns(h)
	h.submit("high", "a", 500, withTier(model.TierHigh))
	h.advance(time.Minute)
	h.submit("normal", "b", 100, nil)
	h.submit("own", "a", 100, withTier(model.TierHigh))
	h.advance(time.Minute)
	if n := h.countDecisions(ActionPreempt, nil); n != 0 {
		t.Errorf("%d preemptions, want none", n)
	}
}

func TestGangIsNotStarvedByBackfill(t *testing.T) {
	h := newHarness(t, branchA, branchB).addWorkers(4)
	h.runtime = func(d Decision) time.Duration {
		if d.Task == "long/0" {
			return 10 * time.Minute
		}
		return time.Duration(20+len(h.decisions)%40) * time.Second
	}
	h.submit("long", "a", 1, func(j *model.Job) { j.Runtime = 10 * time.Minute; j.Workload = "long" })
	h.advance(time.Second)
	h.submit("gang", "b", 4, func(j *model.Job) {
		j.Kind, j.Workload, j.Size.MilliCPU = model.KindGang, "gang", 8000
	})
	h.s.opts.MaxPreemptionAttempts = 0 // without preemption the gang depends on its reservation
	for n := range 900 {
		h.submit(fmt.Sprint("small", n), "a", 2, nil)
		h.advance(time.Second)
	}
	at, ok := h.firstStart["gang"]
	if wait := at.Sub(epoch); !ok || wait > 12*time.Minute {
		t.Errorf("gang started: %t, after %s; the long task ends after 10m", ok, wait)
	}
	placed := h.countDecisions(ActionPlace, func(d Decision) bool { return d.Job == "gang" })
	if placed != 4 {
		t.Errorf("%d of the gang's 4 tasks placed", placed)
	}
	if n := h.countDecisions(ActionPlace, nil); n < 600 {
		t.Errorf("%d placements, want at least 600: the reservation kept workers idle", n)
	}
}

func TestDeadlinePromotionStaysBelowUrgent(t *testing.T) {
	h := newHarness(t, branchA, branchB).addWorkers(1)
	h.submit("high", "b", 200, withTier(model.TierHigh))
	h.submit("due", "b", 8, func(j *model.Job) {
		j.Tier, j.Workload, j.Deadline = model.TierLow, "due", h.now.Add(20*time.Minute)
	})
	h.advance(10 * time.Minute)
	if _, ok := h.firstStart["due"]; ok {
		t.Errorf("low-tier job started although it still had slack")
	}
	h.advance(7*time.Minute + 20*time.Second)
	if _, ok := h.firstStart["due"]; !ok {
		t.Errorf("job about to miss its deadline has not started")
	}
	submitted := h.now
	h.submit("urgent", "b", 8, func(j *model.Job) { j.Tier, j.Workload = model.TierUrgent, "urgent" })
	h.advance(160 * time.Second)
	if at, ok := h.firstStart["urgent"]; !ok || at.Sub(submitted) > model.UrgentStartTarget {
		t.Errorf("urgent work started: %t, after %s", ok, at.Sub(epoch))
	}
	if at, ok := h.lastCompletion["due"]; !ok || at.After(epoch.Add(20*time.Minute)) {
		t.Errorf("deadline missed: ended %t at %s", ok, at.Sub(epoch))
	}
}

func TestLowTierJobIsNotStarved(t *testing.T) {
	h := newHarness(t, branchA, branchB).addWorkers(2)
	for n := range 3600 {
		if n == 60 {
			h.submit("low", "b", 1, func(j *model.Job) { j.Tier, j.Size.MilliCPU, j.Workload = model.TierLow, 8000, "low" })
		}
		h.submit(fmt.Sprint("high", n), "b", 1, withTier(model.TierHigh))
		h.advance(time.Second)
		if at, ok := h.firstStart["low"]; ok {
			t.Logf("started after %s", at.Sub(epoch))
			return
		}
	}
	t.Error("low work waited for an hour")
}

func TestServiceTasksSpreadAcrossDomainsAndRacks(t *testing.T) {
	h := newHarness(t, branchA).addWorkers(12)
	useHourLongRuns(h)
	h.submit("batch", "a", 20, nil)
	h.submit("watch", "a", 6, func(j *model.Job) { j.Kind, j.Workload = model.KindService, "watch" })
	h.advance(2 * time.Second)
	domains, racks := map[model.FailureDomain]int{}, map[rackKey]int{}
	for _, run := range h.runs {
		if run.decision.Job == "watch" {
			w := h.s.cluster.workers[run.decision.Worker]
			domains[w.FailureDomain]++
			racks[w.rackKey()]++
		}
	}
	for d, n := range domains {
		if n != 2 {
			t.Errorf("%d of 6 tasks in %s, want 2", n, d)
		}
	}
	if len(racks) != 6 {
		t.Errorf("6 tasks in %d racks, want 6", len(racks))
	}
}

func TestLeavingWorkerIsDrainedServicesFirst(t *testing.T) {
	h := newHarness(t, branchA).addWorkers(4)
	useHourLongRuns(h)
	h.submit("watch", "a", 4, func(j *model.Job) { j.Kind = model.KindService })
	h.submit("batch", "a", 8, func(j *model.Job) { j.Workload = "batch" })
	h.advance(2 * time.Second)
	w := testWorker(0)
	w.Leaving = true
	h.s.UpsertWorker(h.now, w)
	h.advance(10 * time.Second)
	for id, run := range h.runs {
		if run.decision.Worker == w.ID {
			t.Errorf("%s is still on the leaving worker", id)
		}
	}
	if len(h.runs) != 12 {
		t.Errorf("%d tasks run, want 12", len(h.runs))
	}
	first := slices.IndexFunc(h.decisions, func(d Decision) bool { return d.Action == ActionMove })
	if first < 0 || h.decisions[first].Job != "watch" {
		t.Errorf("the service is not moved first; first move is decision %v", first)
	}
}

// A fifth of the workers fails every task. They must cost few starts, no job may be abandoned
// because of them, and they must be released from quarantine after they are repaired.
func TestFaultyWorkersAreQuarantinedAndReleased(t *testing.T) {
	h := newHarness(t, branchA).addWorkers(20)
	faulty := func(id model.WorkerID) bool { return id == "w0" || id == "w1" || id == "w2" || id == "w3" }
	repaired := false
	h.fails = func(d Decision) bool { return !repaired && faulty(d.Worker) }
	for n := range 200 {
		h.submit(fmt.Sprint("j", n), "a", 20, nil)
	}
	h.advance(28 * time.Minute)
	failed := h.countDecisions(ActionPlace, func(d Decision) bool { return faulty(d.Worker) })
	failed += h.countDecisions(ActionProbe, nil)
	t.Logf("%d of %d decisions started tasks on faulty workers, %d of them probes", failed, len(h.decisions), h.countDecisions(ActionProbe, nil))
	if len(h.s.Quarantined()) != 4 {
		t.Errorf("quarantined: %v, want the 4 faulty workers", h.s.Quarantined())
	}
	if 50*failed > len(h.decisions) {
		t.Errorf("%d of %d decisions started tasks on faulty workers, want at most 1 in 50", failed, len(h.decisions))
	}
	if h.s.stats.Abandoned != 0 {
		t.Errorf("%d tasks of sound jobs abandoned", h.s.stats.Abandoned)
	}
	repaired = true
	h.submit("more", "a", 2000, nil)
	h.advance(45 * time.Minute)
	if q := h.s.Quarantined(); len(q) != 0 {
		t.Errorf("still quarantined after the repair: %v", q)
	}
}

func TestFaultyJobDoesNotQuarantineWorkers(t *testing.T) {
	h := newHarness(t, branchA, branchB).addWorkers(10)
	h.fails = func(d Decision) bool { return d.Branch == "b" }
	for n := range 50 {
		h.submit(fmt.Sprint("bad", n), "b", 5, nil)
		h.submit(fmt.Sprint("good", n), "a", 5, nil)
	}
	h.advance(20 * time.Minute)
	if n := h.s.stats.Quarantines; n != 0 {
		t.Errorf("%d workers quarantined, want none", n)
	}
	if sum := h.s.Summary(); sum.Waiting != 0 {
		t.Errorf("%d tasks still wait", sum.Waiting)
	}
	if n := h.countDecisions(ActionPlace, func(d Decision) bool { return d.Branch == "b" }); n > 50*5*4 {
		t.Errorf("%d starts of failing tasks, want at most 4 for each task", n)
	}
	if e, ok := h.s.Explain("bad0"); !ok || e.Reason != "failed on several workers and succeeded on none" {
		t.Errorf("explanation: %+v", e)
	}
}

func TestMassCancellationDoesNotDelayUrgentStart(t *testing.T) {
	h := newHarness(t, branchA, branchB).addWorkers(20)
	useHourLongRuns(h)
	for n := range 10_000 {
		h.submit(fmt.Sprint("j", n), "a", 1, nil)
	}
	h.advance(2 * time.Second)
	for n := range 10_000 {
		h.s.Cancel(h.now, model.JobID(fmt.Sprint("j", n)))
	}
	h.submit("urgent", "b", 1, withTier(model.TierUrgent))
	h.advance(5 * time.Second)
	if at, ok := h.firstStart["urgent"]; !ok || at.Sub(epoch) > 2*time.Second+model.UrgentStartTarget {
		t.Errorf("urgent started: %t after %s", ok, at.Sub(epoch))
	}
	if sum := h.s.Summary(); sum.Waiting != 0 || sum.Running != 1 {
		t.Errorf("summary after the cancellations: %+v", sum)
	}
}

func TestParkedJobsRunAfterWorkersOrQuotasGrow(t *testing.T) {
	h := newHarness(t, branchA, model.Branch{ID: "q", Share: 1, Quota: model.Resources{MilliCPU: 2000}}).addWorkers(2)
	big := func(j *model.Job) { j.Size.MilliCPU, j.Workload = 9000, "big" }
	gang := func(j *model.Job) { j.Kind, j.Workload, j.Size.MilliCPU = model.KindGang, "gang", 5000 }
	for id, status := range map[string]Status{
		"big": h.submit("big", "a", 1, big), "gang": h.submit("gang", "a", 3, gang), "quota": h.submit("quota", "q", 1, gang),
	} {
		if status.Code != NeverFits || status.Reason == "" {
			t.Errorf("%s: %+v", id, status)
		}
	}
	h.advance(time.Second)
	w := testWorker(2)
	w.Capacity.MilliCPU = 16_000
	h.s.UpsertWorker(h.now, w)
	h.s.SetBranches(h.now, []model.Branch{branchA, {ID: "q", Share: 1}})
	h.advance(3 * time.Minute)
	if len(h.lastCompletion) != 3 {
		t.Errorf("finished jobs: %v, want all 3", sortedKeys(h.lastCompletion))
	}
}

// Grants of tasks that declare five times their usage must shrink. Tasks that use more than
// they declare must be throttled on overloaded workers and get larger grants.
func TestGrantsFollowReportedUsage(t *testing.T) {
	h := newHarness(t, branchA).addWorkers(4)
	h.usage = func(d Decision) model.Resources {
		if d.Job == "small" {
			return model.Resources{MilliCPU: 3000, MemoryMiB: 4000}
		}
		return model.Resources{MilliCPU: 400, MemoryMiB: 500}
	}
	h.submit("large", "a", 5000, func(j *model.Job) { j.Size = model.Resources{MilliCPU: 2000, MemoryMiB: 2500} })
	h.advance(10 * time.Minute)
	if n := len(h.runs); n < 48 {
		t.Errorf("%d tasks of 0.4 cores run on 32 cores, want at least 48", n)
	}
	h.advance(20 * time.Minute)
	h.submit("small", "a", 100, func(j *model.Job) { j.Tier, j.Workload = model.TierHigh, "small" })
	h.advance(10 * time.Minute)
	if h.countDecisions(ActionThrottle, nil) == 0 {
		t.Errorf("no task was throttled on overloaded workers")
	}
	for id, run := range h.runs {
		if size := run.decision.Size; run.decision.Job == "small" && (size.MilliCPU < 3000 || size.MemoryMiB < 4000) {
			t.Errorf("%s uses more than its grant of %s", id, size)
		}
	}
}

// Without preemption, the order of placements alone must keep the branches at their shares.
func TestPlacementOrderFollowsShares(t *testing.T) {
	h := newHarness(t, branchA, branchB, branchC).addWorkers(4)
	h.s.opts.MaxPreemptionAttempts = 0
	h.runtime = func(d Decision) time.Duration { return time.Duration(30+len(h.decisions)%60) * time.Second }
	for _, b := range []model.BranchID{"a", "b", "c"} {
		h.submit(string(b), b, 2000, nil)
	}
	h.advance(10 * time.Minute)
	for branch, want := range map[model.BranchID]int{"a": 8, "b": 8, "c": 16} {
		if n := h.runningTasks(branch); n != want {
			t.Errorf("%s holds %d, share is %d", branch, n, want)
		}
	}
}

// Tasks that are too large for the branches to get their exact shares must not preempt each
// other in turn.
func TestLargeTasksDoNotPreemptEachOtherInTurn(t *testing.T) {
	h := newHarness(t, branchA, branchB).addWorkers(3)
	useHourLongRuns(h)
	large := func(j *model.Job) { j.Size.MilliCPU = 7000 }
	h.submit("a", "a", 50, large)
	h.advance(time.Minute)
	h.submit("b", "b", 50, large)
	h.advance(20 * time.Minute)
	if n := h.countDecisions(ActionPreempt, nil); n != 1 {
		t.Errorf("%d preemptions, want 1: b's share is one and a half tasks", n)
	}
}

func TestGangRestartsAfterLostTask(t *testing.T) {
	h := newHarness(t, branchA).addWorkers(4)
	useHourLongRuns(h)
	h.submit("gang", "a", 3, func(j *model.Job) { j.Kind = model.KindGang })
	h.advance(2 * time.Second)
	delete(h.runs, "gang/1")
	h.s.Finish(h.now, "gang/1", model.OutcomeLost)
	h.advance(5 * time.Second)
	groups := map[int64]int{}
	for _, run := range h.runs {
		groups[run.decision.Group]++
	}
	if len(groups) != 1 || len(h.runs) != 3 {
		t.Errorf("tasks by group: %v, want 3 tasks in one group", groups)
	}
}

// A repaired worker must be released from quarantine although no work is left that may be used
// as a probe.
func TestQuarantineEndsWithoutProbeTask(t *testing.T) {
	h := newHarness(t, branchA).addWorkers(8)
	repaired := false
	h.fails = func(d Decision) bool { return !repaired && d.Worker == "w0" }
	for n := range 40 {
		h.submit(fmt.Sprint("j", n), "a", 20, nil)
	}
	h.advance(20 * time.Minute)
	if len(h.s.Quarantined()) != 1 {
		t.Fatalf("quarantined: %v, want w0", h.s.Quarantined())
	}
	repaired = true
	h.submit("watch", "a", 64, func(j *model.Job) { j.Kind = model.KindService })
	h.advance(2 * time.Hour)
	if q := h.s.Quarantined(); len(q) != 0 {
		t.Errorf("still quarantined two hours after the repair: %v", q)
	}
	if e, _ := h.s.Explain("watch"); e.Waiting != 0 {
		t.Errorf("%d service tasks still wait: %s", e.Waiting, e.Reason)
	}
}

// With more tasks than racks, tasks of a service may share a worker only when every worker of
// the rack has one.
func TestServiceTasksSpreadAcrossWorkersOfRack(t *testing.T) {
	h := newHarness(t, branchA)
	for n := range 4 {
		w := testWorker(n)
		w.FailureDomain = "d0"
		h.s.UpsertWorker(h.now, w)
	}
	useHourLongRuns(h)
	h.submit("watch", "a", 4, func(j *model.Job) { j.Kind = model.KindService })
	h.advance(2 * time.Second)
	for id, w := range h.s.cluster.workers {
		if granted := w.Capacity.Sub(w.free()).MilliCPU; granted != 1000 {
			t.Errorf("worker %s grants %d milli-CPU to the service, want one task of 1000", id, granted)
		}
	}
}
