package schedule

import (
	"sort"
	"time"

	"filbertcross/internal/model"
)

// ClusterView is the cluster state that placement policies may read.
type ClusterView interface {
	// Now returns the time passed to the current call.
	Now() time.Time
	// Domains returns the failure domains sorted by name.
	Domains() []*domain
	// ScanDomain visits the workers of the domain that can take the query's task, starting
	// at an index position and wrapping around, until visit returns false.
	ScanDomain(d *domain, start int, q *query, visit func(*worker) bool)
	// HoldsFor returns the holds of the query's class.
	HoldsFor(q *query) []*hold
}

// Allocator grants capacity to the tasks that placement policies place.
type Allocator interface {
	// Assume grants size on the worker to a waiting task of the job.
	Assume(j *job, w *worker, size model.Resources) *run
	// UndoAssume reverts an Assume of the same Decide call.
	UndoAssume(r *run)
}

// cluster holds the workers, the runs granted on them and the index of free capacity.
type cluster struct {
	now          time.Time
	workers      map[model.WorkerID]*worker
	ring         []*worker // all workers; searches for victims and reservations continue at ringCursor
	ringCursor   int
	domains      []*domain
	total        model.Resources // capacity of known workers
	free         model.Resources // on workers that accept new tasks
	runs         map[model.TaskID]*run
	orphans      map[model.JobID][]*run // adopted before their job was submitted
	freedWorkers []*worker              // workers with capacity freed since the last Decide
	changed      bool                   // workers or branches changed since the last Decide
}

func newCluster() cluster {
	return cluster{
		workers: map[model.WorkerID]*worker{},
		runs:    map[model.TaskID]*run{},
		orphans: map[model.JobID][]*run{},
	}
}

// Now returns the time passed to the current call.
func (c *cluster) Now() time.Time { return c.now }

// Domains returns the failure domains sorted by name.
func (c *cluster) Domains() []*domain { return c.domains }

// domain returns the failure domain, creating it if needed.
func (c *cluster) domain(name model.FailureDomain) *domain {
	pos := sort.Search(len(c.domains), func(i int) bool { return c.domains[i].name >= name })
	if pos < len(c.domains) && c.domains[pos].name == name {
		return c.domains[pos]
	}
	d := &domain{name: name}
	c.domains = append(c.domains, nil)
	copy(c.domains[pos+1:], c.domains[pos:])
	c.domains[pos] = d
	return d
}

// worker returns the worker, creating it if needed. A created worker accepts no task until
// upsert describes it.
func (c *cluster) worker(id model.WorkerID) *worker {
	if w := c.workers[id]; w != nil {
		return w
	}
	w := &worker{Worker: Worker{ID: id}, ringPos: len(c.ring)}
	c.workers[id] = w
	c.ring = append(c.ring, w)
	c.addToIndex(w)
	return w
}

// addToIndex adds the worker to its domain's index.
func (c *cluster) addToIndex(w *worker) {
	w.domain = c.domain(w.FailureDomain)
	w.leaf = w.domain.tree.add(w)
	c.updateIndex(w)
}

// removeFromIndex removes the worker from its domain's index and from the totals.
func (c *cluster) removeFromIndex(w *worker) {
	c.setCountedFree(w, model.Resources{})
	w.domain.tree.remove(w.leaf)
}

// upsert adds a worker or updates its state.
func (c *cluster) upsert(id model.WorkerID, next Worker) *worker {
	w := c.worker(id)
	if w.known && !w.removed && w.Worker == next {
		return w
	}
	c.total = c.total.Sub(w.Capacity).Add(next.Capacity)
	moved := w.FailureDomain != next.FailureDomain
	if moved {
		c.removeFromIndex(w)
	}
	w.Worker = next
	w.known, w.removed = true, false
	if moved {
		c.addToIndex(w)
	}
	c.updateIndex(w)
	c.changed = true
	return w
}

// remove removes a worker without runs.
func (c *cluster) remove(w *worker) {
	c.removeFromIndex(w)
	c.total = c.total.Sub(w.Capacity)
	last := c.ring[len(c.ring)-1]
	c.ring[w.ringPos] = last
	last.ringPos = w.ringPos
	c.ring = c.ring[:len(c.ring)-1]
	delete(c.workers, w.ID)
	c.changed = true
}

// updateIndex updates the index and the totals with the worker's free capacity.
func (c *cluster) updateIndex(w *worker) {
	if !w.schedulable() {
		w.domain.tree.set(w.leaf, unavailable)
		c.setCountedFree(w, model.Resources{})
		return
	}
	free := w.free()
	w.domain.tree.set(w.leaf, free)
	c.setCountedFree(w, free)
}

// setCountedFree replaces the worker's contribution to the totals of free capacity.
func (c *cluster) setCountedFree(w *worker, free model.Resources) {
	c.free = c.free.Sub(w.countedFree).Add(free)
	w.domain.free = w.domain.free.Sub(w.countedFree).Add(free)
	w.countedFree = free
}

// grant records that the run holds capacity on its worker.
func (c *cluster) grant(r *run) {
	w := r.worker
	c.runs[r.id] = r
	w.granted = w.granted.Add(r.size)
	r.workerPos = len(w.runs)
	w.runs = append(w.runs, r)
	c.updateIndex(w)
}

// revoke frees the capacity that the run holds on its worker.
func (c *cluster) revoke(r *run) {
	w := r.worker
	delete(c.runs, r.id)
	w.granted = w.granted.Sub(r.size)
	w.used = w.used.Sub(r.used)
	last := w.runs[len(w.runs)-1]
	w.runs[r.workerPos] = last
	last.workerPos = r.workerPos
	w.runs[len(w.runs)-1] = nil
	w.runs = w.runs[:len(w.runs)-1]
	c.updateIndex(w)
	c.markFreed(w)
}

// markFreed records that a blocked class may now fit on the worker.
func (c *cluster) markFreed(w *worker) {
	if !w.freedListed {
		w.freedListed = true
		c.freedWorkers = append(c.freedWorkers, w)
	}
}

// tasksThatFit returns how many tasks of the size fit into free, at most maxTasks.
func tasksThatFit(free, size model.Resources) int {
	n := int64(maxTasks)
	limit := func(have, need int64) {
		if need > 0 {
			n = min(n, max(have, 0)/need)
		}
	}
	limit(free.MilliCPU, size.MilliCPU)
	limit(free.MemoryMiB, size.MemoryMiB)
	limit(free.Accelerators, size.Accelerators)
	return int(n)
}

// tasksThatFitEmpty returns how many tasks of the size all known workers could hold if they
// were empty. It stops counting once it reaches enough.
func (c *cluster) tasksThatFitEmpty(size model.Resources, enough int) int {
	n := 0
	for _, w := range c.ring {
		if w.known {
			n += tasksThatFit(w.Capacity, size)
		}
		if n >= enough {
			break
		}
	}
	return n
}
