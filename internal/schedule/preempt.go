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
	run   *run
	above bool    // its branch is above its share
	claim level   // of its job
	lost  float64 // work since the start, in seconds times dominant share
}

// plan is the room that preemption makes for tasks of a class on one worker.
type plan struct {
	worker  *worker
	base    model.Resources // free without the victims
	victims []victim
	tasks   int
	cost    cost
}

// cost orders plans: those that stop no gang first, then those that harm no branch within
// its share, then by the highest claim harmed, then by the work lost for each task.
type cost struct {
	gangs  int // tasks of gangs that stop with a victim elsewhere
	within int
	claim  level
	lost   float64
}

func (a cost) less(b cost) bool {
	if a.gangs != b.gangs {
		return a.gangs < b.gangs
	}
	if a.within != b.within {
		return a.within < b.within
	}
	if a.claim != b.claim {
		return a.claim > b.claim
	}
	return a.lost < b.lost
}

// claim is the level with which the class may preempt; age gives no claim.
func (c *class) claim() level {
	if c.level == levelLate {
		return levelLate
	}
	return levelOf(c.key.tier)
}

// mayGain reports whether preemption may ever help the class.
func (s *Scheduler) mayGain(c *class) bool {
	return c.claim() <= levelLate || !s.overShare(c.branch)
}

// preempt asks for victims so that the next tasks of the query's job get room, and holds
// that room for its class. It reports whether it found enough. A search looks at a bounded
// number of workers; it goes on in the next Decide, until all were looked at.
func (s *Scheduler) preempt(q *query, need int) bool {
	c := q.class
	c.scanning = false
	need = min(need, c.waiting-c.heldFor)
	if need <= 0 || c.scanned >= len(s.cluster.ring) || !s.hasVictims(q) {
		return false
	}
	if !s.takeTry(c) {
		c.scanning = c.claim() == levelUrgent // other work waits for preemptRetry
		return false
	}
	plans := s.plans(q, need)
	chosen, found := choose(plans, need)
	if !found {
		c.scanning = c.scanned < len(s.cluster.ring) && c.key.kind != model.KindGang
		return false
	}
	c.scanned = 0
	for _, p := range chosen {
		s.carryOut(q, p)
	}
	return true
}

// takeTry takes one of the call's attempts at preemption; work that is not urgent leaves
// most of them to urgent work.
func (s *Scheduler) takeTry(c *class) bool {
	limit := s.opts.MaxPreemptionAttempts
	if c.claim() != levelUrgent {
		limit /= 4
	}
	if s.tries >= limit {
		return false
	}
	s.tries++
	return true
}

// hasVictims reports, from the branches' sums alone, whether a search for victims may
// find any.
func (s *Scheduler) hasVictims(q *query) bool {
	c := q.class
	below := !s.overShare(c.branch)
	after := s.weighted(c.branch, q.size)
	for _, b := range s.branches {
		if b.running == 0 {
			continue
		}
		last := b.lastRunning()
		switch {
		case b == c.branch:
			if c.claim() < last {
				return true
			}
		case c.claim() == levelUrgent:
			if last > levelUrgent && (s.above(b) || !s.aboveIn(c.branch, model.TierUrgent)) {
				return true
			}
		case below && s.above(b) && c.claim() < last:
			return true
		case below && s.above(b) && c.claim() == last:
			if after < s.weighted(b, model.Resources{}) {
				return true
			}
		}
	}
	return false
}

// lastRunning returns the level of the branch's running tasks that goes last.
func (b *branch) lastRunning() level {
	for t := model.TierLow; t > model.TierUrgent; t-- {
		if b.tiers[t] > 0 {
			return levelOf(t)
		}
	}
	return levelUrgent
}

// plans looks round the ring for workers on which victims make room.
func (s *Scheduler) plans(q *query, need int) []plan {
	ring := s.cluster.ring
	count := min(len(ring), s.opts.PreemptionCandidates*need)
	q.class.scanned += count
	var plans []plan
	for range count {
		s.cluster.cursor = (s.cluster.cursor + 1) % len(ring)
		if p, ok := s.planOn(ring[s.cluster.cursor], q, need); ok {
			plans = append(plans, p)
		}
	}
	return plans
}

// choose takes the cheapest plans for need tasks.
func choose(plans []plan, need int) ([]plan, bool) {
	slices.SortStableFunc(plans, func(a, b plan) int {
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

// planOn finds the cheapest victims on one worker.
func (s *Scheduler) planOn(w *worker, q *query, need int) (plan, bool) {
	if !w.open() || !q.size.Fits(w.Capacity) || s.cluster.checkPlan(w, q) != filterNone {
		return plan{}, false
	}
	p := plan{worker: w, base: w.unclaimed(q)}
	room := p.base
	victims := s.victims(w, q)
	for _, v := range victims {
		room = room.Add(v.run.size)
	}
	tasks := min(slots(room, q.size), need)
	if tasks == 0 {
		return plan{}, false
	}
	p.tasks = tasks
	s.fill(&p, q, victims)
	if len(p.victims) == 0 && !w.stopping() || !times(q.size, tasks).Fits(p.room()) {
		return plan{}, false
	}
	return p, true
}

// unclaimed is what will be free on the worker once the runs that are being stopped are
// gone, less what is held for others that go first and for the query's own class.
func (w *worker) unclaimed(q *query) model.Resources {
	room := w.free()
	for _, r := range w.runs {
		if r.stop != stopNone {
			room = room.Add(r.size)
		}
	}
	for _, h := range w.holds {
		if h.class == q.class || q.polite && h.reserved || !h.after(q) {
			room = room.Sub(h.size)
		}
	}
	return room
}

// stopping reports whether a run on the worker is being stopped.
func (w *worker) stopping() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.stop != stopNone })
}

// victims lists the runs on the worker that the class may preempt, the cheapest first.
func (s *Scheduler) victims(w *worker, q *query) []victim {
	var victims []victim
	for _, r := range w.runs {
		if v, ok := s.victim(r, q); ok {
			victims = append(victims, v)
		}
	}
	slices.SortStableFunc(victims, func(a, b victim) int {
		if d := len(a.all()) - len(b.all()); d != 0 {
			return d
		}
		if a.above != b.above {
			if a.above {
				return -1
			}
			return 1
		}
		if d := cmp.Compare(b.claim, a.claim); d != 0 {
			return d
		}
		return cmp.Compare(a.lost, b.lost)
	})
	return victims
}

// victim reports whether the class may preempt the run, and what that costs.
func (s *Scheduler) victim(r *run, q *query) (victim, bool) {
	j := r.job
	if j == nil || j == q.job || !j.Restartable || j.closed() {
		return victim{}, false
	}
	v := victim{run: r, claim: s.claimOf(j), above: s.above(j.branch)}
	if !s.mayPreempt(q.class, v) {
		return victim{}, false
	}
	for _, other := range v.all() {
		if !other.confirmed || other.stop != stopNone || other.probe {
			return victim{}, false
		}
		ran := s.cluster.now.Sub(other.started).Seconds()
		v.lost += max(ran, 0) * dominant(other.size, s.cluster.total)
	}
	return v, true
}

// all lists the runs that stop with the victim: for a gang all of them.
func (v *victim) all() []*run {
	if v.run.job.Kind == model.KindGang {
		return v.run.job.runs
	}
	return v.run.job.runs[v.run.posJob : v.run.posJob+1]
}

// claimOf is the claim of a running job.
func (s *Scheduler) claimOf(j *job) level {
	if j.Deadline.IsZero() || levelOf(j.Tier) == levelUrgent || !s.cluster.now.Before(j.Deadline) {
		return levelOf(j.Tier)
	}
	l, _ := s.slackLevel(j, levelOf(j.Tier))
	if l == levelLate {
		return levelLate
	}
	return levelOf(j.Tier)
}

// above reports whether the branch holds more than its share.
func (s *Scheduler) above(b *branch) bool {
	return s.weighted(b, model.Resources{}) > s.entitled()
}

// mayPreempt applies the rules by claim.
func (s *Scheduler) mayPreempt(c *class, v victim) bool {
	own := v.run.job.branch == c.branch
	claim := c.claim()
	if v.claim == levelUrgent || claim > v.claim {
		return false
	}
	if claim == levelUrgent {
		return own || v.above || !s.aboveIn(c.branch, model.TierUrgent)
	}
	if v.run.job.evictions(v.run.index) >= s.opts.MaxPreemptionsPerTask {
		return false
	}
	if own {
		return claim < v.claim
	}
	return v.above && !s.overShare(c.branch)
}

// fill takes victims in order until the plan's tasks fit, then drops those that were not
// needed after all.
func (s *Scheduler) fill(p *plan, q *query, victims []victim) {
	size := times(q.size, p.tasks)
	gain := size
	taken := map[*branch]model.Resources{}
	for _, v := range victims {
		if size.Fits(p.room()) {
			break
		}
		from := v.run.job.branch
		loss := taken[from].Add(v.size())
		if !s.keepsOrder(q.class, v, gain, loss) {
			continue
		}
		taken[from] = loss
		p.victims = append(p.victims, v)
	}
	for pos := 0; pos < len(p.victims); {
		if size.Fits(p.room().Sub(p.victims[pos].run.size)) {
			p.victims = slices.Delete(p.victims, pos, pos+1)
			continue
		}
		pos++
	}
	p.price()
}

// size is what the victim's branch loses.
func (v *victim) size() model.Resources {
	return times(v.run.size, len(v.all()))
}

// keepsOrder reports whether, at an equal claim or where a whole gang would stop, the
// gaining branch holds no more afterwards than the losing one.
func (s *Scheduler) keepsOrder(c *class, v victim, gain, loss model.Resources) bool {
	b := v.run.job.branch
	gang := v.run.job.Kind == model.KindGang && c.claim() > levelUrgent
	if b == c.branch || c.claim() < v.claim && !gang {
		return true
	}
	return s.weighted(c.branch, gain) <= s.weighted(b, model.Resources{}.Sub(loss))
}

// room is what is free on the worker once the victims are gone.
func (p *plan) room() model.Resources {
	room := p.base
	for _, v := range p.victims {
		room = room.Add(v.run.size)
	}
	return room
}

// price sums the victims' cost for each task placed.
func (p *plan) price() {
	p.cost = cost{claim: levelCount}
	for _, v := range p.victims {
		if !v.above {
			p.cost.within++
		}
		p.cost.gangs += len(v.all()) - 1
		p.cost.claim = min(p.cost.claim, v.claim)
		p.cost.lost += v.lost / float64(p.tasks)
	}
}

// carryOut asks the host to stop the plan's victims and holds the room they leave.
func (s *Scheduler) carryOut(q *query, p plan) {
	size := times(q.size, p.tasks)
	room := p.room()
	for _, v := range p.victims {
		for _, r := range v.all() {
			s.evict(r, q.class.branch.ID, "makes room for work with a higher claim")
		}
	}
	s.addHold(&hold{
		class: q.class, worker: p.worker, size: size, tasks: p.tasks, spare: room.Sub(size),
		from: s.cluster.now, expires: s.cluster.now.Add(s.opts.HoldTimeout),
	})
}

// evict asks the host to checkpoint and stop a run; its task is queued again by Finish.
func (s *Scheduler) evict(r *run, gainer model.BranchID, reason string) {
	if r.stop != stopNone {
		return
	}
	r.stop = stopPreempted
	r.job.branch.stopping = r.job.branch.stopping.Add(r.size)
	r.job.evict(r.index)
	s.stats.Preempted++
	d := r.decision(ActionPreempt, 0, reason)
	d.Beneficiary = gainer
	s.give(r, d)
}
