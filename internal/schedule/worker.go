package schedule

import (
	"time"

	"filbertcross/internal/model"
)

// rackKey names a rack; racks of different failure domains may share a name.
type rackKey struct {
	domain model.FailureDomain
	rack   string
}

// domain is a failure domain with the index of its workers' free capacity.
type domain struct {
	name model.FailureDomain
	tree capacityTree
	free model.Resources // sum over the workers that take tasks
}

// worker is a worker with what is granted on it.
// Invariant: granted is the sum of its runs' sizes, and no placement makes it exceed Capacity.
type worker struct {
	Worker
	known         bool // false: only seen in an adopted placement
	domain        *domain
	leaf          int // in domain.tree
	ringPos       int
	granted       model.Resources
	countedFree   model.Resources // free amount included in the sums of domain and cluster
	used          model.Resources // sum of the runs' last reports
	runs          []*run
	holds         []*hold
	freedListed   bool // already listed in cluster.freed
	leavingListed bool // listed as leaving; drain: its runs are to move
	moveRuns      bool
	removed       bool // forgotten with its last run
	health        health
}

// free returns what is not granted; negative after the capacity shrank.
func (w *worker) free() model.Resources { return w.Capacity.Sub(w.granted) }

// schedulable reports whether the worker takes new tasks other than probes.
func (w *worker) schedulable() bool {
	return w.known && !w.Leaving && !w.Unreachable && !w.health.quarantined
}

// rackKey names the worker's rack.
func (w *worker) rackKey() rackKey { return rackKey{w.FailureDomain, w.Rack} }

// hold keeps room on a worker for the next tasks of a class: capacity that preemption
// frees, or a reservation for a time at which running tasks are expected to have ended.
type hold struct {
	class         *class
	worker        *worker
	size          model.Resources // sum for all tasks
	tasks         int
	expectedStart time.Time       // when the tasks are expected to start
	spare         model.Resources // expected to be free beside size at from
	expires       time.Time
	// reserved tells a reservation from room that preemption makes.
	isReservation bool
}
