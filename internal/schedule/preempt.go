package schedule

import (
	"cmp"
	"slices"

	"filbertcross/internal/fairshare"
	"filbertcross/internal/model"
)

// Preemption rules. The preemption level of work is the level of its tier, or levelLate for
// work that is about to miss its deadline.
//
//   - Urgent work may preempt any work that is not urgent. Once urgent work alone uses up its
//     branch's share, it may preempt only its own branch and branches above their shares.
//   - Other work may preempt work of its own branch only if its level is strictly higher.
//   - Other work may preempt another branch only while its own branch is below its share and
//     the other one is above. It never preempts a higher level. At an equal level its
//     branch must hold no more than the other one afterwards, so that no preemption can be
//     reversed by a later one.

// victim is a run that may be preempted, with the cost of doing so.
type victim struct {
	run             *run
	aboveShare      bool    // its branch is above its share
	preemptionLevel level   // of its job
	lostWork        float64 // runtime since the start in seconds, times the dominant share
}

// preemptionPlan lists the victims that free capacity for tasks of a class on one worker.
type preemptionPlan struct {
	worker             *worker
	freeWithoutVictims model.Resources // free before the victims stop
	victims            []victim
	tasks              int
	cost               cost
}

// cost orders plans: by the number of gang tasks stopped, then by the number of victims of
// branches that are not above their shares, then by the highest preemption level among the
// victims, then by the work lost for each placed task.
type cost struct {
	gangTasks    int // other tasks of the victims' gangs, which stop too
	withinShare  int
	highestLevel level
	lostWork     float64
}

func (a cost) less(b cost) bool {
	if a.gangTasks != b.gangTasks {
		return a.gangTasks < b.gangTasks
	}
	if a.withinShare != b.withinShare {
		return a.withinShare < b.withinShare
	}
	if a.highestLevel != b.highestLevel {
		return a.highestLevel > b.highestLevel
	}
	return a.lostWork < b.lostWork
}

// preemptionLevel returns the level at which the class may preempt. Promotion by age does not
// count.
func (c *class) preemptionLevel() level {
	if c.level == levelLate {
		return levelLate
	}
	return levelOf(c.key.tier)
}

// canEverPreempt reports whether a later search for victims may help the class.
func (s *Scheduler) canEverPreempt(c *class) bool {
	return c.preemptionLevel() <= levelLate || !s.atOrAboveShare(c.branch)
}

// preempt searches for victims that free capacity for the next tasks of the query's job, stops
// them and holds the capacity for the class. It reports whether it found enough. Each
// search checks a bounded number of workers and may continue in the next Decide until all
// workers have been checked.
func (s *Scheduler) preempt(q *query, need int) bool {
	c := q.class
	c.victimSearchContinues = false
	need = min(need, c.waiting-c.heldTasks)
	if need <= 0 || c.victimWorkersChecked >= len(s.cluster.ring) || !s.mayFindVictims(q) {
		return false
	}
	if !s.takePreemptionAttempt(c) {
		c.victimSearchContinues = c.preemptionLevel() == levelUrgent // other work waits for preemptRetryInterval
		return false
	}
	plans := s.findPlans(q, need)
	chosen, found := cheapestPlans(plans, need)
	if !found {
		c.victimSearchContinues = c.victimWorkersChecked < len(s.cluster.ring) && c.key.kind != model.KindGang
		return false
	}
	c.victimWorkersChecked = 0
	for _, p := range chosen {
		s.executePlan(q, p)
	}
	return true
}

// takePreemptionAttempt uses one of the call's preemption attempts and reports whether one was
// left. Work that is not urgent may use only the first quarter of them.
func (s *Scheduler) takePreemptionAttempt(c *class) bool {
	limit := s.opts.MaxPreemptionAttempts
	if c.preemptionLevel() != levelUrgent {
		limit /= 4
	}
	if s.preemptionAttempts >= limit {
		return false
	}
	s.preemptionAttempts++
	return true
}

// mayFindVictims reports whether a search for victims may find any, judging only by the
// branches' totals.
func (s *Scheduler) mayFindVictims(q *query) bool {
	c := q.class
	below := !s.atOrAboveShare(c.branch)
	after := s.weightedShare(c.branch, q.size)
	for _, b := range s.branches {
		if b.running == 0 {
			continue
		}
		lowest := b.lowestRunningLevel()
		switch {
		case b == c.branch:
			if c.preemptionLevel() < lowest {
				return true
			}
		case c.preemptionLevel() == levelUrgent:
			if lowest > levelUrgent && (s.isAboveShare(b) || !s.atOrAboveShareInTiers(c.branch, model.TierUrgent)) {
				return true
			}
		case below && s.isAboveShare(b) && c.preemptionLevel() < lowest:
			return true
		case below && s.isAboveShare(b) && c.preemptionLevel() == lowest:
			if after < s.weightedShare(b, model.Resources{}) {
				return true
			}
		}
	}
	return false
}

// lowestRunningLevel returns the level of the lowest tier that has running tasks of the branch.
func (b *branch) lowestRunningLevel() level {
	for t := model.TierLow; t > model.TierUrgent; t-- {
		if b.runningByTier[t] > 0 {
			return levelOf(t)
		}
	}
	return levelUrgent
}

// findPlans checks the next workers of the ring and returns plans for those on which victims
// free enough capacity.
func (s *Scheduler) findPlans(q *query, need int) []preemptionPlan {
	ring := s.cluster.ring
	count := min(len(ring), s.opts.PreemptionCandidates*need)
	q.class.victimWorkersChecked += count
	var plans []preemptionPlan
	for range count {
		s.cluster.ringCursor = (s.cluster.ringCursor + 1) % len(ring)
		if p, ok := s.planOnWorker(ring[s.cluster.ringCursor], q, need); ok {
			plans = append(plans, p)
		}
	}
	return plans
}

// cheapestPlans returns the cheapest plans that together cover need tasks, or false if there
// are not enough.
func cheapestPlans(plans []preemptionPlan, need int) ([]preemptionPlan, bool) {
	slices.SortStableFunc(plans, func(a, b preemptionPlan) int {
		switch {
		case a.cost.less(b.cost):
			return -1
		case b.cost.less(a.cost):
			return 1
		}
		return 0
	})
	for n := range plans {
		need -= plans[n].tasks
		if need <= 0 {
			return plans[:n+1], true
		}
	}
	return nil, false
}

// planOnWorker returns a plan with the cheapest victims on one worker for up to need tasks, or
// false if they do not free enough capacity.
func (s *Scheduler) planOnWorker(w *worker, q *query, need int) (preemptionPlan, bool) {
	if !w.schedulable() || !q.size.FitsIn(w.Capacity) || s.cluster.rejectingPreemptionFilter(w, q) != filterNone {
		return preemptionPlan{}, false
	}
	p := preemptionPlan{worker: w, freeWithoutVictims: w.freeWithoutVictims(q)}
	free := p.freeWithoutVictims
	victims := s.findVictims(w, q)
	for _, v := range victims {
		free = free.Add(v.run.size)
	}
	tasks := min(tasksThatFit(free, q.size), need)
	if tasks == 0 {
		return preemptionPlan{}, false
	}
	p.tasks = tasks
	s.selectVictims(&p, q, victims)
	if len(p.victims) == 0 && !w.hasStoppingRun() || !fairshare.Multiply(q.size, tasks).FitsIn(p.freeAfterPreemption()) {
		return preemptionPlan{}, false
	}
	return p, true
}

// freeWithoutVictims returns the capacity that will be free on the worker once its stopping
// runs have ended, minus the holds for the query's own class and for others that the query
// may not use.
func (w *worker) freeWithoutVictims(q *query) model.Resources {
	free := w.free()
	for _, r := range w.runs {
		if r.stop != stopNone {
			free = free.Add(r.size)
		}
	}
	for _, h := range w.holds {
		if h.class == q.class || q.respectReservations && h.isReservation || !h.ranksBelow(q) {
			free = free.Sub(h.size)
		}
	}
	return free
}

// hasStoppingRun reports whether a run on the worker is being stopped.
func (w *worker) hasStoppingRun() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.stop != stopNone })
}

// findVictims returns the runs on the worker that the class may preempt, cheapest first.
func (s *Scheduler) findVictims(w *worker, q *query) []victim {
	var victims []victim
	for _, r := range w.runs {
		if v, ok := s.evaluateVictim(r, q); ok {
			victims = append(victims, v)
		}
	}
	slices.SortStableFunc(victims, func(a, b victim) int {
		if d := len(a.stoppedRuns()) - len(b.stoppedRuns()); d != 0 {
			return d
		}
		if a.aboveShare != b.aboveShare {
			if a.aboveShare {
				return -1
			}
			return 1
		}
		if d := cmp.Compare(b.preemptionLevel, a.preemptionLevel); d != 0 {
			return d
		}
		return cmp.Compare(a.lostWork, b.lostWork)
	})
	return victims
}

// evaluateVictim returns the run as a victim with its cost, or false if the class may not
// preempt it.
func (s *Scheduler) evaluateVictim(r *run, q *query) (victim, bool) {
	j := r.job
	if j == nil || j == q.job || !j.Restartable || j.closed() {
		return victim{}, false
	}
	v := victim{run: r, preemptionLevel: s.jobPreemptionLevel(j), aboveShare: s.isAboveShare(j.branch)}
	if !s.mayPreempt(q.class, v) {
		return victim{}, false
	}
	for _, other := range v.stoppedRuns() {
		if !other.confirmed || other.stop != stopNone || other.probe {
			return victim{}, false
		}
		ran := s.cluster.now.Sub(other.started).Seconds()
		v.lostWork += max(ran, 0) * fairshare.DominantShare(other.size, s.cluster.total)
	}
	return v, true
}

// stoppedRuns returns the runs that stop with the victim: all runs of a gang, otherwise only
// the victim.
func (v *victim) stoppedRuns() []*run {
	if v.run.job.Kind == model.KindGang {
		return v.run.job.runs
	}
	return v.run.job.runs[v.run.jobPos : v.run.jobPos+1]
}

// jobPreemptionLevel returns the preemption level of a running job.
func (s *Scheduler) jobPreemptionLevel(j *job) level {
	if j.Deadline.IsZero() || levelOf(j.Tier) == levelUrgent || !s.cluster.now.Before(j.Deadline) {
		return levelOf(j.Tier)
	}
	l, _ := s.slackLevel(j, levelOf(j.Tier))
	if l == levelLate {
		return levelLate
	}
	return levelOf(j.Tier)
}

// isAboveShare reports whether the branch holds more than its share.
func (s *Scheduler) isAboveShare(b *branch) bool {
	return s.weightedShare(b, model.Resources{}) > s.entitledShare()
}

// mayPreempt applies the preemption rules, except for the comparison of the branches at an
// equal level; see keepsShareOrder.
func (s *Scheduler) mayPreempt(c *class, v victim) bool {
	own := v.run.job.branch == c.branch
	classLevel := c.preemptionLevel()
	if v.preemptionLevel == levelUrgent || classLevel > v.preemptionLevel {
		return false
	}
	if classLevel == levelUrgent {
		return own || v.aboveShare || !s.atOrAboveShareInTiers(c.branch, model.TierUrgent)
	}
	if v.run.job.preemptionCount(v.run.index) >= s.opts.MaxPreemptionsPerTask {
		return false
	}
	if own {
		return classLevel < v.preemptionLevel
	}
	return v.aboveShare && !s.atOrAboveShare(c.branch)
}

// selectVictims adds victims to the plan in order until its tasks fit, then drops those that
// turned out not to be needed, and computes the plan's cost.
func (s *Scheduler) selectVictims(p *preemptionPlan, q *query, victims []victim) {
	size := fairshare.Multiply(q.size, p.tasks)
	gain := size
	lostByBranch := map[*branch]model.Resources{}
	for _, v := range victims {
		if size.FitsIn(p.freeAfterPreemption()) {
			break
		}
		losing := v.run.job.branch
		loss := lostByBranch[losing].Add(v.stoppedSize())
		if !s.keepsShareOrder(q.class, v, gain, loss) {
			continue
		}
		lostByBranch[losing] = loss
		p.victims = append(p.victims, v)
	}
	for pos := 0; pos < len(p.victims); {
		if size.FitsIn(p.freeAfterPreemption().Sub(p.victims[pos].run.size)) {
			p.victims = slices.Delete(p.victims, pos, pos+1)
			continue
		}
		pos++
	}
	p.computeCost()
}

// stoppedSize returns the capacity that the victim's branch loses.
func (v *victim) stoppedSize() model.Resources {
	return fairshare.Multiply(v.run.size, len(v.stoppedRuns()))
}

// keepsShareOrder reports whether the gaining branch holds no more afterwards than the losing
// one. It applies only between branches, at an equal level or if a whole gang would stop.
func (s *Scheduler) keepsShareOrder(c *class, v victim, gain, loss model.Resources) bool {
	b := v.run.job.branch
	gang := v.run.job.Kind == model.KindGang && c.preemptionLevel() > levelUrgent
	if b == c.branch || c.preemptionLevel() < v.preemptionLevel && !gang {
		return true
	}
	return s.weightedShare(c.branch, gain) <= s.weightedShare(b, model.Resources{}.Sub(loss))
}

// freeAfterPreemption returns the capacity that is free on the worker once the victims have
// ended.
func (p *preemptionPlan) freeAfterPreemption() model.Resources {
	free := p.freeWithoutVictims
	for _, v := range p.victims {
		free = free.Add(v.run.size)
	}
	return free
}

// computeCost computes the plan's cost from its victims.
func (p *preemptionPlan) computeCost() {
	p.cost = cost{highestLevel: levelCount}
	for _, v := range p.victims {
		if !v.aboveShare {
			p.cost.withinShare++
		}
		p.cost.gangTasks += len(v.stoppedRuns()) - 1
		p.cost.highestLevel = min(p.cost.highestLevel, v.preemptionLevel)
		p.cost.lostWork += v.lostWork / float64(p.tasks)
	}
}

// executePlan preempts the plan's victims and holds their capacity for the class.
func (s *Scheduler) executePlan(q *query, p preemptionPlan) {
	size := fairshare.Multiply(q.size, p.tasks)
	free := p.freeAfterPreemption()
	for _, v := range p.victims {
		for _, r := range v.stoppedRuns() {
			s.preemptRun(r, q.class.branch.ID, "makes room for work with a higher claim")
		}
	}
	s.addHold(&hold{
		class: q.class, worker: p.worker, size: size, tasks: p.tasks, spare: free.Sub(size),
		expectedStart: s.cluster.now, expires: s.cluster.now.Add(s.opts.HoldTimeout),
	})
}

// preemptRun emits a decision that checkpoints and stops the run. Finish queues its task again.
func (s *Scheduler) preemptRun(r *run, beneficiary model.BranchID, reason string) {
	if r.stop != stopNone {
		return
	}
	r.stop = stopPreempted
	r.job.branch.stopping = r.job.branch.stopping.Add(r.size)
	r.job.countPreemption(r.index)
	s.stats.Preempted++
	d := r.newDecision(ActionPreempt, 0, reason)
	d.Beneficiary = beneficiary
	s.emit(r, d)
}
