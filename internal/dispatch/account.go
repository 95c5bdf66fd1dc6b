package dispatch

import (
	"time"

	"filbertcross/internal/admission"
	"filbertcross/internal/event"
	"filbertcross/internal/fairshare"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// account is the scheduling state of a client account.
type account struct {
	fleet.Account // of the newest configuration that has it

	// usage is the demand of its runs, from the command to start each until it is proved to have
	// ended. It thus includes runs with an unknown outcome, runs that are being stopped and copies.
	usage    model.Resources
	stopping model.Resources // part of usage that is being stopped

	rate admission.Bucket // of its submissions

	ready       bool    // it has a step with waiting tasks in the current placement pass
	atQuota     bool    // a step waits for the quota, so that later ones of the account must not take it in this pass
	share       float64 // fraction of the cluster to which it is entitled
	quotaLogged time.Duration
}

// accountOf returns the account of a submission; nil: it belongs to none.
func (d *Dispatcher) accountOf(sub *fleet.Submission) *account {
	if sub.Account == "" {
		return nil
	}
	a := d.accounts[sub.Account]
	if a == nil {
		a = &account{Account: fleet.Account{Name: sub.Account, Weight: 1}}
		d.accounts[sub.Account] = a
		d.applyAccountConfiguration(a)
	}
	return a
}

// applyAccountConfiguration applies the newest configuration to an account. An account that it no
// longer has keeps its weight and quota for the submissions that were accepted before.
func (d *Dispatcher) applyAccountConfiguration(a *account) {
	if newest, ok := d.settings.accounts[a.Name]; ok {
		a.Account = newest
	}
	a.rate.SetLimit(d.opts.RateBurst.Limit(a.Weight))
}

// startPass computes the state of the accounts for a placement pass over the ready steps: their
// weighted dominant shares among the accounts that have runs or ready steps, and what runs of an
// earlier owner may still hold.
func (d *Dispatcher) startPass(ready []*step) {
	if len(d.accounts) == 0 {
		return
	}
	d.unknownUsage = d.possibleUnknownUsage()
	for _, a := range d.accounts {
		a.ready, a.atQuota, a.share = false, false, 0
	}
	for _, s := range ready {
		if s.job.account != nil {
			s.job.account.ready = true
		}
	}
	weights := 0.0
	for _, a := range d.accounts {
		if a.ready || !a.usage.IsZero() {
			weights += a.Weight
		}
	}
	d.capacity = d.placeableCapacity()
	for _, a := range d.accounts {
		if weights > 0 {
			a.share = a.Weight / weights
		}
	}
}

// hasShareLeft reports whether the account, nil for none, holds less than its share. Its last task
// may exceed the share, so that small shares are served, too.
func (d *Dispatcher) hasShareLeft(a *account) bool {
	return a == nil || fairshare.DominantShare(a.usage, d.capacity) < a.share
}

// aboveShareWithout reports whether the account holds its share even without a demand that it holds
// now, apart from what is being stopped.
func (d *Dispatcher) aboveShareWithout(a *account, demand model.Resources) bool {
	return a != nil && fairshare.DominantShare(a.usage.Sub(a.stopping).Sub(demand), d.capacity) >= a.share
}

// placeableCapacity returns the capacity of all workers that are listed and have reported.
func (d *Dispatcher) placeableCapacity() model.Resources {
	var total model.Resources
	for _, w := range d.workerList {
		if w.listed && w.reported {
			total = total.Add(w.entry.Capacity)
		}
	}
	return total
}

// possibleUnknownUsage returns the most that runs of an earlier owner can hold which this owner does
// not know of: the largest capacity that the workers which have not reported yet have had.
func (d *Dispatcher) possibleUnknownUsage() model.Resources {
	var unknown, largest model.Resources
	if d.recovered {
		return unknown
	}
	unlisted := 0
	for _, w := range d.workerList {
		c := w.entry.Capacity.Max(w.peakCapacity)
		largest = largest.Max(c)
		if !w.recordedByPrevious || w.reported {
			continue
		}
		if c.IsZero() { // its entry is gone
			unlisted++
		}
		unknown = unknown.Add(c)
	}
	return unknown.Add(fairshare.Multiply(largest, unlisted))
}

// quotaAllows reports whether the account's quota allows n more tasks of the step. If not, later
// steps of the account in this pass are not allowed any either, so that the step is not starved.
func (d *Dispatcher) quotaAllows(now time.Duration, s *step, n int) bool {
	a := s.job.account
	if a == nil {
		return true
	}
	if !a.atQuota {
		use := a.usage.Add(d.unknownUsage).Add(fairshare.Multiply(s.def.Demand, n))
		a.atQuota = !fairshare.WithinQuota(use, a.Quota)
		if a.atQuota && now >= a.quotaLogged+quotaLogInterval {
			a.quotaLogged = now
			d.events.Record(event.AccountAtQuota, a.Name, s.id, a.usage.MilliCPU, a.usage.MemoryMiB, a.usage.Accelerators, a.Quota.MilliCPU, a.Quota.MemoryMiB, a.Quota.Accelerators)
		}
	}
	return !a.atQuota
}

// quotaLogInterval bounds the events of an account that waits for its quota.
const quotaLogInterval = time.Second

// startableTogether returns the number of tasks of the step that must start at once.
func (s *step) startableTogether() int {
	if s.def.Gang {
		return len(s.tasks)
	}
	return 1
}

// OverdueStreams returns the streams of which a submission has waited so long for its first start
// that those which arrive now behind it are not likely to complete while they have value.
func (d *Dispatcher) OverdueStreams(now time.Duration) map[admission.Stream]bool {
	overdue := map[admission.Stream]bool{}
	for _, j := range d.activeJobs {
		if j.account == nil || j.started || j.sub.HasSchedule() || j.sub.Steps[0].LongRunning {
			continue
		}
		if now-j.arrivedAt > (lateFactor-1)*j.objective {
			overdue[admission.Stream{Account: j.account.Name, Queue: j.sub.Queue}] = true
		}
	}
	return overdue
}
