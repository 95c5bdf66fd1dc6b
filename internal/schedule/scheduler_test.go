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

func tier(t model.Tier) func(*model.Job) { return func(j *model.Job) { j.Tier = t } }

func long(r *rig) { r.truth = func(Decision) time.Duration { return time.Hour } }

func TestUrgentStartsOnFullCluster(t *testing.T) {
	r := newRig(t, branchA, branchB).workers(4)
	long(r)
	r.job("flood", "a", 500, nil)
	r.run(time.Minute)
	submitted := r.now
	for n := range 10 {
		r.job(fmt.Sprint("urgent", n), "b", 1, tier(model.TierUrgent))
	}
	r.run(10 * time.Second)
	for n := range 10 {
		at, ok := r.started[model.JobID(fmt.Sprint("urgent", n))]
		if wait := at.Sub(submitted); !ok || wait > model.UrgentStartTarget {
			t.Errorf("urgent job %d started: %t, after %s", n, ok, wait)
		}
	}
	if n := r.count(ActionPreempt, nil); n != 10 {
		t.Errorf("%d preemptions for 10 tasks of the victims' size", n)
	}
	if n := r.count(ActionPreempt, func(d Decision) bool { return d.Beneficiary != "b" }); n != 0 {
		t.Errorf("%d preemptions do not name b", n)
	}
}

// A lends its share to nobody twice: b's and c's part comes back by preemption, once.
func TestLentShareComesBack(t *testing.T) {
	r := newRig(t, branchA, branchB, branchC).workers(4)
	long(r)
	r.job("a", "a", 500, nil)
	r.run(time.Minute)
	if n := r.holds("a"); n != 32 {
		t.Fatalf("a alone holds %d of 32", n)
	}
	r.job("b", "b", 500, nil)
	r.job("c", "c", 500, nil)
	r.run(30 * time.Second)
	for branch, want := range map[model.BranchID]int{"a": 8, "b": 8, "c": 16} {
		if n := r.holds(branch); n != want {
			t.Errorf("%s holds %d, share is %d", branch, n, want)
		}
	}
	before := r.count(ActionPreempt, nil)
	r.run(10 * time.Minute)
	if n := r.count(ActionPreempt, nil); n != before || n != 24 {
		t.Errorf("%d preemptions, then %d more", before, n-before)
	}
}

// A lower tier never takes from a higher one, and equal claims only from above the share.
func TestNoPreemptionForLowerClaim(t *testing.T) {
	r := newRig(t, branchA, branchB).workers(4)
	long(r)
	r.job("high", "a", 500, tier(model.TierHigh))
	r.run(time.Minute)
	r.job("normal", "b", 100, nil)
	r.job("own", "a", 100, tier(model.TierHigh))
	r.run(time.Minute)
	if n := r.count(ActionPreempt, nil); n != 0 {
		t.Errorf("%d preemptions", n)
	}
}

func TestGangIsNotStarvedByBackfill(t *testing.T) {
	r := newRig(t, branchA, branchB).workers(4)
	r.truth = func(d Decision) time.Duration {
		if d.Task == "long/0" {
			return 10 * time.Minute
		}
		return time.Duration(20+len(r.log)%40) * time.Second
	}
	r.job("long", "a", 1, func(j *model.Job) { j.Runtime = 10 * time.Minute; j.Workload = "long" })
	r.run(time.Second)
	r.job("gang", "b", 4, func(j *model.Job) {
		j.Kind, j.Workload, j.Size.MilliCPU = model.KindGang, "gang", 8000
	})
	r.s.opts.MaxPreemptionAttempts = 0 // only the reservation is looked at here
	for n := range 900 {
		r.job(fmt.Sprint("small", n), "a", 2, nil)
		r.run(time.Second)
	}
	at, ok := r.started["gang"]
	if wait := at.Sub(epoch); !ok || wait > 12*time.Minute {
		t.Errorf("gang started: %t, after %s; the long task ends after 10m", ok, wait)
	}
	placed := r.count(ActionPlace, func(d Decision) bool { return d.Job == "gang" })
	if placed != 4 {
		t.Errorf("%d of the gang's 4 tasks placed", placed)
	}
	if n := r.count(ActionPlace, nil); n < 600 {
		t.Errorf("%d placements: the reservation kept workers idle", n)
	}
}

func TestDeadlineClimbsButNotOverUrgent(t *testing.T) {
	r := newRig(t, branchA, branchB).workers(1)
	r.job("high", "b", 200, tier(model.TierHigh))
	r.job("due", "b", 8, func(j *model.Job) {
		j.Tier, j.Workload, j.Deadline = model.TierLow, "due", r.now.Add(20*time.Minute)
	})
	r.run(10 * time.Minute)
	if _, ok := r.started["due"]; ok {
		t.Errorf("low work started before its slack ran out")
	}
	r.run(7*time.Minute + 20*time.Second)
	if _, ok := r.started["due"]; !ok {
		t.Errorf("work about to be late has not started")
	}
	submitted := r.now
	r.job("urgent", "b", 8, func(j *model.Job) { j.Tier, j.Workload = model.TierUrgent, "urgent" })
	r.run(160 * time.Second)
	if at, ok := r.started["urgent"]; !ok || at.Sub(submitted) > model.UrgentStartTarget {
		t.Errorf("urgent work started: %t, after %s", ok, at.Sub(epoch))
	}
	if at, ok := r.ended["due"]; !ok || at.After(epoch.Add(20*time.Minute)) {
		t.Errorf("deadline missed: ended %t at %s", ok, at.Sub(epoch))
	}
}

func TestNothingStarves(t *testing.T) {
	r := newRig(t, branchA, branchB).workers(2)
	for n := range 3600 {
		if n == 60 {
			r.job("low", "b", 1, func(j *model.Job) { j.Tier, j.Size.MilliCPU, j.Workload = model.TierLow, 8000, "low" })
		}
		r.job(fmt.Sprint("high", n), "b", 1, tier(model.TierHigh))
		r.run(time.Second)
		if at, ok := r.started["low"]; ok {
			t.Logf("started after %s", at.Sub(epoch))
			return
		}
	}
	t.Error("low work waited for an hour")
}

func TestServicesSpread(t *testing.T) {
	r := newRig(t, branchA).workers(12)
	long(r)
	r.job("batch", "a", 20, nil)
	r.job("watch", "a", 6, func(j *model.Job) { j.Kind, j.Workload = model.KindService, "watch" })
	r.run(2 * time.Second)
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
	r := newRig(t, branchA).workers(4)
	long(r)
	r.job("watch", "a", 4, func(j *model.Job) { j.Kind = model.KindService })
	r.job("batch", "a", 8, func(j *model.Job) { j.Workload = "batch" })
	r.run(2 * time.Second)
	w := rigWorker(0)
	w.Leaving = true
	r.s.UpsertWorker(r.now, w)
	r.run(10 * time.Second)
	for id, run := range r.runs {
		if run.decision.Worker == w.ID {
			t.Errorf("%s is still on the leaving worker", id)
		}
	}
	if len(r.runs) != 12 {
		t.Errorf("%d of 12 tasks run", len(r.runs))
	}
	first := slices.IndexFunc(r.log, func(d Decision) bool { return d.Action == ActionMove })
	if first < 0 || r.log[first].Job != "watch" {
		t.Errorf("the service is not moved first: %v", first)
	}
}

// A fifth of the workers fails everything: they cost few starts, no good job is given up,
// and they come back once they are mended.
func TestBadWorkersAreQuarantined(t *testing.T) {
	r := newRig(t, branchA).workers(20)
	bad := func(id model.WorkerID) bool { return id == "w0" || id == "w1" || id == "w2" || id == "w3" }
	mended := false
	r.fails = func(d Decision) bool { return !mended && bad(d.Worker) }
	for n := range 200 {
		r.job(fmt.Sprint("j", n), "a", 20, nil)
	}
	r.run(28 * time.Minute)
	failed := r.count(ActionPlace, func(d Decision) bool { return bad(d.Worker) })
	failed += r.count(ActionProbe, nil)
	t.Logf("%d of %d starts on bad workers, %d probes", failed, len(r.log), r.count(ActionProbe, nil))
	if len(r.s.Quarantined()) != 4 {
		t.Errorf("quarantined: %v", r.s.Quarantined())
	}
	if 50*failed > len(r.log) {
		t.Errorf("%d of %d starts went to bad workers", failed, len(r.log))
	}
	if r.s.stats.Abandoned != 0 {
		t.Errorf("%d good tasks given up", r.s.stats.Abandoned)
	}
	mended = true
	r.job("more", "a", 2000, nil)
	r.run(45 * time.Minute)
	if q := r.s.Quarantined(); len(q) != 0 {
		t.Errorf("still quarantined after being mended: %v", q)
	}
}

func TestBadJobTakesNoWorkerOut(t *testing.T) {
	r := newRig(t, branchA, branchB).workers(10)
	r.fails = func(d Decision) bool { return d.Branch == "b" }
	for n := range 50 {
		r.job(fmt.Sprint("bad", n), "b", 5, nil)
		r.job(fmt.Sprint("good", n), "a", 5, nil)
	}
	r.run(20 * time.Minute)
	if n := r.s.stats.Quarantines; n != 0 {
		t.Errorf("%d workers quarantined", n)
	}
	if sum := r.s.Summary(); sum.Waiting != 0 {
		t.Errorf("%d tasks wait still", sum.Waiting)
	}
	if n := r.count(ActionPlace, func(d Decision) bool { return d.Branch == "b" }); n > 50*5*4 {
		t.Errorf("%d starts of bad tasks", n)
	}
	if e, ok := r.s.Explain("bad0"); !ok || e.Reason != "failed on several workers and succeeded on none" {
		t.Errorf("explanation: %+v", e)
	}
}

func TestCancelWaveDelaysNoUrgentStart(t *testing.T) {
	r := newRig(t, branchA, branchB).workers(20)
	long(r)
	for n := range 10_000 {
		r.job(fmt.Sprint("j", n), "a", 1, nil)
	}
	r.run(2 * time.Second)
	for n := range 10_000 {
		r.s.Cancel(r.now, model.JobID(fmt.Sprint("j", n)))
	}
	r.job("urgent", "b", 1, tier(model.TierUrgent))
	r.run(5 * time.Second)
	if at, ok := r.started["urgent"]; !ok || at.Sub(epoch) > 2*time.Second+model.UrgentStartTarget {
		t.Errorf("urgent started: %t after %s", ok, at.Sub(epoch))
	}
	if sum := r.s.Summary(); sum.Waiting != 0 || sum.Running != 1 {
		t.Errorf("after the wave: %+v", sum)
	}
}

func TestNeverFitsIsReconsidered(t *testing.T) {
	r := newRig(t, branchA, model.Branch{ID: "q", Share: 1, Quota: model.Resources{MilliCPU: 2000}}).workers(2)
	big := func(j *model.Job) { j.Size.MilliCPU, j.Workload = 9000, "big" }
	gang := func(j *model.Job) { j.Kind, j.Workload, j.Size.MilliCPU = model.KindGang, "gang", 5000 }
	for id, status := range map[string]Status{
		"big": r.job("big", "a", 1, big), "gang": r.job("gang", "a", 3, gang), "quota": r.job("quota", "q", 1, gang),
	} {
		if status.Code != NeverFits || status.Reason == "" {
			t.Errorf("%s: %+v", id, status)
		}
	}
	r.run(time.Second)
	w := rigWorker(2)
	w.Capacity.MilliCPU = 16_000
	r.s.UpsertWorker(r.now, w)
	r.s.SetBranches(r.now, []model.Branch{branchA, {ID: "q", Share: 1}})
	r.run(3 * time.Minute)
	if len(r.ended) != 3 {
		t.Errorf("ended: %v", sortedKeys(r.ended))
	}
}

// Sizes declared five times too large are corrected, and those too small are found out.
func TestSizesAreCorrected(t *testing.T) {
	r := newRig(t, branchA).workers(4)
	r.usage = func(d Decision) model.Resources {
		if d.Job == "small" {
			return model.Resources{MilliCPU: 3000, MemoryMiB: 4000}
		}
		return model.Resources{MilliCPU: 400, MemoryMiB: 500}
	}
	r.job("large", "a", 5000, func(j *model.Job) { j.Size = model.Resources{MilliCPU: 2000, MemoryMiB: 2500} })
	r.run(10 * time.Minute)
	if n := len(r.runs); n < 48 {
		t.Errorf("%d tasks of 0.4 cores run on 32 cores", n)
	}
	r.run(20 * time.Minute)
	r.job("small", "a", 100, func(j *model.Job) { j.Tier, j.Workload = model.TierHigh, "small" })
	r.run(10 * time.Minute)
	if r.count(ActionThrottle, nil) == 0 {
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
	r := newRig(t, branchA, branchB, branchC).workers(4)
	r.s.opts.MaxPreemptionAttempts = 0
	r.truth = func(d Decision) time.Duration { return time.Duration(30+len(r.log)%60) * time.Second }
	for _, b := range []model.BranchID{"a", "b", "c"} {
		r.job(string(b), b, 2000, nil)
	}
	r.run(10 * time.Minute)
	for branch, want := range map[model.BranchID]int{"a": 8, "b": 8, "c": 16} {
		if n := r.holds(branch); n != want {
			t.Errorf("%s holds %d, share is %d", branch, n, want)
		}
	}
}

// Tasks too large for exact shares must not take the place of each other in turn.
func TestNoPreemptionInTurn(t *testing.T) {
	r := newRig(t, branchA, branchB).workers(3)
	long(r)
	large := func(j *model.Job) { j.Size.MilliCPU = 7000 }
	r.job("a", "a", 50, large)
	r.run(time.Minute)
	r.job("b", "b", 50, large)
	r.run(20 * time.Minute)
	if n := r.count(ActionPreempt, nil); n != 1 {
		t.Errorf("%d preemptions for one task of the share of one and a half", n)
	}
}

func TestGangStopsWithItsLostTask(t *testing.T) {
	r := newRig(t, branchA).workers(4)
	long(r)
	r.job("gang", "a", 3, func(j *model.Job) { j.Kind = model.KindGang })
	r.run(2 * time.Second)
	delete(r.runs, "gang/1")
	r.s.Finish(r.now, "gang/1", model.OutcomeLost)
	r.run(5 * time.Second)
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
	r := newRig(t, branchA).workers(8)
	mended := false
	r.fails = func(d Decision) bool { return !mended && d.Worker == "w0" }
	for n := range 40 {
		r.job(fmt.Sprint("j", n), "a", 20, nil)
	}
	r.run(20 * time.Minute)
	if len(r.s.Quarantined()) != 1 {
		t.Fatalf("quarantined: %v, want w0", r.s.Quarantined())
	}
	mended = true
	r.job("watch", "a", 64, func(j *model.Job) { j.Kind = model.KindService })
	r.run(2 * time.Hour)
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
	r := newRig(t, branchA)
	for n := range 4 {
		w := rigWorker(n)
		w.FailureDomain = "d0"
		r.s.UpsertWorker(r.now, w)
	}
	long(r)
	r.job("watch", "a", 4, func(j *model.Job) { j.Kind = model.KindService })
	r.run(2 * time.Second)
	for id, w := range r.s.cluster.workers {
		if granted := w.Capacity.Sub(w.free()).MilliCPU; granted != 1000 {
			t.Errorf("%s runs %d thousandths of the service, want one task", id, granted)
		}
	}
}
