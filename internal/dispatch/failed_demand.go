package dispatch

import (
	"time"

	"filbertcross/internal/model"
)

// failedDemands records demands for which a search of all workers found none, so that the search is
// not repeated for each of many steps that need as much or more. Steps with equal keys may use the
// same workers.
type failedDemands map[demandKey]failedDemand

type demandKey struct {
	service, label string
	// for preemption only
	queue      string
	account    *account
	beyondRate bool
}

type failedDemand struct {
	demand model.Resources
	until  time.Duration // 0: forgotten after the pass
}

// found reports whether the demand, or a smaller one, is recorded.
func (f failedDemands) found(now time.Duration, key demandKey, demand model.Resources) bool {
	failed, ok := f[key]
	return ok && (failed.until == 0 || now < failed.until) && failed.demand.FitsIn(demand)
}

// record records the demand in place of any that is not smaller, or has been forgotten.
func (f failedDemands) record(now time.Duration, key demandKey, demand model.Resources, until time.Duration) {
	if !f.found(now, key, demand) {
		f[key] = failedDemand{demand, until}
	}
}

// placementKey groups the steps that may start on the same workers.
func placementKey(s *step) demandKey {
	return demandKey{service: s.job.queue.Service, label: s.def.RequiredLabel}
}

// preemptionKey groups the steps that may preempt the same runs.
func preemptionKey(s *step) demandKey {
	key := placementKey(s)
	key.queue, key.account, key.beyondRate = s.job.sub.Queue, s.job.account, s.job.beyondRate
	return key
}

// sharesFailures reports whether the workers that a step may use follow from its key. They don't if it
// needs tickets, is a gang, has a limit of tasks on one worker, or may use reserved workers.
func (s *step) sharesFailures() bool {
	return s.job.queue.Advice == nil && !s.def.Gang && s.def.MaxPerWorker == 0 && !s.def.LongRunning
}
