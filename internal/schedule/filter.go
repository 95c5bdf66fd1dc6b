package schedule

import (
	"time"

	"filbertcross/internal/model"
)

// filter is a reason to turn a worker down.
type filter int

// The filters, in the order in which they are asked.
const (
	filterNone filter = iota
	filterLeaving
	filterUnreachable
	filterQuarantined
	filterTooSmall // its capacity is smaller than the task
	filterFull     // its free capacity is smaller than the task
	filterFailed   // the job failed there
	filterSuspect  // it fails tasks and is given one after a pause only
	filterReserved // the room is held for other work
	filterCount
)

// String names the filter for operators.
func (f filter) String() string {
	names := [...]string{"none", "leaving", "unreachable", "quarantined", "too-small",
		"full", "job-failed-here", "suspect", "reserved"}
	return names[f]
}

// query is what a task asks of a worker.
type query struct {
	job         *job
	class       *class
	size        model.Resources // to be granted
	expectedEnd time.Time       // expected
	level       level           // at which the class competes now
	// polite keeps the task out of reserved room also where it goes before that.
	respectReservations bool
}

// serviceRuntime is the expected end of a service.
const serviceRuntime = 100 * 365 * 24 * time.Hour

// newQuery describes the next task of the job.
func (s *Scheduler) newQuery(j *job) *query {
	c := j.class
	return &query{
		job: j, class: c, size: s.grantSize(c), expectedEnd: s.classExpectedEnd(c), level: s.orderKey(c).level,
	}
}

// classExpectedEnd returns when a task of the class is expected to end if it starts now.
func (s *Scheduler) classExpectedEnd(c *class) time.Time {
	j := c.head()
	if j == nil || c.key.kind == model.KindService {
		return s.cluster.now.Add(serviceRuntime)
	}
	return s.cluster.now.Add(c.estimate.runtime(j.Runtime, s.opts))
}

// grantSize returns the size to grant to the class's tasks: what was learned, unless that
// is larger than any worker or than the quota.
func (s *Scheduler) grantSize(c *class) model.Resources {
	size := c.estimate.grant(c.key.size, s.opts)
	if size.Fits(c.key.size) {
		return size
	}
	need := c.atomicTasks()
	if !underQuota(multiply(size, need), c.branch.Quota) || s.cluster.tasksThatFitEmpty(size, need) < need {
		return c.key.size
	}
	return size
}

// rejectingFilter returns the filter that turns the worker down, or filterNone.
func (c *cluster) rejectingFilter(w *worker, q *query) filter {
	switch {
	case !w.known || w.Unreachable:
		return filterUnreachable
	case w.Leaving:
		return filterLeaving
	case w.health.quarantined:
		return filterQuarantined
	case !q.size.Fits(w.Capacity):
		return filterTooSmall
	case !q.size.Fits(w.free()):
		return filterFull
	}
	return c.rejectingSoftFilter(w, q)
}

// rejectingSoftFilter asks the filters that free capacity says nothing of.
func (c *cluster) rejectingSoftFilter(w *worker, q *query) filter {
	switch {
	case q.job.failedOnWorker(w) && len(q.job.failedOn)*2 <= len(c.ring):
		return filterFailed
	case c.now.Before(w.health.suspectUntil):
		return filterSuspect
	case !w.fitsBesideHolds(q):
		return filterReserved
	}
	return filterNone
}

// rejectingPreemptionFilter asks the filters that matter for a worker on which room is to be made.
func (c *cluster) rejectingPreemptionFilter(w *worker, q *query) filter {
	switch {
	case q.job.failedOnWorker(w):
		return filterFailed
	case c.now.Before(w.health.suspectUntil):
		return filterSuspect
	}
	return filterNone
}

// fitsBesideHolds reports whether the task would leave alone what is held on the worker for
// work that it does not outrank.
func (w *worker) fitsBesideHolds(q *query) bool {
	for _, h := range w.holds {
		if h.admits(q) {
			continue
		}
		if !q.size.Fits(h.spare) {
			return false
		}
	}
	return true
}

// admits reports whether the hold does not stand in the way of the task: it is its own,
// the task goes before it, or is expected to end before it is needed.
func (h *hold) admits(q *query) bool {
	return h.class == q.class || !(q.respectReservations && h.isReservation) && h.ranksBelow(q) || q.expectedEnd.Before(h.expectedStart)
}

// ranksBelow reports whether the task goes before the hold's. In a branch the levels count also
// above its share.
func (h *hold) ranksBelow(q *query) bool {
	if h.class.branch == q.class.branch {
		return q.class.level < h.class.level
	}
	return q.level < h.class.level
}

// HoldsFor lists the holds of the query's class.
func (c *cluster) HoldsFor(q *query) []*hold { return q.class.holds }

// ScanDomain visits workers of the domain with room for the query, from a position of the index
// on and wrapping, until visit returns false. It spends a bounded number of steps.
func (c *cluster) ScanDomain(d *domain, start int, q *query, visit func(*worker) bool) {
	budget := scanBudget
	if !d.scanRange(c, start, len(d.tree.workers), q, &budget, visit) {
		return
	}
	d.scanRange(c, 0, start, q, &budget, visit)
}

// scanRange visits the leaves from start to end and reports whether to go on.
func (d *domain) scanRange(c *cluster, start, end int, q *query, budget *int, visit func(*worker) bool) bool {
	for pos := start; pos < end; pos++ {
		pos = d.tree.next(pos, q.size, budget)
		if pos < 0 || pos >= end {
			return true
		}
		w := d.tree.workers[pos]
		if c.rejectingSoftFilter(w, q) == filterNone && !visit(w) {
			return false
		}
	}
	return true
}

// neverFitsReason says why no task of the class can ever run; empty: it can.
func (s *Scheduler) neverFitsReason(c *class) string {
	need := c.atomicTasks()
	switch {
	case !c.branch.configured:
		return "the branch is not in the configuration in force"
	case !underQuota(multiply(c.key.size, need), c.branch.Quota):
		return "the branch's quota is smaller than " + describeAtomicTasks(need)
	case s.cluster.tasksThatFitEmpty(c.key.size, need) < need:
		return "the workers are too small for " + describeAtomicTasks(need)
	}
	return ""
}

func describeAtomicTasks(tasks int) string {
	if tasks == 1 {
		return "one task"
	}
	return "the gang"
}
