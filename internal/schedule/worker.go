package schedule

import (
	"time"

	"filbertcross/internal/model"
)

// rackKey identifies a rack; racks of different failure domains may share a name.
type rackKey struct {
	domain model.FailureDomain
	rack   string
}

// domain is a failure domain with the index of its workers' free capacity.
type domain struct {
	name model.FailureDomain
	tree capacityTree
	free model.Resources // total of the workers that accept tasks
}

// worker is a worker with the runs and holds on it. granted is always the total size of its
// runs, and no placement makes it exceed Capacity.
type worker struct {
	Worker
	known         bool // false: only known from an adopted placement
	domain        *domain
	leaf          int // position in domain.tree
	ringPos       int
	granted       model.Resources
	countedFree   model.Resources // free capacity included in the totals of domain and cluster
	used          model.Resources // total of the runs' last usage reports
	runs          []*run
	holds         []*hold
	freedListed   bool // listed in cluster.freedWorkers
	leavingListed bool // listed in Scheduler.newlyLeaving
	moveRuns      bool // restartable runs are to be moved
	removed       bool // deleted with its last run
	health        health
}

// free returns the capacity that is not granted. It is negative if the capacity shrank below
// the grants.
func (w *worker) free() model.Resources { return w.Capacity.Sub(w.granted) }

// schedulable reports whether the worker accepts new tasks other than probes.
func (w *worker) schedulable() bool {
	return w.known && !w.Leaving && !w.Unreachable && !w.health.quarantined
}

// rackKey returns the key of the worker's rack.
func (w *worker) rackKey() rackKey { return rackKey{w.FailureDomain, w.Rack} }

// hold keeps capacity on a worker for the next tasks of a class: either capacity that
// preemption frees, or a reservation from the time at which running tasks are expected to
// have ended.
type hold struct {
	class         *class
	worker        *worker
	size          model.Resources // total for all tasks
	tasks         int
	expectedStart time.Time       // when the tasks are expected to start
	spare         model.Resources // expected to be free beside size at expectedStart
	expires       time.Time
	// isReservation distinguishes a reservation from capacity that preemption frees.
	isReservation bool
}
