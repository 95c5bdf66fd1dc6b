package schedule

import (
	"container/heap"
	"time"

	"filbertcross/internal/model"
)

// preemptRetry is the time after which a blocked class that may preempt looks for victims
// again; shares change without any capacity being freed.
const preemptRetry = time.Second

// freedPairs bounds the comparisons of freed workers with blocked classes in one Decide;
// above it all blocked classes are tried again.
const freedPairs = 1 << 14

// pick returns the class to serve next, or nil: the lowest level first; on a level the
// branch with the smallest weighted dominant share, but on levelLate the class with the
// least slack. A branch above its share goes back to its tier with late work, so that a
// flood of deadlines takes nothing from others. Every AgeingTurn placements the job that
// waits longest goes first if it is starved.
func (s *Scheduler) pick() *class {
	if s.turn >= s.opts.AgeingTurn {
		s.turn = 0
		if c := s.starved(); c != nil {
			return c
		}
	}
	for l := levelUrgent; l < levelCount; l++ {
		if c := s.pickOn(l); c != nil {
			return c
		}
	}
	return nil
}

// pickOn returns the class to serve on one level, or nil.
func (s *Scheduler) pickOn(l level) *class {
	var top *class
	topShare := 0.0
	consider := func(b *branch, c *class) {
		share := s.weighted(b, model.Resources{})
		if l == levelLate {
			share = 0
		}
		if top == nil || share < topShare || share == topShare && before(c, top) {
			top, topShare = c, share
		}
	}
	for _, b := range s.queue.active[l] {
		if l != levelLate || !s.overShare(b) {
			consider(b, b.queues[l][0])
		}
	}
	if l < levelHigh {
		return top
	}
	for _, b := range s.queue.active[levelLate] {
		if c := b.queues[levelLate][0]; levelOf(c.key.tier) == l && s.overShare(b) {
			consider(b, c)
		}
	}
	return top
}

// before orders classes of equal share.
func before(a, b *class) bool {
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.seq < b.seq
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
	if len(j.failedOn) > 0 && len(c.jobs) > 1 {
		// Only this job is kept from some workers: the next one may fit there.
		j.due = j.due.Add(s.opts.AgeStep)
		heap.Fix(&c.jobs, j.heapPos)
		s.settle(c)
		return
	}
	if c.scanning {
		s.queue.shelve(c, classDeferred, "waits for room that preemption may free")
		return
	}
	c.quota = false
	s.queue.shelve(c, classBlocked, "no worker has room now")
	if s.mayGain(c) {
		s.queue.setTimer(c, s.cluster.now.Add(preemptRetry))
	}
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
	all := s.cluster.changed || len(s.cluster.freed)*len(s.queue.blocked) > freedPairs
	for pos := 0; pos < len(s.queue.blocked); {
		if c := s.queue.blocked[pos]; all || s.mayFit(c) {
			s.revive(c) // the last of the list is at pos now
			continue
		}
		pos++
	}
	for _, w := range s.cluster.freed {
		w.freed = false
	}
	s.cluster.freed = s.cluster.freed[:0]
	s.cluster.changed = false
	for _, b := range s.released {
		b.released = false
	}
	s.released = s.released[:0]
}

// mayFit reports whether what was freed since the last Decide may help a blocked class.
func (s *Scheduler) mayFit(c *class) bool {
	if c.quota {
		return c.branch.released
	}
	size := s.grantSize(c)
	for _, w := range s.cluster.freed {
		if size.Fits(w.free()) {
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
	case why != "":
		s.queue.shelve(c, classParked, why)
	case c.state == classParked:
		s.revive(c)
	}
}

// reconsiderParked makes parked classes active that can run now, and parks those of the
// blocked ones that cannot run any more.
func (s *Scheduler) reconsiderParked() {
	for pos := 0; pos < len(s.queue.parked); {
		c := s.queue.parked[pos]
		s.parkUnfit(c)
		if c.state == classParked && s.queue.parked[c.pos] == c {
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
		default:
			s.runClassTimer(t)
		}
	}
}

// runClassTimer looks again at a class: its level may have changed, its first job may be
// starved now, or victims may have appeared.
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
