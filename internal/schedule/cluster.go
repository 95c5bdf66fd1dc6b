package schedule

import (
	"sort"
	"time"

	"filbertcross/internal/model"
)

// ClusterView is what the stages of a decision may read.
type ClusterView interface {
	// Now is the time of the call that is being served.
	Now() time.Time
	// Domains lists the failure domains in order of name.
	Domains() []*domain
	// ScanDomain visits workers of the domain with room for the query, from a position of the
	// index on and wrapping, until visit returns false.
	ScanDomain(d *domain, start int, q *query, visit func(*worker) bool)
	// HoldsFor lists the holds of the query's class.
	HoldsFor(q *query) []*hold
}

// Allocator is what the stages of a decision may submit to.
type Allocator interface {
	// Assume takes a waiting task of the job and grants it the size on the worker.
	Assume(j *job, w *worker, size model.Resources) *run
	// UndoAssume takes an assumed run back in the same decision.
	UndoAssume(r *run)
}

// cluster holds the workers, what is granted on them and the index of what is free.
type cluster struct {
	now          time.Time
	workers      map[model.WorkerID]*worker
	ring         []*worker // all workers; searches for victims go round it
	ringCursor   int
	domains      []*domain
	total        model.Resources // capacity of known workers
	free         model.Resources // of the workers that take tasks
	runs         map[model.TaskID]*run
	orphans      map[model.JobID][]*run // adopted before their job was submitted
	freedWorkers []*worker              // gained room since the last Decide
	changed      bool                   // workers or branches changed since the last Decide
}

func newCluster() cluster {
	return cluster{
		workers: map[model.WorkerID]*worker{},
		runs:    map[model.TaskID]*run{},
		orphans: map[model.JobID][]*run{},
	}
}

// Now returns the time of the call that is being served.
func (c *cluster) Now() time.Time { return c.now }

// Domains lists the failure domains in order of name.
func (c *cluster) Domains() []*domain { return c.domains }

// domain finds or adds a failure domain.
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

// worker finds or adds a worker; a new one is unknown and takes nothing.
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

// addToIndex puts the worker into its domain's index.
func (c *cluster) addToIndex(w *worker) {
	w.domain = c.domain(w.FailureDomain)
	w.leaf = w.domain.tree.add(w)
	c.updateIndex(w)
}

// removeFromIndex takes the worker out of its domain's index and of the sums.
func (c *cluster) removeFromIndex(w *worker) {
	c.setCountedFree(w, model.Resources{})
	w.domain.tree.remove(w.leaf)
}

// upsert changes what is known of a worker.
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

// remove forgets a worker.
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

// updateIndex brings the index and the sums up to date with the worker's free capacity.
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

// setCountedFree replaces the worker's part in the sums of free capacity.
func (c *cluster) setCountedFree(w *worker, free model.Resources) {
	c.free = c.free.Sub(w.countedFree).Add(free)
	w.domain.free = w.domain.free.Sub(w.countedFree).Add(free)
	w.countedFree = free
}

// grant makes a run hold capacity on its worker.
func (c *cluster) grant(r *run) {
	w := r.worker
	c.runs[r.id] = r
	w.granted = w.granted.Add(r.size)
	r.workerPos = len(w.runs)
	w.runs = append(w.runs, r)
	c.updateIndex(w)
}

// revoke frees what a run holds.
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

// markFreed lists a worker on which a blocked class may fit now.
func (c *cluster) markFreed(w *worker) {
	if !w.freedListed {
		w.freedListed = true
		c.freedWorkers = append(c.freedWorkers, w)
	}
}

// tasksThatFit returns how many tasks of the size fit into room.
func tasksThatFit(room, size model.Resources) int {
	n := int64(maxTasks)
	limit := func(have, need int64) {
		if need > 0 {
			n = min(n, max(have, 0)/need)
		}
	}
	limit(room.MilliCPU, size.MilliCPU)
	limit(room.MemoryMiB, size.MemoryMiB)
	limit(room.Accelerators, size.Accelerators)
	return int(n)
}

// tasksThatFitEmpty returns how many tasks of the size all known workers could hold if they were
// empty, counting no further than enough.
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
