package schedule

import (
	"container/heap"
	"time"

	"filbertcross/internal/model"
)

// Queues and transitions:
//
//   - A class holds the waiting jobs of one workload with the same requirements, so that a
//     placement that fails for one of them fails for all. Its jobs are in a heap ordered by
//     due time. A job is in the heap while it has waiting tasks and is not backing off.
//   - Each branch has one heap of active classes for each level, ordered by the due time of
//     the class's first job. A class enters the heap when it gets a waiting task. It changes
//     level when its first job changes or when a timer finds that the job has waited long
//     enough.
//   - A class whose first job cannot be placed moves from its branch's heap to the blocked
//     list. It becomes active again when capacity for one of its tasks is freed, workers or
//     branches change, or a timer fires.
//   - A class whose search for preemption victims is unfinished is deferred to the next
//     Decide.
//   - A class that can never run is parked until workers or branches change.

// level is the first sort key of classes, ahead of fair sharing. It follows from the tier,
// except for jobs promoted by age or deadline.
type level int

const (
	levelUrgent level = iota
	levelLate         // work that is about to miss its deadline
	levelHigh
	levelNormal
	levelLow
	levelCount
)

// levelOf returns the initial level of a tier's jobs.
func levelOf(t model.Tier) level {
	switch t {
	case model.TierUrgent:
		return levelUrgent
	case model.TierHigh:
		return levelHigh
	case model.TierNormal:
		return levelNormal
	default:
		return levelLow
	}
}

// classState tells which queue a class is in.
type classState uint8

const (
	classIdle classState = iota // no waiting job
	classActive
	classBlocked
	classDeferred
	classParked
)

// classKey holds the properties that the jobs of a class share.
type classKey struct {
	branch   model.BranchID
	workload model.WorkloadID
	kind     model.Kind
	tier     model.Tier
	deadline bool
	size     model.Resources // declared
	tasks    int             // of a gang; otherwise 0
}

// class holds the waiting jobs of one workload with the same requirements.
type class struct {
	key                   classKey
	branch                *branch
	policy                policy
	estimate              *estimate
	jobs                  jobHeap
	level                 level
	due                   time.Time // due and seq of the first job order branch.activeClasses[level]
	seq                   int64
	waiting               int // tasks of its jobs, including jobs that back off
	state                 classState
	pos                   int       // position in the heap or list for its state
	retryPending          bool      // a timer for another search for victims is set
	nextTimer             time.Time // earliest timer set for the class; zero: none
	holds                 []*hold
	reservedSince         time.Time // when its reservation was made
	heldTasks             int       // tasks covered by holds
	victimWorkersChecked  int       // workers checked for victims since the class was last reactivated
	blockedByQuota        bool      // valid while blocked: the branch's quota is exhausted
	victimSearchContinues bool      // the search for victims continues in the next Decide
	reactivatedRound      int64     // round in which it was reactivated because of freed capacity
	blockedRound          int64     // round in which no worker had capacity for it
	// rotations counts the jobs that rotateJob moved back in rotationRound.
	rotationRound int64
	rotations     int
	jobCount      int // jobs that have not ended
	waitReason    string
}

// head returns the class's first job, or nil. It drops jobs without waiting tasks and closed
// jobs from the heap.
func (c *class) head() *job {
	for len(c.jobs) > 0 {
		if j := c.jobs[0]; j.waiting > 0 && !j.closed() {
			return j
		}
		heap.Pop(&c.jobs)
	}
	return nil
}

// atomicTasks returns how many tasks of the first job must be placed together.
func (c *class) atomicTasks() int {
	if j := c.head(); j != nil {
		return c.policy.atomicTasks(j)
	}
	return 1
}

// clearJobs empties the heap. None of its jobs may have waiting tasks.
func (c *class) clearJobs() {
	for _, j := range c.jobs {
		j.heapPos = -1
	}
	c.jobs = nil
}

// jobHeap orders jobs by due time, then by submission order.
type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(a, b int) bool {
	if !h[a].due.Equal(h[b].due) {
		return h[a].due.Before(h[b].due)
	}
	return h[a].seq < h[b].seq
}
func (h jobHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapPos, h[b].heapPos = a, b
}
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heapPos = len(*h)
	*h = append(*h, j)
}
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	j.heapPos = -1
	return j
}

// classHeap orders classes by the due time, then by the submission order of their first
// jobs.
type classHeap []*class

func (h classHeap) Len() int { return len(h) }
func (h classHeap) Less(a, b int) bool {
	if !h[a].due.Equal(h[b].due) {
		return h[a].due.Before(h[b].due)
	}
	return h[a].seq < h[b].seq
}
func (h classHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].pos, h[b].pos = a, b
}
func (h *classHeap) Push(x any) {
	c := x.(*class)
	c.pos = len(*h)
	*h = append(*h, c)
}
func (h *classHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}

// timer triggers another check of a job, class or worker at a given time.
type timer struct {
	at          time.Time
	job         *job    // its back-off ends
	class       *class  // its level may change or its first job may be starved
	victimRetry bool    // the class searches for victims again instead
	worker      *worker // its suspect pause ends
}

// timerHeap orders timers by time.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(a, b int) bool { return h[a].at.Before(h[b].at) }
func (h timerHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// queue holds all classes and the timers.
type queue struct {
	classes  map[classKey]*class
	active   [levelCount][]*branch // branches with an active class at the level
	blocked  []*class
	deferred []*class
	parked   []*class
	timers   timerHeap
}

func newQueue() queue { return queue{classes: map[classKey]*class{}} }

// activate adds the class to its branch's heap at the given level; head is its first job.
func (q *queue) activate(c *class, to level, head *job) {
	q.removeClass(c)
	c.state, c.level, c.due, c.seq = classActive, to, head.due, head.seq
	b := c.branch
	if len(b.activeClasses[to]) == 0 {
		b.activePos[to] = len(q.active[to])
		q.active[to] = append(q.active[to], b)
	}
	heap.Push(&b.activeClasses[to], c)
}

// removeClass removes the class from its current queue.
func (q *queue) removeClass(c *class) {
	switch c.state {
	case classActive:
		q.deactivate(c)
	case classBlocked:
		q.blocked = removeFromList(q.blocked, c)
	case classDeferred:
		q.deferred = removeFromList(q.deferred, c)
	case classParked:
		q.parked = removeFromList(q.parked, c)
	}
	c.state = classIdle
}

func (q *queue) deactivate(c *class) {
	b := c.branch
	heap.Remove(&b.activeClasses[c.level], c.pos)
	if len(b.activeClasses[c.level]) > 0 {
		return
	}
	list := q.active[c.level]
	last := list[len(list)-1]
	pos := b.activePos[c.level]
	list[pos] = last
	last.activePos[c.level] = pos
	q.active[c.level] = list[:len(list)-1]
}

// removeFromList removes the class from the list for its state.
func removeFromList(list []*class, c *class) []*class {
	last := list[len(list)-1]
	list[c.pos] = last
	last.pos = c.pos
	list[len(list)-1] = nil
	return list[:len(list)-1]
}

// moveToList moves the class to the blocked, deferred or parked list.
func (q *queue) moveToList(c *class, to classState, reason string) {
	q.removeClass(c)
	c.state, c.waitReason = to, reason
	list := &q.blocked
	switch to {
	case classDeferred:
		list = &q.deferred
	case classParked:
		list = &q.parked
	}
	c.pos = len(*list)
	*list = append(*list, c)
}

// scheduleRetry sets a timer for another search for victims, unless one is already set.
func (q *queue) scheduleRetry(c *class, at time.Time) {
	if c.retryPending {
		return
	}
	c.retryPending = true
	heap.Push(&q.timers, timer{at: at, class: c, victimRetry: true})
}

// scheduleTimer sets a timer for another check of the class, unless at is zero or an earlier
// timer is already set.
func (q *queue) scheduleTimer(c *class, at time.Time) {
	if at.IsZero() || (!c.nextTimer.IsZero() && !at.Before(c.nextTimer)) {
		return
	}
	c.nextTimer = at
	heap.Push(&q.timers, timer{at: at, class: c})
}
