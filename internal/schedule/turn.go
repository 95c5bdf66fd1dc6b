package schedule

import (
	"container/heap"
	"time"

	"filbertcross/internal/model"
)

// preemptRetry is the time after which a blocked class that may preempt looks for victims
// again; shares change without any capacity being freed.
const preemptRetry = time.Second

// A job that its class's others overtake, since it failed on the workers with room, is put
// back by rotatePenalty, at most maxRotations times for a class in one Decide.
const (
	rotatePenalty = time.Minute
	maxRotations  = 4
)

// gainedPairs bounds the comparisons of workers that gained room with blocked classes for
// one placement; above it all blocked classes are tried again.
const gainedPairs = 1 << 12

// turnKey orders classes: the lowest level first; on a level the branch with the smallest
// weighted dominant share, but on levelLate the class with the least slack.
type turnKey struct {
	level level
	share float64
	own   level // orders the classes of one branch that share binds
	due   time.Time
	seq   int64
}

func (a turnKey) before(b turnKey) bool {
	switch {
	case a.level != b.level:
		return a.level < b.level
	case a.share != b.share:
		return a.share < b.share
	case a.own != b.own:
		return a.own < b.own
	case !a.due.Equal(b.due):
		return a.due.Before(b.due)
	}
	return a.seq < b.seq
}

// key returns the class's place in the order. A branch that holds its share in work of the
// class's tier and above competes no higher than levelNormal with more of it, so that a
// flood of urgent work or of deadlines takes nothing from others; among its own classes
// their levels go on to count.
func (s *Scheduler) key(c *class) turnKey {
	k := turnKey{level: c.level, own: c.level, due: c.due, seq: c.seq}
	k.share = s.weighted(c.branch, model.Resources{})
	switch {
	case c.level < levelNormal && s.aboveIn(c.branch, c.key.tier):
		k.level = levelNormal
	case c.level == levelLate:
		k.share = 0
	}
	return k
}

// pick returns the class to serve next, or nil. Every AgeingTurn placements the job that
// waits longest goes first if it is starved.
func (s *Scheduler) pick() *class {
	if s.turn >= s.opts.AgeingInterval {
		s.turn = 0
		if c := s.starved(); c != nil {
			return c
		}
	}
	c, key := s.pickActive()
	if gained := s.pickGained(c, key); gained != nil {
		s.revive(gained)
		gained.revived = s.round
		return gained
	}
	return c
}

// pickActive returns the first of the active classes, or nil.
func (s *Scheduler) pickActive() (*class, turnKey) {
	var top *class
	var topKey turnKey
	for l := levelUrgent; l < levelCount; l++ {
		if top != nil && topKey.level < l {
			break
		}
		for _, b := range s.queue.active[l] {
			c := b.queues[l][0]
			if key := s.key(c); top == nil || key.before(topKey) {
				top, topKey = c, key
			}
		}
	}
	return top, topKey
}

// pickGained returns the first of the blocked classes that fits on a worker which gained
// room since the last Decide, if it goes before the given class; else nil.
func (s *Scheduler) pickGained(top *class, topKey turnKey) *class {
	if len(s.gained) == 0 {
		return nil
	}
	var first *class
	for _, c := range s.queue.blocked {
		if c.quota || c.tried == s.round || !s.fitsGained(c) {
			continue
		}
		if key := s.key(c); top == nil || key.before(topKey) {
			top, topKey, first = c, key, c
		}
	}
	return first
}

// starved returns the active class whose first job waits longest, if that is longer than
// Options.StarvedAfter.
func (s *Scheduler) starved() *class {
	var top *class
	oldest := s.cluster.now.Add(-s.opts.StarvedAfter)
	for l := range s.queue.active {
		for _, b := range s.queue.active[l] {
			c := b.queues[l][0]
			if j := c.head(); j.Submitted.Before(oldest) {
				top, oldest = c, j.Submitted
			}
		}
	}
	return top
}

// block takes the class off its branch's heap after its first job could not be placed.
func (s *Scheduler) block(c *class, j *job) {
	if s.rotate(c, j) {
		return
	}
	if c.scanning {
		s.queue.shelve(c, classDeferred, "waits for room that preemption may free")
		return
	}
	s.blockFull(c)
	if s.mayGain(c) {
		s.queue.setRetry(c, s.cluster.now.Add(preemptRetry))
	}
}

// blockFull blocks the class until a worker gains room for one of its tasks.
func (s *Scheduler) blockFull(c *class) {
	c.quota = false
	c.tried = s.round
	s.queue.shelve(c, classBlocked, "no worker has room now")
}

// rotate puts a job that is kept from workers on which it failed behind others of its
// class, which may fit there. It does so a few times for a class in one Decide.
func (s *Scheduler) rotate(c *class, j *job) bool {
	if len(j.failedOn) == 0 || len(c.jobs) < 2 {
		return false
	}
	if c.rotated != s.round {
		c.rotated, c.rotations = s.round, 0
	}
	if c.rotations >= maxRotations {
		return false
	}
	c.rotations++
	j.due = j.due.Add(rotatePenalty)
	heap.Fix(&c.jobs, j.heapPos)
	s.settle(c)
	return true
}

// blockByQuota blocks the class until its branch holds less.
func (s *Scheduler) blockByQuota(c *class) {
	c.quota = true
	s.queue.shelve(c, classBlocked, "the branch's quota is used up")
}

// unblock makes the classes active again that may fit now.
func (s *Scheduler) unblock() {
	for len(s.queue.deferred) > 0 {
		s.revive(s.queue.deferred[0])
	}
	if s.cluster.changed {
		s.reconsiderParked()
	}
	s.startRound()
	all := s.cluster.changed || len(s.gained)*len(s.queue.blocked) > gainedPairs
	for pos := 0; pos < len(s.queue.blocked); {
		c := s.queue.blocked[pos]
		if !all && !(c.quota && c.branch.released) {
			pos++
			continue
		}
		s.revive(c) // the last of the list is at pos now
	}
	if all {
		s.gained = s.gained[:0]
	}
	s.cluster.changed = false
	for _, b := range s.released {
		b.released = false
	}
	s.released = s.released[:0]
}

// startRound takes over the list of workers that gained room since the last Decide.
func (s *Scheduler) startRound() {
	s.round++
	s.gained, s.cluster.freed = s.cluster.freed, s.gained[:0]
	for _, w := range s.gained {
		w.freed = false
	}
}

// keepGained leaves the list of workers that gained room to the next Decide, since this
// one ended early.
func (s *Scheduler) keepGained() {
	for _, w := range s.gained {
		s.cluster.noteFreed(w)
	}
}

// stillFull reports whether the class was revived in this round only for workers that
// gained room, and none of them has enough left.
func (s *Scheduler) stillFull(c *class) bool {
	return c.revived == s.round && !s.fitsGained(c)
}

// fitsGained reports whether a worker that gained room has enough of it for a task of the
// class, beside what is held there for others.
func (s *Scheduler) fitsGained(c *class) bool {
	q := query{class: c, size: s.grantSize(c), level: c.level}
	for _, w := range s.gained {
		if !q.size.Fits(w.free()) {
			continue
		}
		if len(w.holds) > 0 {
			q.ends = s.classEnds(c)
		}
		if w.holdsFor(c) || w.roomBeside(&q) {
			return true
		}
	}
	return false
}

// revive makes a class active again.
func (s *Scheduler) revive(c *class) {
	c.scanned = 0
	s.activate(c)
}

// activate queues the class by its first job.
func (s *Scheduler) activate(c *class) {
	j := c.head()
	if j == nil {
		s.settle(c)
		return
	}
	to, next := s.levelAt(j)
	s.queue.setTimer(c, next)
	s.queue.activate(c, to, j)
}

// parkUnfit parks the class if none of its tasks can ever run.
func (s *Scheduler) parkUnfit(c *class) {
	if c.state == classIdle {
		return
	}
	why := s.neverFits(c)
	switch {
	case why == "" && c.state == classParked:
		s.revive(c)
	case why != "" && c.state == classParked:
		c.why = why
	case why != "":
		s.queue.shelve(c, classParked, why)
	}
}

// reconsiderParked makes parked classes active that can run now.
func (s *Scheduler) reconsiderParked() {
	for pos := 0; pos < len(s.queue.parked); {
		c := s.queue.parked[pos]
		s.parkUnfit(c)
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
			s.enqueue(t.job)
		case t.worker != nil:
			s.cluster.noteFreed(t.worker)
		case t.retry:
			s.runRetry(t.class)
		default:
			s.runClassTimer(t)
		}
	}
}

// runRetry makes a blocked class active again, since victims may have appeared.
func (s *Scheduler) runRetry(c *class) {
	c.retry = false
	if c.state == classBlocked && !c.quota {
		s.revive(c)
	}
}

// runClassTimer looks again at a class: its level may have changed, or its first job may
// be starved now.
func (s *Scheduler) runClassTimer(t timer) {
	c := t.class
	if !t.at.Equal(c.timer) {
		return // an earlier timer was set since
	}
	c.timer = time.Time{}
	switch c.state {
	case classBlocked:
		if c.quota {
			s.settle(c)
			return
		}
		s.revive(c)
	case classActive, classDeferred:
		s.activate(c)
	}
}
