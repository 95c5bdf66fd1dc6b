package schedule

import (
	"container/heap"
	"time"

	"filbertcross/internal/model"
)

// preemptRetryInterval is how long a blocked class that may preempt waits before it searches
// for victims again. Shares can change without any capacity being freed.
const preemptRetryInterval = time.Second

// The first job of a class may be excluded from workers on which it failed while other jobs of
// the class fit there. rotateJob then moves it back by rotationDelay, at most
// maxRotationsPerRound times for a class in one Decide.
const (
	rotationDelay        = time.Minute
	maxRotationsPerRound = 4
)

// maxFreedComparisons limits how many pairs of a worker with freed capacity and a blocked class
// are compared for one placement. Above it all blocked classes are reactivated instead.
const maxFreedComparisons = 1 << 12

// orderKey is the sort key of classes: by level, then by the branch's weighted dominant share,
// smallest first. At levelLate the class with the least slack comes first instead.
type orderKey struct {
	level      level
	share      float64
	classLevel level // orders the classes of one branch whose level is capped by its share
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

// orderKey returns the class's sort key. A branch that already holds its share with work of
// the class's tier and more urgent tiers competes no higher than levelNormal with more of it,
// so that a flood of urgent work or deadlines takes nothing from other branches. Among the
// branch's own classes their levels still count.
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

// pickClass returns the class to serve next, or nil. After every Options.AgeingInterval
// placements it returns the class of the longest waiting job if that job is starved.
func (s *Scheduler) pickClass() *class {
	if s.placedSinceAgeing >= s.opts.AgeingInterval {
		s.placedSinceAgeing = 0
		if c := s.longestStarved(); c != nil {
			return c
		}
	}
	c, key := s.pickActive()
	if blocked := s.pickForFreedWorkers(c, key); blocked != nil {
		s.reactivate(blocked)
		blocked.reactivatedRound = s.round
		return blocked
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

// pickForFreedWorkers returns the first blocked class that fits on a worker with freed
// capacity, if it precedes the given class; otherwise nil.
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

// longestStarved returns the active class whose first job has waited longest, or nil if none
// has waited longer than Options.StarvedAfter.
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

// blockClass blocks or defers the class after its first job could not be placed, unless
// another of its jobs can be tried first.
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

// blockByCapacity blocks the class until capacity for one of its tasks is freed.
func (s *Scheduler) blockByCapacity(c *class) {
	c.blockedByQuota = false
	c.blockedRound = s.round
	s.queue.moveToList(c, classBlocked, "no worker has room now")
}

// rotateJob moves a job that is excluded from the workers on which it failed behind others of
// its class, which may fit there. It reports whether it did, at most maxRotationsPerRound
// times for a class in one Decide.
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

// blockByQuota blocks the class until its branch's usage decreases.
func (s *Scheduler) blockByQuota(c *class) {
	c.blockedByQuota = true
	s.queue.moveToList(c, classBlocked, "the branch's quota is used up")
}

// reactivateClasses reactivates the deferred classes, and the parked and blocked classes that
// may fit now.
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
		s.reactivate(c) // moves the last class of the list to pos
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

// startRound starts a Decide round with the workers whose capacity was freed since the last
// one.
func (s *Scheduler) startRound() {
	s.round++
	s.freedWorkers, s.cluster.freedWorkers = s.cluster.freedWorkers, s.freedWorkers[:0]
	for _, w := range s.freedWorkers {
		w.freedListed = false
	}
}

// keepFreedWorkers carries the workers with freed capacity over to the next Decide, because
// this one ended early.
func (s *Scheduler) keepFreedWorkers() {
	for _, w := range s.freedWorkers {
		s.cluster.markFreed(w)
	}
}

// freedCapacityUsed reports whether the class was reactivated in this round because of freed
// capacity and no longer fits on any of those workers.
func (s *Scheduler) freedCapacityUsed(c *class) bool {
	return c.reactivatedRound == s.round && !s.fitsFreedWorker(c)
}

// fitsFreedWorker reports whether a task of the class fits on a worker with freed capacity,
// beside the holds of other classes.
func (s *Scheduler) fitsFreedWorker(c *class) bool {
	q := query{class: c, size: s.grantSize(c), level: c.level}
	for _, w := range s.freedWorkers {
		if !q.size.FitsIn(w.free()) {
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

// reactivate makes the class active and restarts its search for victims.
func (s *Scheduler) reactivate(c *class) {
	c.victimWorkersChecked = 0
	s.activateClass(c)
}

// activateClass makes the class active at the level of its first job.
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

// updateParked parks the class if none of its tasks can ever run, and reactivates a parked
// class otherwise.
func (s *Scheduler) updateParked(c *class) {
	if c.state == classIdle {
		return
	}
	reason := s.neverFitsReason(c)
	switch {
	case reason == "" && c.state == classParked:
		s.reactivate(c)
	case reason != "" && c.state == classParked:
		c.waitReason = reason
	case reason != "":
		s.queue.moveToList(c, classParked, reason)
	}
}

// reconsiderParked reactivates the parked classes that can run now.
func (s *Scheduler) reconsiderParked() {
	for pos := 0; pos < len(s.queue.parked); {
		c := s.queue.parked[pos]
		s.updateParked(c)
		if c.state == classParked {
			pos++
		}
	}
}

// runTimers runs the timers that are due.
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

// runRetryTimer reactivates a blocked class, since new victims may exist.
func (s *Scheduler) runRetryTimer(c *class) {
	c.retryPending = false
	if c.state == classBlocked && !c.blockedByQuota {
		s.reactivate(c)
	}
}

// runClassTimer updates a class whose level may have changed or whose first job may be starved.
func (s *Scheduler) runClassTimer(t timer) {
	c := t.class
	if !t.at.Equal(c.nextTimer) {
		return // replaced by an earlier timer
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
