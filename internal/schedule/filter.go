package schedule

import (
	"time"

	"filbertcross/internal/fairshare"
	"filbertcross/internal/model"
)

// filter is a reason to reject a worker.
type filter int

// Filters in the order in which they are applied.
const (
	filterNone filter = iota
	filterLeaving
	filterUnreachable
	filterQuarantined
	filterTooSmall // the worker's capacity is smaller than the task
	filterFull     // the worker's free capacity is smaller than the task
	filterFailed   // the job failed on the worker
	filterSuspect  // tasks fail on the worker; it gets one only after a pause
	filterReserved // the capacity is held for other work
	filterCount
)

// String returns the filter's name in an Explanation.
func (f filter) String() string {
	names := [...]string{"none", "leaving", "unreachable", "quarantined", "too-small",
		"full", "job-failed-here", "suspect", "reserved"}
	return names[f]
}

// query describes the next task of a job for the search for a worker.
type query struct {
	job         *job
	class       *class
	size        model.Resources // size to grant
	expectedEnd time.Time       // if the task starts now
	level       level           // level at which the class competes, after fair sharing; see Scheduler.orderKey
	// respectReservations keeps the task off reserved capacity even of classes that it
	// outranks.
	respectReservations bool
}

// serviceRuntime is the assumed runtime of a service, which does not end by itself.
const serviceRuntime = 100 * 365 * 24 * time.Hour

// newQuery returns the query for the next task of the job.
func (s *Scheduler) newQuery(j *job) *query {
	c := j.class
	return &query{
		job: j, class: c, size: s.grantSize(c), expectedEnd: s.classExpectedEnd(c), level: s.orderKey(c).level,
	}
}

// classExpectedEnd returns when the class's next task is expected to end if it starts now.
func (s *Scheduler) classExpectedEnd(c *class) time.Time {
	j := c.head()
	if j == nil || c.key.kind == model.KindService {
		return s.cluster.now.Add(serviceRuntime)
	}
	return s.cluster.now.Add(c.estimate.runtime(j.Runtime, s.opts))
}

// grantSize returns the size to grant to the class's tasks: the learned size or, if that
// exceeds the declared size and would not fit the quota or the workers, the declared size.
func (s *Scheduler) grantSize(c *class) model.Resources {
	size := c.estimate.grant(c.key.size, s.opts)
	if size.FitsIn(c.key.size) {
		return size
	}
	need := c.atomicTasks()
	if !fairshare.WithinQuota(fairshare.Multiply(size, need), c.branch.Quota) || s.cluster.tasksThatFitEmpty(size, need) < need {
		return c.key.size
	}
	return size
}

// rejectingFilter returns the first filter that rejects the worker, or filterNone.
func (c *cluster) rejectingFilter(w *worker, q *query) filter {
	switch {
	case !w.known || w.Unreachable:
		return filterUnreachable
	case w.Leaving:
		return filterLeaving
	case w.health.quarantined:
		return filterQuarantined
	case !q.size.FitsIn(w.Capacity):
		return filterTooSmall
	case !q.size.FitsIn(w.free()):
		return filterFull
	}
	return c.rejectingSoftFilter(w, q)
}

// rejectingSoftFilter is rejectingFilter for the filters that the capacity index does not
// cover. The job's own failures are ignored once it failed on more than half of the workers.
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

// rejectingPreemptionFilter is rejectingFilter for the filters that apply to a worker on
// which victims are searched.
func (c *cluster) rejectingPreemptionFilter(w *worker, q *query) filter {
	switch {
	case q.job.failedOnWorker(w):
		return filterFailed
	case c.now.Before(w.health.suspectUntil):
		return filterSuspect
	}
	return filterNone
}

// fitsBesideHolds reports whether the task fits without using capacity held on the worker
// for work that it does not outrank.
func (w *worker) fitsBesideHolds(q *query) bool {
	for _, h := range w.holds {
		if h.admits(q) {
			continue
		}
		if !q.size.FitsIn(h.spare) {
			return false
		}
	}
	return true
}

// admits reports whether the task may use the held capacity: the hold is for the task's own
// class, the task outranks it, or the task is expected to end before the hold's tasks start.
func (h *hold) admits(q *query) bool {
	return h.class == q.class ||
		!(q.respectReservations && h.isReservation) && h.ranksBelow(q) ||
		q.expectedEnd.Before(h.expectedStart)
}

// ranksBelow reports whether the task outranks the hold. Within a branch the classes' own
// levels are compared, also when the branch is above its share.
func (h *hold) ranksBelow(q *query) bool {
	if h.class.branch == q.class.branch {
		return q.class.level < h.class.level
	}
	return q.level < h.class.level
}

// HoldsFor returns the holds of the query's class.
func (c *cluster) HoldsFor(q *query) []*hold { return q.class.holds }

// ScanDomain visits the workers of the domain that can take the query's task, starting at an
// index position and wrapping around, until visit returns false or scanBudget is used up.
func (c *cluster) ScanDomain(d *domain, start int, q *query, visit func(*worker) bool) {
	budget := scanBudget
	if !d.scanRange(c, start, len(d.tree.workers), q, &budget, visit) {
		return
	}
	d.scanRange(c, 0, start, q, &budget, visit)
}

// scanRange visits the leaves in [start, end) and reports whether to continue.
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

// neverFitsReason returns why no task of the class can run with the current workers and
// branches, or "" if one can.
func (s *Scheduler) neverFitsReason(c *class) string {
	need := c.atomicTasks()
	switch {
	case !c.branch.configured:
		return "the branch is not in the configuration in force"
	case !fairshare.WithinQuota(fairshare.Multiply(c.key.size, need), c.branch.Quota):
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
