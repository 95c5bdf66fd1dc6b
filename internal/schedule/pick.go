package schedule

import (
	"container/heap"
	"time"

	"filbertcross/internal/model"
)

// preemptRetryInterval is the time after which a blocked class that may preempt looks for victims
// again; shares change without any capacity being freed.
const preemptRetryInterval = time.Second

// A job that its class's others overtake, since it failed on the workers with room, is put
// back by rotatePenalty, at most maxRotations times for a class in one Decide.
const (
	rotationDelay        = time.Minute
	maxRotationsPerRound = 4
)

// maxFreedComparisons bounds the comparisons of workers that gained room with blocked classes for
// one placement; above it all blocked classes are tried again.
const maxFreedComparisons = 1 << 12

// orderKey orders classes: the lowest level first; on a level the branch with the smallest
// weighted dominant share, but on levelLate the class with the least slack.
type orderKey struct {
	level      level
	share      float64
	classLevel level // orders the classes of one branch that share binds
	due        time.Time
	seq        int64
}

func (a orderKey) before(b orderKey) bool {
	switch {
	case a.level != b.level:
		return a.level < b.level
	case a.share != b.share:
		return a.share < b.share
	case a.classLevel != b.classLevel:
		return a.classLevel < b.classLevel
	case !a.due.Equal(b.due):
		return a.due.Before(b.due)
	}
	return a.seq < b.seq
}

// orderKey returns the class's place in the order. A branch that holds its share in work of the
// class's tier and above competes no higher than levelNormal with more of it, so that a
// flood of urgent work or of deadlines takes nothing from others; among its own classes
// their levels go on to count.
func (s *Scheduler) orderKey(c *class) orderKey {
	k := orderKey{level: c.level, classLevel: c.level, due: c.due, seq: c.seq}
	k.share = s.weightedShare(c.branch, model.Resources{})
	switch {
	case c.level < levelNormal && s.atOrAboveShareInTiers(c.branch, c.key.tier):
		k.level = levelNormal
	case c.level == levelLate:
		k.share = 0
	}
	return k
}

// pickClass returns the class to serve next, or nil. Every AgeingTurn placements the job that
// waits longest goes first if it is starved.
func (s *Scheduler) pickClass() *class {
	if s.placedSinceAgeing >= s.opts.AgeingInterval {
		s.placedSinceAgeing = 0
		if c := s.longestStarved(); c != nil {
			return c
		}
	}
	c, key := s.pickActive()
	if gained := s.pickForFreedWorkers(c, key); gained != nil {
		s.reactivate(gained)
		gained.reactivatedRound = s.round
		return gained
	}
	return c
}

// pickActive returns the first of the active classes, or nil.
func (s *Scheduler) pickActive() (*class, orderKey) {
	var top *class
	var topKey orderKey
	for l := levelUrgent; l < levelCount; l++ {
		if top != nil && topKey.level < l {
			break
		}
		for _, b := range s.queue.active[l] {
			c := b.activeClasses[l][0]
			if key := s.orderKey(c); top == nil || key.before(topKey) {
				top, topKey = c, key
			}
		}
	}
	return top, topKey
}

// pickForFreedWorkers returns the first of the blocked classes that fits on a worker which gained
// room since the last Decide, if it goes before the given class; else nil.
func (s *Scheduler) pickForFreedWorkers(top *class, topKey orderKey) *class {
	if len(s.freedWorkers) == 0 {
		return nil
	}
	var first *class
	for _, c := range s.queue.blocked {
		if c.blockedByQuota || c.blockedRound == s.round || !s.fitsFreedWorker(c) {
			continue
		}
		if key := s.orderKey(c); top == nil || key.before(topKey) {
			top, topKey, first = c, key, c
		}
	}
	return first
}

// longestStarved returns the active class whose first job waits longest, if that is longer than
// Options.StarvedAfter.
func (s *Scheduler) longestStarved() *class {
	var top *class
	oldest := s.cluster.now.Add(-s.opts.StarvedAfter)
	for l := range s.queue.active {
		for _, b := range s.queue.active[l] {
			c := b.activeClasses[l][0]
			if j := c.head(); j.Submitted.Before(oldest) {
				top, oldest = c, j.Submitted
			}
		}
	}
	return top
}

// blockClass takes the class off its branch's heap after its first job could not be placed.
func (s *Scheduler) blockClass(c *class, j *job) {
	if s.rotateJob(c, j) {
		return
	}
	if c.victimSearchContinues {
		s.queue.moveToList(c, classDeferred, "waits for room that preemption may free")
		return
	}
	s.blockByCapacity(c)
	if s.canEverPreempt(c) {
		s.queue.scheduleRetry(c, s.cluster.now.Add(preemptRetryInterval))
	}
}

// blockByCapacity blocks the class until a worker gains room for one of its tasks.
func (s *Scheduler) blockByCapacity(c *class) {
	c.blockedByQuota = false
	c.blockedRound = s.round
	s.queue.moveToList(c, classBlocked, "no worker has room now")
}

// rotateJob puts a job that is kept from workers on which it failed behind others of its
// class, which may fit there. It does so a few times for a class in one Decide.
func (s *Scheduler) rotateJob(c *class, j *job) bool {
	if len(j.failedOn) == 0 || len(c.jobs) < 2 {
		return false
	}
	if c.rotationRound != s.round {
		c.rotationRound, c.rotations = s.round, 0
	}
	if c.rotations >= maxRotationsPerRound {
		return false
	}
	c.rotations++
	j.due = j.due.Add(rotationDelay)
	heap.Fix(&c.jobs, j.heapPos)
	s.refreshClass(c)
	return true
}

// blockByQuota blocks the class until its branch holds less.
func (s *Scheduler) blockByQuota(c *class) {
	c.blockedByQuota = true
	s.queue.moveToList(c, classBlocked, "the branch's quota is used up")
}

// reactivateClasses makes the classes active again that may fit now.
func (s *Scheduler) reactivateClasses() {
	for len(s.queue.deferred) > 0 {
		s.reactivate(s.queue.deferred[0])
	}
	if s.cluster.changed {
		s.reconsiderParked()
	}
	s.startRound()
	all := s.cluster.changed || len(s.freedWorkers)*len(s.queue.blocked) > maxFreedComparisons
	for pos := 0; pos < len(s.queue.blocked); {
		c := s.queue.blocked[pos]
		if !all && !(c.blockedByQuota && c.branch.usageReduced) {
			pos++
			continue
		}
		s.reactivate(c) // the last of the list is at pos now
	}
	if all {
		s.freedWorkers = s.freedWorkers[:0]
	}
	s.cluster.changed = false
	for _, b := range s.reducedBranches {
		b.usageReduced = false
	}
	s.reducedBranches = s.reducedBranches[:0]
}

// startRound takes over the list of workers that gained room since the last Decide.
func (s *Scheduler) startRound() {
	s.round++
	s.freedWorkers, s.cluster.freedWorkers = s.cluster.freedWorkers, s.freedWorkers[:0]
	for _, w := range s.freedWorkers {
		w.freedListed = false
	}
}

// keepFreedWorkers leaves the list of workers that gained room to the next Decide, since this
// one ended early.
func (s *Scheduler) keepFreedWorkers() {
	for _, w := range s.freedWorkers {
		s.cluster.markFreed(w)
	}
}

// freedCapacityUsed reports whether the class was revived in this round only for workers that
// gained room, and none of them has enough left.
func (s *Scheduler) freedCapacityUsed(c *class) bool {
	return c.reactivatedRound == s.round && !s.fitsFreedWorker(c)
}

// fitsFreedWorker reports whether a worker that gained room has enough of it for a task of the
// class, beside what is held there for others.
func (s *Scheduler) fitsFreedWorker(c *class) bool {
	q := query{class: c, size: s.grantSize(c), level: c.level}
	for _, w := range s.freedWorkers {
		if !q.size.Fits(w.free()) {
			continue
		}
		if len(w.holds) > 0 {
			q.expectedEnd = s.classExpectedEnd(c)
		}
		if w.hasHoldFor(c) || w.fitsBesideHolds(&q) {
			return true
		}
	}
	return false
}

// reactivate makes a class active again.
func (s *Scheduler) reactivate(c *class) {
	c.victimWorkersChecked = 0
	s.activateClass(c)
}

// activateClass queues the class by its first job.
func (s *Scheduler) activateClass(c *class) {
	j := c.head()
	if j == nil {
		s.refreshClass(c)
		return
	}
	to, next := s.levelAt(j)
	s.queue.scheduleTimer(c, next)
	s.queue.activate(c, to, j)
}

// updateParked parks the class if none of its tasks can ever run.
func (s *Scheduler) updateParked(c *class) {
	if c.state == classIdle {
		return
	}
	why := s.neverFitsReason(c)
	switch {
	case why == "" && c.state == classParked:
		s.reactivate(c)
	case why != "" && c.state == classParked:
		c.waitReason = why
	case why != "":
		s.queue.moveToList(c, classParked, why)
	}
}

// reconsiderParked makes parked classes active that can run now.
func (s *Scheduler) reconsiderParked() {
	for pos := 0; pos < len(s.queue.parked); {
		c := s.queue.parked[pos]
		s.updateParked(c)
		if c.state == classParked {
			pos++
		}
	}
}

// runTimers serves the timers that are due.
func (s *Scheduler) runTimers() {
	timers := &s.queue.timers
	for len(*timers) > 0 && !s.cluster.now.Before((*timers)[0].at) {
		t := heap.Pop(timers).(timer)
		switch {
		case t.job != nil:
			s.enqueueJob(t.job)
		case t.worker != nil:
			s.cluster.markFreed(t.worker)
		case t.victimRetry:
			s.runRetryTimer(t.class)
		default:
			s.runClassTimer(t)
		}
	}
}

// runRetryTimer makes a blocked class active again, since victims may have appeared.
func (s *Scheduler) runRetryTimer(c *class) {
	c.retryPending = false
	if c.state == classBlocked && !c.blockedByQuota {
		s.reactivate(c)
	}
}

// runClassTimer looks again at a class: its level may have changed, or its first job may
// be starved now.
func (s *Scheduler) runClassTimer(t timer) {
	c := t.class
	if !t.at.Equal(c.nextTimer) {
		return // an earlier timer was set since
	}
	c.nextTimer = time.Time{}
	switch c.state {
	case classBlocked:
		if c.blockedByQuota {
			s.refreshClass(c)
			return
		}
		s.reactivate(c)
	case classActive, classDeferred:
		s.activateClass(c)
	}
}
