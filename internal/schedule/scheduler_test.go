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

func runForAnHour(r *harness) { r.runtime = func(Decision) time.Duration { return time.Hour } }

func TestUrgentStartsOnFullCluster(t *testing.T) {
	r := newHarness(t, branchA, branchB).addWorkers(4)
	runForAnHour(r)
	r.submit("flood", "a", 500, nil)
	r.advance(time.Minute)
	submitted := r.now
	for n := range 10 {
		r.submit(fmt.Sprint("urgent", n), "b", 1, withTier(model.TierUrgent))
	}
	r.advance(10 * time.Second)
	for n := range 10 {
		at, ok := r.started[model.JobID(fmt.Sprint("urgent", n))]
		if wait := at.Sub(submitted); !ok || wait > model.UrgentStartTarget {
			t.Errorf("urgent job %d started: %t, after %s", n, ok, wait)
		}
	}
	if n := r.countDecisions(ActionPreempt, nil); n != 10 {
		t.Errorf("%d preemptions for 10 tasks of the victims' size", n)
	}
	if n := r.countDecisions(ActionPreempt, func(d Decision) bool { return d.Beneficiary != "b" }); n != 0 {
		t.Errorf("%d preemptions do not name b", n)
	}
}

// A lends its share to nobody twice: b's and c's part comes back by preemption, once.
func TestLentShareComesBack(t *testing.T) {
	r := newHarness(t, branchA, branchB, branchC).addWorkers(4)
	runForAnHour(r)
	r.submit("a", "a", 500, nil)
	r.advance(time.Minute)
	if n := r.runningTasks("a"); n != 32 {
		t.Fatalf("a alone holds %d of 32", n)
	}
	r.submit("b", "b", 500, nil)
	r.submit("c", "c", 500, nil)
	r.advance(30 * time.Second)
	for branch, want := range map[model.BranchID]int{"a": 8, "b": 8, "c": 16} {
		if n := r.runningTasks(branch); n != want {
			t.Errorf("%s holds %d, share is %d", branch, n, want)
		}
	}
	before := r.countDecisions(ActionPreempt, nil)
	r.advance(10 * time.Minute)
	if n := r.countDecisions(ActionPreempt, nil); n != before || n != 24 {
		t.Errorf("%d preemptions, then %d more", before, n-before)
	}
}

// A lower tier never takes from a higher one, and equal claims only from above the share.
func TestNoPreemptionForLowerClaim(t *testing.T) {
	r := newHarness(t, branchA, branchB).addWorkers(4)
	runForAnHour(r)
	r.submit("high", "a", 500, withTier(model.TierHigh))
	r.advance(time.Minute)
	r.submit("normal", "b", 100, nil)
	r.submit("own", "a", 100, withTier(model.TierHigh))
	r.advance(time.Minute)
	if n := r.countDecisions(ActionPreempt, nil); n != 0 {
		t.Errorf("%d preemptions", n)
	}
}

func TestGangIsNotStarvedByBackfill(t *testing.T) {
	r := newHarness(t, branchA, branchB).addWorkers(4)
	r.runtime = func(d Decision) time.Duration {
		if d.Task == "long/0" {
			return 10 * time.Minute
		}
		return time.Duration(20+len(r.decisions)%40) * time.Second
	}
	r.submit("long", "a", 1, func(j *model.Job) { j.Runtime = 10 * time.Minute; j.Workload = "long" })
	r.advance(time.Second)
	r.submit("gang", "b", 4, func(j *model.Job) {
		j.Kind, j.Workload, j.Size.MilliCPU = model.KindGang, "gang", 8000
	})
	r.s.opts.MaxPreemptionAttempts = 0 // only the reservation is looked at here
	for n := range 900 {
		r.submit(fmt.Sprint("small", n), "a", 2, nil)
		r.advance(time.Second)
	}
	at, ok := r.started["gang"]
	if wait := at.Sub(epoch); !ok || wait > 12*time.Minute {
		t.Errorf("gang started: %t, after %s; the long task ends after 10m", ok, wait)
	}
	placed := r.countDecisions(ActionPlace, func(d Decision) bool { return d.Job == "gang" })
	if placed != 4 {
		t.Errorf("%d of the gang's 4 tasks placed", placed)
	}
	if n := r.countDecisions(ActionPlace, nil); n < 600 {
		t.Errorf("%d placements: the reservation kept workers idle", n)
	}
}

func TestDeadlineClimbsButNotOverUrgent(t *testing.T) {
	r := newHarness(t, branchA, branchB).addWorkers(1)
	r.submit("high", "b", 200, withTier(model.TierHigh))
	r.submit("due", "b", 8, func(j *model.Job) {
		j.Tier, j.Workload, j.Deadline = model.TierLow, "due", r.now.Add(20*time.Minute)
	})
	r.advance(10 * time.Minute)
	if _, ok := r.started["due"]; ok {
		t.Errorf("low work started before its slack ran out")
	}
	r.advance(7*time.Minute + 20*time.Second)
	if _, ok := r.started["due"]; !ok {
		t.Errorf("work about to be late has not started")
	}
	submitted := r.now
	r.submit("urgent", "b", 8, func(j *model.Job) { j.Tier, j.Workload = model.TierUrgent, "urgent" })
	r.advance(160 * time.Second)
	if at, ok := r.started["urgent"]; !ok || at.Sub(submitted) > model.UrgentStartTarget {
		t.Errorf("urgent work started: %t, after %s", ok, at.Sub(epoch))
	}
	if at, ok := r.ended["due"]; !ok || at.After(epoch.Add(20*time.Minute)) {
		t.Errorf("deadline missed: ended %t at %s", ok, at.Sub(epoch))
	}
}

func TestNothingStarves(t *testing.T) {
	r := newHarness(t, branchA, branchB).addWorkers(2)
	for n := range 3600 {
		if n == 60 {
			r.submit("low", "b", 1, func(j *model.Job) { j.Tier, j.Size.MilliCPU, j.Workload = model.TierLow, 8000, "low" })
		}
		r.submit(fmt.Sprint("high", n), "b", 1, withTier(model.TierHigh))
		r.advance(time.Second)
		if at, ok := r.started["low"]; ok {
			t.Logf("started after %s", at.Sub(epoch))
			return
		}
	}
	t.Error("low work waited for an hour")
}

func TestServicesSpread(t *testing.T) {
	r := newHarness(t, branchA).addWorkers(12)
	runForAnHour(r)
	r.submit("batch", "a", 20, nil)
	r.submit("watch", "a", 6, func(j *model.Job) { j.Kind, j.Workload = model.KindService, "watch" })
	r.advance(2 * time.Second)
	domains, racks := map[model.FailureDomain]int{}, map[rackKey]int{}
	for _, run := range r.runs {
		if run.decision.Job == "watch" {
			w := r.s.cluster.workers[run.decision.Worker]
			domains[w.FailureDomain]++
			racks[w.rackKey()]++
		}
	}
	for d, n := range domains {
		if n != 2 {
			t.Errorf("%d of 6 in %s", n, d)
		}
	}
	if len(racks) != 6 {
		t.Errorf("6 tasks in %d racks", len(racks))
	}
}

func TestLeavingWorkerIsEmptied(t *testing.T) {
	r := newHarness(t, branchA).addWorkers(4)
	runForAnHour(r)
	r.submit("watch", "a", 4, func(j *model.Job) { j.Kind = model.KindService })
	r.submit("batch", "a", 8, func(j *model.Job) { j.Workload = "batch" })
	r.advance(2 * time.Second)
	w := testWorker(0)
	w.Leaving = true
	r.s.UpsertWorker(r.now, w)
	r.advance(10 * time.Second)
	for id, run := range r.runs {
		if run.decision.Worker == w.ID {
			t.Errorf("%s is still on the leaving worker", id)
		}
	}
	if len(r.runs) != 12 {
		t.Errorf("%d of 12 tasks run", len(r.runs))
	}
	first := slices.IndexFunc(r.decisions, func(d Decision) bool { return d.Action == ActionMove })
	if first < 0 || r.decisions[first].Job != "watch" {
		t.Errorf("the service is not moved first: %v", first)
	}
}

// A fifth of the workers fails everything: they cost few starts, no good job is given up,
// and they come back once they are mended.
func TestBadWorkersAreQuarantined(t *testing.T) {
	r := newHarness(t, branchA).addWorkers(20)
	bad := func(id model.WorkerID) bool { return id == "w0" || id == "w1" || id == "w2" || id == "w3" }
	mended := false
	r.fails = func(d Decision) bool { return !mended && bad(d.Worker) }
	for n := range 200 {
		r.submit(fmt.Sprint("j", n), "a", 20, nil)
	}
	r.advance(28 * time.Minute)
	failed := r.countDecisions(ActionPlace, func(d Decision) bool { return bad(d.Worker) })
	failed += r.countDecisions(ActionProbe, nil)
	t.Logf("%d of %d starts on bad workers, %d probes", failed, len(r.decisions), r.countDecisions(ActionProbe, nil))
	if len(r.s.Quarantined()) != 4 {
		t.Errorf("quarantined: %v", r.s.Quarantined())
	}
	if 50*failed > len(r.decisions) {
		t.Errorf("%d of %d starts went to bad workers", failed, len(r.decisions))
	}
	if r.s.stats.Abandoned != 0 {
		t.Errorf("%d good tasks given up", r.s.stats.Abandoned)
	}
	mended = true
	r.submit("more", "a", 2000, nil)
	r.advance(45 * time.Minute)
	if q := r.s.Quarantined(); len(q) != 0 {
		t.Errorf("still quarantined after being mended: %v", q)
	}
}

func TestBadJobTakesNoWorkerOut(t *testing.T) {
	r := newHarness(t, branchA, branchB).addWorkers(10)
	r.fails = func(d Decision) bool { return d.Branch == "b" }
	for n := range 50 {
		r.submit(fmt.Sprint("bad", n), "b", 5, nil)
		r.submit(fmt.Sprint("good", n), "a", 5, nil)
	}
	r.advance(20 * time.Minute)
	if n := r.s.stats.Quarantines; n != 0 {
		t.Errorf("%d workers quarantined", n)
	}
	if sum := r.s.Summary(); sum.Waiting != 0 {
		t.Errorf("%d tasks wait still", sum.Waiting)
	}
	if n := r.countDecisions(ActionPlace, func(d Decision) bool { return d.Branch == "b" }); n > 50*5*4 {
		t.Errorf("%d starts of bad tasks", n)
	}
	if e, ok := r.s.Explain("bad0"); !ok || e.Reason != "failed on several workers and succeeded on none" {
		t.Errorf("explanation: %+v", e)
	}
}

func TestCancelWaveDelaysNoUrgentStart(t *testing.T) {
	r := newHarness(t, branchA, branchB).addWorkers(20)
	runForAnHour(r)
	for n := range 10_000 {
		r.submit(fmt.Sprint("j", n), "a", 1, nil)
	}
	r.advance(2 * time.Second)
	for n := range 10_000 {
		r.s.Cancel(r.now, model.JobID(fmt.Sprint("j", n)))
	}
	r.submit("urgent", "b", 1, withTier(model.TierUrgent))
	r.advance(5 * time.Second)
	if at, ok := r.started["urgent"]; !ok || at.Sub(epoch) > 2*time.Second+model.UrgentStartTarget {
		t.Errorf("urgent started: %t after %s", ok, at.Sub(epoch))
	}
	if sum := r.s.Summary(); sum.Waiting != 0 || sum.Running != 1 {
		t.Errorf("after the wave: %+v", sum)
	}
}

func TestNeverFitsIsReconsidered(t *testing.T) {
	r := newHarness(t, branchA, model.Branch{ID: "q", Share: 1, Quota: model.Resources{MilliCPU: 2000}}).addWorkers(2)
	big := func(j *model.Job) { j.Size.MilliCPU, j.Workload = 9000, "big" }
	gang := func(j *model.Job) { j.Kind, j.Workload, j.Size.MilliCPU = model.KindGang, "gang", 5000 }
	for id, status := range map[string]Status{
		"big": r.submit("big", "a", 1, big), "gang": r.submit("gang", "a", 3, gang), "quota": r.submit("quota", "q", 1, gang),
	} {
		if status.Code != NeverFits || status.Reason == "" {
			t.Errorf("%s: %+v", id, status)
		}
	}
	r.advance(time.Second)
	w := testWorker(2)
	w.Capacity.MilliCPU = 16_000
	r.s.UpsertWorker(r.now, w)
	r.s.SetBranches(r.now, []model.Branch{branchA, {ID: "q", Share: 1}})
	r.advance(3 * time.Minute)
	if len(r.ended) != 3 {
		t.Errorf("ended: %v", sortedKeys(r.ended))
	}
}

// Sizes declared five times too large are corrected, and those too small are found out.
func TestSizesAreCorrected(t *testing.T) {
	r := newHarness(t, branchA).addWorkers(4)
	r.usage = func(d Decision) model.Resources {
		if d.Job == "small" {
			return model.Resources{MilliCPU: 3000, MemoryMiB: 4000}
		}
		return model.Resources{MilliCPU: 400, MemoryMiB: 500}
	}
	r.submit("large", "a", 5000, func(j *model.Job) { j.Size = model.Resources{MilliCPU: 2000, MemoryMiB: 2500} })
	r.advance(10 * time.Minute)
	if n := len(r.runs); n < 48 {
		t.Errorf("%d tasks of 0.4 cores run on 32 cores", n)
	}
	r.advance(20 * time.Minute)
	r.submit("small", "a", 100, func(j *model.Job) { j.Tier, j.Workload = model.TierHigh, "small" })
	r.advance(10 * time.Minute)
	if r.countDecisions(ActionThrottle, nil) == 0 {
		t.Errorf("nothing throttled on overloaded workers")
	}
	for id, run := range r.runs {
		if size := run.decision.Size; run.decision.Job == "small" && (size.MilliCPU < 3000 || size.MemoryMiB < 4000) {
			t.Errorf("%s is granted %s and uses more", id, size)
		}
	}
}

// Without preemption the order of placement alone keeps the shares.
func TestOrderFollowsShares(t *testing.T) {
	r := newHarness(t, branchA, branchB, branchC).addWorkers(4)
	r.s.opts.MaxPreemptionAttempts = 0
	r.runtime = func(d Decision) time.Duration { return time.Duration(30+len(r.decisions)%60) * time.Second }
	for _, b := range []model.BranchID{"a", "b", "c"} {
		r.submit(string(b), b, 2000, nil)
	}
	r.advance(10 * time.Minute)
	for branch, want := range map[model.BranchID]int{"a": 8, "b": 8, "c": 16} {
		if n := r.runningTasks(branch); n != want {
			t.Errorf("%s holds %d, share is %d", branch, n, want)
		}
	}
}

// Tasks too large for exact shares must not take the place of each other in turn.
func TestNoPreemptionInTurn(t *testing.T) {
	r := newHarness(t, branchA, branchB).addWorkers(3)
	runForAnHour(r)
	large := func(j *model.Job) { j.Size.MilliCPU = 7000 }
	r.submit("a", "a", 50, large)
	r.advance(time.Minute)
	r.submit("b", "b", 50, large)
	r.advance(20 * time.Minute)
	if n := r.countDecisions(ActionPreempt, nil); n != 1 {
		t.Errorf("%d preemptions for one task of the share of one and a half", n)
	}
}

func TestGangStopsWithItsLostTask(t *testing.T) {
	r := newHarness(t, branchA).addWorkers(4)
	runForAnHour(r)
	r.submit("gang", "a", 3, func(j *model.Job) { j.Kind = model.KindGang })
	r.advance(2 * time.Second)
	delete(r.runs, "gang/1")
	r.s.Finish(r.now, "gang/1", model.OutcomeLost)
	r.advance(5 * time.Second)
	groups := map[int64]int{}
	for _, run := range r.runs {
		groups[run.decision.Group]++
	}
	if len(groups) != 1 || len(r.runs) != 3 {
		t.Errorf("tasks by group: %v", groups)
	}
}

// TestQuarantineEndsWithoutAProbeTask: a mended worker comes back although no work
// is left that may be risked as a probe.
func TestQuarantineEndsWithoutAProbeTask(t *testing.T) {
	r := newHarness(t, branchA).addWorkers(8)
	mended := false
	r.fails = func(d Decision) bool { return !mended && d.Worker == "w0" }
	for n := range 40 {
		r.submit(fmt.Sprint("j", n), "a", 20, nil)
	}
	r.advance(20 * time.Minute)
	if len(r.s.Quarantined()) != 1 {
		t.Fatalf("quarantined: %v, want w0", r.s.Quarantined())
	}
	mended = true
	r.submit("watch", "a", 64, func(j *model.Job) { j.Kind = model.KindService })
	r.advance(2 * time.Hour)
	if q := r.s.Quarantined(); len(q) != 0 {
		t.Errorf("still quarantined two hours after being mended: %v", q)
	}
	if e, _ := r.s.Explain("watch"); e.Waiting != 0 {
		t.Errorf("%d of the services still wait: %s", e.Waiting, e.Reason)
	}
}

// TestServiceAvoidsItsOwnWorkers: with more tasks than racks, tasks of a service share a
// worker only when every worker of the rack has one.
func TestServiceAvoidsItsOwnWorkers(t *testing.T) {
	r := newHarness(t, branchA)
	for n := range 4 {
		w := testWorker(n)
		w.FailureDomain = "d0"
		r.s.UpsertWorker(r.now, w)
	}
	runForAnHour(r)
	r.submit("watch", "a", 4, func(j *model.Job) { j.Kind = model.KindService })
	r.advance(2 * time.Second)
	for id, w := range r.s.cluster.workers {
		if granted := w.Capacity.Sub(w.free()).MilliCPU; granted != 1000 {
			t.Errorf("%s runs %d thousandths of the service, want one task", id, granted)
		}
	}
}
