package schedule

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"filbertcross/internal/fairshare"
	"filbertcross/internal/model"
)

// Scheduler is the Decider of a partition.
//
// Submit adds a job to a class in the queue. Decide serves classes in priority order: the
// class's policy chooses among the workers that pass the filters, and the placement is
// assumed. Confirm makes an assumed placement final and Forget reverts it. Finish frees the
// capacity of a run.
//
// A Scheduler may be used by only one goroutine at a time.
type Scheduler struct {
	opts    Options
	rng     *rand.Rand
	cluster cluster
	queue   queue

	branches          map[model.BranchID]*branch
	jobs              map[model.JobID]*job
	endedJobs         []model.JobID // oldest first; at most Options.MaxEndedJobs
	estimates         map[workloadKey]*estimate
	seq               int64
	lastGroup         int64
	placedSinceAgeing int // placements, a gang as one, since the last ageing turn
	waiting           int // tasks
	running           int // tasks that hold capacity
	activeWeight      float64

	reviews          []*run // runs that may need a decision; see decideReview
	pendingDecisions []pendingDecision
	classesWithHolds []*class
	quarantined      []*worker
	suspectCount     int
	newlyLeaving     []*worker
	reducedBranches  []*branch // usage decreased since the last Decide
	freedWorkers     []*worker // capacity was freed on them before this Decide
	round            int64     // counts Decide calls
	stats            Stats

	decisions          []Decision // result of the current Decide call
	decisionLimit      int
	preemptionAttempts int // in the current Decide call

	gangPostponed bool // a gang was left for the next Decide; see postponeGang
}

// workloadKey identifies a workload of a branch.
type workloadKey struct {
	branch   model.BranchID
	workload model.WorkloadID
}

// pendingDecision is a decision that exceeded the limit of a Decide call.
type pendingDecision struct {
	run      *run
	decision Decision
}

// Stats counts the scheduler's actions since New.
type Stats struct {
	Placed            int64
	Preempted         int64
	Moved             int64
	Throttled         int64
	Probes            int64
	PlacementAttempts int64 // classes that Decide tried to place
	Quarantines       int64
	Abandoned         int64 // tasks that failed too often or cannot be run again
	Reservations      int64
}

// Summary holds the totals of the partition that a digest carries.
type Summary struct {
	Free    model.Resources // on workers that accept new tasks
	Waiting int             // tasks
	Running int             // tasks that hold capacity, including assumed placements
}

var _ Decider = (*Scheduler)(nil)

// New returns a scheduler without workers, branches and jobs. The random source is used
// only by the goroutine that calls the scheduler.
func New(opts Options, rng *rand.Rand) *Scheduler {
	return &Scheduler{
		opts:      opts,
		rng:       rng,
		cluster:   newCluster(),
		queue:     newQueue(),
		branches:  map[model.BranchID]*branch{},
		jobs:      map[model.JobID]*job{},
		estimates: map[workloadKey]*estimate{},
	}
}

// Summary returns the totals of the partition in constant time.
func (s *Scheduler) Summary() Summary {
	return Summary{Free: s.cluster.free, Waiting: s.waiting, Running: s.running}
}

// Stats returns the counters since New.
func (s *Scheduler) Stats() Stats { return s.stats }

// advance sets the current time. An earlier time is ignored.
func (s *Scheduler) advance(now time.Time) {
	if now.After(s.cluster.now) {
		s.cluster.now = now
	}
}

// SetBranches replaces the branches' shares and quotas. A branch missing from the list
// keeps its running tasks; its waiting jobs are parked.
func (s *Scheduler) SetBranches(now time.Time, branches []model.Branch) {
	s.advance(now)
	for _, b := range s.branches {
		b.configured = false
	}
	for _, m := range branches {
		b := s.branch(m.ID)
		b.Branch, b.configured = m, true
	}
	s.activeWeight = 0
	for _, b := range s.branches {
		if b.waiting+b.running > 0 {
			s.activeWeight += b.weight()
		}
	}
	for _, c := range s.queue.classes {
		if c.state != classIdle && c.state != classParked {
			s.updateParked(c)
		}
	}
	s.cluster.changed = true
}

// branch returns the branch, creating it if needed.
func (s *Scheduler) branch(id model.BranchID) *branch {
	b := s.branches[id]
	if b == nil {
		b = &branch{Branch: model.Branch{ID: id}}
		s.branches[id] = b
	}
	return b
}

// UpsertWorker adds a worker or updates its state.
func (s *Scheduler) UpsertWorker(now time.Time, w Worker) {
	s.advance(now)
	s.trackLeaving(s.cluster.upsert(w.ID, w))
}

// RemoveWorker removes a worker. While tasks hold capacity on it, it is kept as unreachable
// and accepts no new task; it is removed when the last of them ends.
func (s *Scheduler) RemoveWorker(now time.Time, id model.WorkerID) {
	s.advance(now)
	w := s.cluster.workers[id]
	if w == nil {
		return
	}
	if len(w.runs) > 0 {
		w.Unreachable, w.removed = true, true
		s.cluster.updateIndex(w)
		return
	}
	s.deleteWorker(w)
}

func (s *Scheduler) deleteWorker(w *worker) {
	s.endWorkerHolds(w)
	s.resetHealth(w)
	s.cluster.remove(w)
}

// Submit queues the job's tasks. Submitting a known job again has no effect and returns
// Accepted.
func (s *Scheduler) Submit(now time.Time, m model.Job) Status {
	s.advance(now)
	if s.jobs[m.ID] != nil {
		return Status{Code: Accepted}
	}
	if reason := invalidReason(m); reason != "" {
		return Status{Code: Invalid, Reason: reason}
	}
	s.seq++
	j := newJob(m, s.seq)
	j.branch = s.branch(m.Branch)
	j.class = s.class(j)
	j.due = s.dueTime(j)
	s.jobs[m.ID] = j
	j.class.jobCount++
	s.adjustTaskCounts(j, j.waiting, 0)
	s.attachOrphans(j)
	s.enqueueJob(j)
	return s.admissionStatus(j.class)
}

// admissionStatus returns the status of a submission to the class.
func (s *Scheduler) admissionStatus(c *class) Status {
	s.updateParked(c)
	switch {
	case c.state == classParked:
		return Status{Code: NeverFits, Reason: c.waitReason}
	case s.cluster.free.IsZero():
		return Status{Code: Unschedulable, Reason: "no worker has free capacity"}
	}
	return Status{Code: Accepted}
}

// invalidReason returns why the job is invalid, or "" if it is valid.
func invalidReason(m model.Job) string {
	switch {
	case m.ID == "":
		return "the job has no id"
	case m.Kind != model.KindService && m.Kind != model.KindBatch && m.Kind != model.KindGang:
		return "jobs of kind " + string(m.Kind) + " are not placed"
	case m.Tier < model.TierUrgent || m.Tier >= model.TierCount:
		return "the tier is unknown"
	case m.Tasks < 1 || m.Tasks > maxTasks:
		return "the number of tasks is out of range"
	case m.Size.IsZero() || m.Size.HasNegative():
		return "the size of a task is zero or negative"
	}
	return ""
}

// class returns the job's class, creating it if needed.
func (s *Scheduler) class(j *job) *class {
	key := classKey{
		branch: j.Branch, workload: j.Workload, kind: j.Kind, tier: j.Tier,
		deadline: !j.Deadline.IsZero(), size: j.Size,
	}
	if j.Kind == model.KindGang {
		key.tasks = j.Tasks
	}
	c := s.queue.classes[key]
	if c == nil {
		c = &class{key: key, branch: j.branch, estimate: s.estimate(j), policy: policyOf(j.Kind, s)}
		s.queue.classes[key] = c
	}
	return c
}

// estimate returns the learned estimate of the job's workload, creating it if needed.
func (s *Scheduler) estimate(j *job) *estimate {
	key := workloadKey{j.Branch, j.Workload}
	e := s.estimates[key]
	if e == nil {
		e = &estimate{}
		s.estimates[key] = e
	}
	return e
}

// enqueueJob adds the job to its class's heap if one of its tasks may be placed.
func (s *Scheduler) enqueueJob(j *job) {
	if j.waiting == 0 || j.closed() || j.heapPos >= 0 {
		return
	}
	if j.Kind == model.KindGang && len(j.runs) > 0 {
		return // a gang is placed only when none of its tasks holds capacity
	}
	if s.cluster.now.Before(j.notBefore) {
		heap.Push(&s.queue.timers, timer{at: j.notBefore, job: j})
		return
	}
	j.notBefore = time.Time{}
	heap.Push(&j.class.jobs, j)
	s.refreshClass(j.class)
}

// refreshClass updates the class's queue and level after its first job may have changed.
func (s *Scheduler) refreshClass(c *class) {
	j := c.head()
	if j == nil {
		s.queue.removeClass(c)
		s.endClassHolds(c)
		return
	}
	to, next := s.levelAt(j)
	s.queue.scheduleTimer(c, next)
	same := c.seq == j.seq && c.due.Equal(j.due)
	if c.state == classParked || same && c.state != classIdle && c.level == to {
		return
	}
	if same && c.state == classBlocked {
		c.level = to
		return
	}
	s.queue.activate(c, to, j)
}

// Cancel removes a job's waiting tasks in constant time. Decide returns ActionStop for its
// running tasks.
func (s *Scheduler) Cancel(now time.Time, id model.JobID) {
	s.advance(now)
	j := s.jobs[id]
	if j == nil || j.canceled {
		return
	}
	j.canceled = true
	s.dropWaiting(j)
	for _, r := range j.runs {
		s.queueReview(r)
	}
	s.retireJob(j)
}

// dropWaiting removes the job's waiting tasks for good.
func (s *Scheduler) dropWaiting(j *job) {
	s.adjustTaskCounts(j, -j.waiting, 0)
	j.dropWaiting()
	if j.class.waiting == 0 {
		j.class.clearJobs()
	}
	if j.heapPos <= 0 {
		s.refreshClass(j.class)
	}
}

// Decide returns at most limit new decisions. The placements of a gang are returned by one
// call, so limit must be at least the size of the largest gang; a larger gang waits.
func (s *Scheduler) Decide(now time.Time, limit int) []Decision {
	s.advance(now)
	s.decisions, s.decisionLimit, s.preemptionAttempts = nil, limit, 0
	s.emitPending()
	s.runTimers()
	s.expireHolds()
	s.reactivateClasses()
	s.drainWorkers()
	if !s.gangPostponed {
		s.processReviews((limit + 1) / 2)
		s.startProbes()
	}
	s.placeClasses()
	s.processReviews(limit)
	return s.takeDecisions()
}

// placeClasses places tasks class by class in priority order until no class is left that
// may fit, the decision limit is reached or Options.MaxFailedClasses classes failed.
func (s *Scheduler) placeClasses() {
	for failed := 0; len(s.decisions) < s.decisionLimit && failed < s.opts.MaxFailedClasses; {
		c := s.pickClass()
		if c == nil {
			return
		}
		if s.postponeGang(c) {
			break
		}
		if s.freedCapacityUsed(c) {
			s.blockByCapacity(c)
			continue
		}
		s.stats.PlacementAttempts++
		if !s.placeNext(c) {
			failed++
		}
	}
	s.keepFreedWorkers()
}

// postponeGang reports whether the class's next gang exceeds the decisions left in this
// call but not the call's limit. The next call then places the gang before it emits other
// decisions.
func (s *Scheduler) postponeGang(c *class) bool {
	j := c.head()
	if j == nil {
		return false
	}
	need := c.policy.atomicTasks(j)
	s.gangPostponed = need > s.decisionLimit-len(s.decisions) && need <= s.decisionLimit
	return s.gangPostponed
}

// placeNext places the next tasks of the class's first job, or preempts others for them, and
// reports whether it succeeded. Otherwise the class is blocked or deferred, or another of its
// jobs becomes the first.
func (s *Scheduler) placeNext(c *class) bool {
	j := c.head()
	if j == nil {
		s.refreshClass(c)
		return true
	}
	q := s.newQuery(j)
	need := c.policy.atomicTasks(j)
	if need > s.decisionLimit {
		s.queue.moveToList(c, classBlocked, "the gang is larger than what one call may decide")
		return false
	}
	if !c.branch.withinQuota(fairshare.Multiply(q.size, need)) {
		s.blockByQuota(c)
		return false
	}
	if s.placeOrPreempt(c, q, need) {
		return true
	}
	s.reserveCapacity(q, need)
	s.blockClass(c, j)
	return false
}

// placeOrPreempt places the next tasks or preempts others for them. It first leaves all
// reservations of other classes alone. If that fails, it tries again and may use capacity
// reserved for classes that the class outranks.
func (s *Scheduler) placeOrPreempt(c *class, q *query, need int) bool {
	q.respectReservations = len(s.classesWithHolds) > 0
	if s.placeByPolicy(c, q) || s.preempt(q, need) {
		return true
	}
	if !q.respectReservations || c.victimSearchContinues || c.heldTasks >= c.waiting {
		return false // nothing is reserved, or preemption is already in progress
	}
	q.respectReservations = false
	return s.placeByPolicy(c, q) || s.preempt(q, need)
}

// placeByPolicy places the next tasks on the workers that the class's policy chooses, and
// reports whether it chose any.
func (s *Scheduler) placeByPolicy(c *class, q *query) bool {
	runs := c.policy.place(&s.cluster, s, q)
	if runs == nil {
		return false
	}
	s.commitRuns(c, q, runs)
	return true
}

// commitRuns emits placement decisions for assumed runs and updates the holds.
func (s *Scheduler) commitRuns(c *class, q *query, runs []*run) {
	group := int64(0)
	if c.key.kind == model.KindGang {
		s.lastGroup++
		group = s.lastGroup
	}
	for _, r := range runs {
		s.consumeHold(c, r)
		s.chargeHolds(q, r)
		if r.worker.health.suspect {
			s.pauseWorker(r.worker, suspectBackoffMax) // a suspect worker gets one task at a time
		}
		s.emit(r, r.newDecision(ActionPlace, group, ""))
	}
	s.stats.Placed += int64(len(runs))
	s.placedSinceAgeing++
	s.refreshClass(c)
}

// emit adds a decision to the call's result, or to the pending decisions of the next call
// if the limit is reached.
func (s *Scheduler) emit(r *run, d Decision) {
	if len(s.decisions) < s.decisionLimit {
		s.decisions = append(s.decisions, d)
		return
	}
	s.pendingDecisions = append(s.pendingDecisions, pendingDecision{r, d})
}

// emitPending emits decisions that exceeded the limit of an earlier call.
func (s *Scheduler) emitPending() {
	rest := s.pendingDecisions
	s.pendingDecisions = nil
	for pos, p := range rest {
		if len(s.decisions) >= s.decisionLimit {
			s.pendingDecisions = rest[pos:]
			return
		}
		if s.cluster.runs[p.run.id] == p.run { // otherwise the run has ended
			s.decisions = append(s.decisions, p.decision)
		}
	}
}

// takeDecisions returns the call's result and resets it.
func (s *Scheduler) takeDecisions() []Decision {
	decisions := s.decisions
	s.decisions = nil
	return decisions
}
