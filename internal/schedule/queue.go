package schedule

import (
	"container/heap"
	"time"

	"filbertcross/internal/model"
)

// The queues, and when an item moves between them:
//
//   - A class is the waiting jobs of one workload that ask for the same: what fails for
//     one of them fails for all. Its jobs are in a heap by due time. A job is in its
//     class's heap while it has waiting tasks and is not backing off.
//   - Each branch has one heap of active classes for each level, by the due time of the
//     class's first job. A class enters it when it gets a waiting task, and changes level
//     when its first job changes or has waited long enough (a timer tells).
//   - A class whose first job cannot be placed leaves its branch's heap for the blocked
//     list, until capacity that would hold one of its tasks is freed, workers or branches
//     change, or a timer fires.
//   - A class that waits for a preemption is deferred to the next Decide.
//   - A class that can never run is parked until workers or branches change.

// level orders classes before fair sharing. It is the tier, but for jobs that climbed.
type level int

const (
	levelUrgent level = iota
	levelLate         // work with a deadline that is about to be late
	levelHigh
	levelNormal
	levelLow
	levelCount
)

// levelOf returns the level at which a tier's jobs start.
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

// classState is the queue that a class is in.
type classState uint8

const (
	classIdle classState = iota // no waiting job
	classActive
	classBlocked
	classDeferred
	classParked
)

// classKey is what the jobs of a class have in common.
type classKey struct {
	branch   model.BranchID
	workload model.WorkloadID
	kind     model.Kind
	tier     model.Tier
	deadline bool
	size     model.Resources // declared
	tasks    int             // of a gang; else 0
}

// class is the waiting jobs of one workload that ask for the same.
type class struct {
	key                   classKey
	branch                *branch
	policy                policy
	estimate              *estimate
	jobs                  jobHeap
	level                 level
	due                   time.Time // of the first job, as seq; both order branch.queues[level]
	seq                   int64
	waiting               int // tasks of its jobs, also of those that back off
	state                 classState
	pos                   int       // position in the heap or list of its state
	retryPending          bool      // a retry of the search for victims is set
	nextTimer             time.Time // the next timer set for the class; zero: none
	holds                 []*hold
	reservedSince         time.Time // when its reservation began
	heldTasks             int       // tasks that have a hold
	victimWorkersChecked  int       // workers looked at for victims since it was blocked
	blockedByQuota        bool      // blocked by the branch's quota
	victimSearchContinues bool      // the search for victims goes on in the next Decide
	reactivatedRound      int64     // round in which it was revived for workers that gained room
	blockedRound          int64     // round in which it was found not to fit
	// rotations counts the jobs put behind others in round rotated.
	rotationRound int64
	rotations     int
	jobCount      int // jobs that have not ended
	waitReason    string
}

// head returns the class's first job, dropping those without waiting tasks; nil when
// there is none.
func (c *class) head() *job {
	for len(c.jobs) > 0 {
		if j := c.jobs[0]; j.waiting > 0 && !j.closed() {
			return j
		}
		heap.Pop(&c.jobs)
	}
	return nil
}

// atomicTasks returns how many tasks of the first job have to be placed at once.
func (c *class) atomicTasks() int {
	if j := c.head(); j != nil {
		return c.policy.atomicTasks(j)
	}
	return 1
}

// clearJobs drops all jobs, none of which has a waiting task.
func (c *class) clearJobs() {
	for _, j := range c.jobs {
		j.heapPos = -1
	}
	c.jobs = nil
}

// jobHeap orders jobs by due time, then by submission.
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

// classHeap orders classes by the due time of their first jobs.
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

// timer is a job, class or worker that is looked at again at a time.
type timer struct {
	at          time.Time
	job         *job    // its back-off ends
	class       *class  // its level changes or it is starved
	victimRetry bool    // the class looks for victims again instead
	worker      *worker // takes tasks again after a pause
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

// queue holds all waiting work.
type queue struct {
	classes  map[classKey]*class
	active   [levelCount][]*branch // branches with an active class on the level
	blocked  []*class
	deferred []*class
	parked   []*class
	timers   timerHeap
}

func newQueue() queue { return queue{classes: map[classKey]*class{}} }

// activate puts the class into its branch's heap on the given level; head is its first job.
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

// removeClass takes the class out of the queue it is in.
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

// removeFromList removes the class from the list of its state.
func removeFromList(list []*class, c *class) []*class {
	last := list[len(list)-1]
	list[c.pos] = last
	last.pos = c.pos
	list[len(list)-1] = nil
	return list[:len(list)-1]
}

// moveToList moves the class to the blocked, deferred or parked list.
func (q *queue) moveToList(c *class, to classState, why string) {
	q.removeClass(c)
	c.state, c.waitReason = to, why
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

// scheduleRetry has a blocked class look for victims again at the time, unless that is set.
func (q *queue) scheduleRetry(c *class, at time.Time) {
	if c.retryPending {
		return
	}
	c.retryPending = true
	heap.Push(&q.timers, timer{at: at, class: c, victimRetry: true})
}

// scheduleTimer has the class looked at again at the time, unless an earlier timer does so.
func (q *queue) scheduleTimer(c *class, at time.Time) {
	if at.IsZero() || (!c.nextTimer.IsZero() && !at.Before(c.nextTimer)) {
		return
	}
	c.nextTimer = at
	heap.Push(&q.timers, timer{at: at, class: c})
}
