package schedule

import (
	"cmp"
	"slices"

	"filbertcross/internal/model"
)

// Preemption rules, by claim. A claim is the tier, but levelLate for work about to miss its
// deadline.
//
//   - Urgent work takes from any work that is not urgent; once urgent work alone fills its
//     branch's share, only from its own branch and from branches above theirs.
//   - Other work takes from its own branch only where its claim is strictly higher; from
//     another branch only while its own is below its share and the other above, never
//     from a higher claim, and at an equal claim only if its branch holds no more
//     afterwards than the other. So no preemption can be reversed by a later one.

// victim is a run that may be preempted, with what that costs.
type victim struct {
	run             *run
	aboveShare      bool    // its branch is above its share
	preemptionLevel level   // of its job
	lostWork        float64 // work since the start, in seconds times dominant share
}

// preemptionPlan is the room that preemption makes for tasks of a class on one worker.
type preemptionPlan struct {
	worker             *worker
	freeWithoutVictims model.Resources // free without the victims
	victims            []victim
	tasks              int
	cost               cost
}

// cost orders plans: those that stop no gang first, then those that harm no branch within
// its share, then by the highest claim harmed, then by the work lost for each task.
type cost struct {
	gangs        int // tasks of gangs that stop with a victim elsewhere
	withinShare  int
	highestLevel level
	lostWork     float64
}

func (a cost) less(b cost) bool {
	if a.gangs != b.gangs {
		return a.gangs < b.gangs
	}
	if a.withinShare != b.withinShare {
		return a.withinShare < b.withinShare
	}
	if a.highestLevel != b.highestLevel {
		return a.highestLevel > b.highestLevel
	}
	return a.lostWork < b.lostWork
}

// preemptionLevel is the level with which the class may preempt; age gives no claim.
func (c *class) preemptionLevel() level {
	if c.level == levelLate {
		return levelLate
	}
	return levelOf(c.key.tier)
}

// canEverPreempt reports whether preemption may ever help the class.
func (s *Scheduler) canEverPreempt(c *class) bool {
	return c.preemptionLevel() <= levelLate || !s.atOrAboveShare(c.branch)
}

// preempt asks for victims so that the next tasks of the query's job get room, and holds
// that room for its class. It reports whether it found enough. A search looks at a bounded
// number of workers; it goes on in the next Decide, until all were looked at.
func (s *Scheduler) preempt(q *query, need int) bool {
	c := q.class
	c.victimSearchContinues = false
	need = min(need, c.waiting-c.heldTasks)
	if need <= 0 || c.victimWorkersChecked >= len(s.cluster.ring) || !s.mayFindVictims(q) {
		return false
	}
	if !s.takePreemptionAttempt(c) {
		c.victimSearchContinues = c.preemptionLevel() == levelUrgent // other work waits for preemptRetry
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

// takePreemptionAttempt takes one of the call's attempts at preemption; work that is not urgent leaves
// most of them to urgent work.
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

// mayFindVictims reports, from the branches' sums alone, whether a search for victims may
// find any.
func (s *Scheduler) mayFindVictims(q *query) bool {
	c := q.class
	below := !s.atOrAboveShare(c.branch)
	after := s.weightedShare(c.branch, q.size)
	for _, b := range s.branches {
		if b.running == 0 {
			continue
		}
		last := b.lowestRunningLevel()
		switch {
		case b == c.branch:
			if c.preemptionLevel() < last {
				return true
			}
		case c.preemptionLevel() == levelUrgent:
			if last > levelUrgent && (s.isAboveShare(b) || !s.atOrAboveShareInTiers(c.branch, model.TierUrgent)) {
				return true
			}
		case below && s.isAboveShare(b) && c.preemptionLevel() < last:
			return true
		case below && s.isAboveShare(b) && c.preemptionLevel() == last:
			if after < s.weightedShare(b, model.Resources{}) {
				return true
			}
		}
	}
	return false
}

// lowestRunningLevel returns the level of the branch's running tasks that goes last.
func (b *branch) lowestRunningLevel() level {
	for t := model.TierLow; t > model.TierUrgent; t-- {
		if b.runningByTier[t] > 0 {
			return levelOf(t)
		}
	}
	return levelUrgent
}

// findPlans looks round the ring for workers on which victims make room.
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

// cheapestPlans takes the cheapest plans for need tasks.
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

// planOnWorker finds the cheapest victims on one worker.
func (s *Scheduler) planOnWorker(w *worker, q *query, need int) (preemptionPlan, bool) {
	if !w.schedulable() || !q.size.Fits(w.Capacity) || s.cluster.rejectingPreemptionFilter(w, q) != filterNone {
		return preemptionPlan{}, false
	}
	p := preemptionPlan{worker: w, freeWithoutVictims: w.freeWithoutVictims(q)}
	room := p.freeWithoutVictims
	victims := s.findVictims(w, q)
	for _, v := range victims {
		room = room.Add(v.run.size)
	}
	tasks := min(tasksThatFit(room, q.size), need)
	if tasks == 0 {
		return preemptionPlan{}, false
	}
	p.tasks = tasks
	s.selectVictims(&p, q, victims)
	if len(p.victims) == 0 && !w.hasStoppingRun() || !multiply(q.size, tasks).Fits(p.freeAfterPreemption()) {
		return preemptionPlan{}, false
	}
	return p, true
}

// freeWithoutVictims is what will be free on the worker once the runs that are being stopped are
// gone, less what is held for others that go first and for the query's own class.
func (w *worker) freeWithoutVictims(q *query) model.Resources {
	room := w.free()
	for _, r := range w.runs {
		if r.stop != stopNone {
			room = room.Add(r.size)
		}
	}
	for _, h := range w.holds {
		if h.class == q.class || q.respectReservations && h.isReservation || !h.ranksBelow(q) {
			room = room.Sub(h.size)
		}
	}
	return room
}

// hasStoppingRun reports whether a run on the worker is being stopped.
func (w *worker) hasStoppingRun() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.stop != stopNone })
}

// findVictims lists the runs on the worker that the class may preempt, the cheapest first.
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

// evaluateVictim reports whether the class may preempt the run, and what that costs.
func (s *Scheduler) evaluateVictim(r *run, q *query) (victim, bool) {
	j := r.job
	if j == nil || j == q.job || !j.Restartable || j.closed() {
		return victim{}, false
	}
	v := victim{run: r, preemptionLevel: s.runningLevel(j), aboveShare: s.isAboveShare(j.branch)}
	if !s.mayPreempt(q.class, v) {
		return victim{}, false
	}
	for _, other := range v.stoppedRuns() {
		if !other.confirmed || other.stop != stopNone || other.probe {
			return victim{}, false
		}
		ran := s.cluster.now.Sub(other.started).Seconds()
		v.lostWork += max(ran, 0) * dominantShare(other.size, s.cluster.total)
	}
	return v, true
}

// stoppedRuns lists the runs that stop with the victim: for a gang all of them.
func (v *victim) stoppedRuns() []*run {
	if v.run.job.Kind == model.KindGang {
		return v.run.job.runs
	}
	return v.run.job.runs[v.run.jobPos : v.run.jobPos+1]
}

// runningLevel is the claim of a running job.
func (s *Scheduler) runningLevel(j *job) level {
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

// mayPreempt applies the rules by claim.
func (s *Scheduler) mayPreempt(c *class, v victim) bool {
	own := v.run.job.branch == c.branch
	claim := c.preemptionLevel()
	if v.preemptionLevel == levelUrgent || claim > v.preemptionLevel {
		return false
	}
	if claim == levelUrgent {
		return own || v.aboveShare || !s.atOrAboveShareInTiers(c.branch, model.TierUrgent)
	}
	if v.run.job.preemptionCount(v.run.index) >= s.opts.MaxPreemptionsPerTask {
		return false
	}
	if own {
		return claim < v.preemptionLevel
	}
	return v.aboveShare && !s.atOrAboveShare(c.branch)
}

// selectVictims takes victims in order until the plan's tasks fit, then drops those that were not
// needed after all.
func (s *Scheduler) selectVictims(p *preemptionPlan, q *query, victims []victim) {
	size := multiply(q.size, p.tasks)
	gain := size
	taken := map[*branch]model.Resources{}
	for _, v := range victims {
		if size.Fits(p.freeAfterPreemption()) {
			break
		}
		from := v.run.job.branch
		loss := taken[from].Add(v.stoppedSize())
		if !s.keepsShareOrder(q.class, v, gain, loss) {
			continue
		}
		taken[from] = loss
		p.victims = append(p.victims, v)
	}
	for pos := 0; pos < len(p.victims); {
		if size.Fits(p.freeAfterPreemption().Sub(p.victims[pos].run.size)) {
			p.victims = slices.Delete(p.victims, pos, pos+1)
			continue
		}
		pos++
	}
	p.computeCost()
}

// stoppedSize is what the victim's branch loses.
func (v *victim) stoppedSize() model.Resources {
	return multiply(v.run.size, len(v.stoppedRuns()))
}

// keepsShareOrder reports whether, at an equal claim or where a whole gang would stop, the
// gaining branch holds no more afterwards than the losing one.
func (s *Scheduler) keepsShareOrder(c *class, v victim, gain, loss model.Resources) bool {
	b := v.run.job.branch
	gang := v.run.job.Kind == model.KindGang && c.preemptionLevel() > levelUrgent
	if b == c.branch || c.preemptionLevel() < v.preemptionLevel && !gang {
		return true
	}
	return s.weightedShare(c.branch, gain) <= s.weightedShare(b, model.Resources{}.Sub(loss))
}

// freeAfterPreemption is what is free on the worker once the victims are gone.
func (p *preemptionPlan) freeAfterPreemption() model.Resources {
	room := p.freeWithoutVictims
	for _, v := range p.victims {
		room = room.Add(v.run.size)
	}
	return room
}

// computeCost sums the victims' cost for each task placed.
func (p *preemptionPlan) computeCost() {
	p.cost = cost{highestLevel: levelCount}
	for _, v := range p.victims {
		if !v.aboveShare {
			p.cost.withinShare++
		}
		p.cost.gangs += len(v.stoppedRuns()) - 1
		p.cost.highestLevel = min(p.cost.highestLevel, v.preemptionLevel)
		p.cost.lostWork += v.lostWork / float64(p.tasks)
	}
}

// executePlan asks the host to stop the plan's victims and holds the room they leave.
func (s *Scheduler) executePlan(q *query, p preemptionPlan) {
	size := multiply(q.size, p.tasks)
	room := p.freeAfterPreemption()
	for _, v := range p.victims {
		for _, r := range v.stoppedRuns() {
			s.preemptRun(r, q.class.branch.ID, "makes room for work with a higher claim")
		}
	}
	s.addHold(&hold{
		class: q.class, worker: p.worker, size: size, tasks: p.tasks, spare: room.Sub(size),
		expectedStart: s.cluster.now, expires: s.cluster.now.Add(s.opts.HoldTimeout),
	})
}

// preemptRun asks the host to checkpoint and stop a run; its task is queued again by Finish.
func (s *Scheduler) preemptRun(r *run, gainer model.BranchID, reason string) {
	if r.stop != stopNone {
		return
	}
	r.stop = stopPreempted
	r.job.branch.stopping = r.job.branch.stopping.Add(r.size)
	r.job.countPreemption(r.index)
	s.stats.Preempted++
	d := r.newDecision(ActionPreempt, 0, reason)
	d.Beneficiary = gainer
	s.emit(r, d)
}
