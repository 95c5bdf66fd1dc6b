package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/model"
)

// placeWaiting places waiting tasks and reserves workers for gangs and wide tasks that do not fit.
// A step that found no worker is retried only on workers with freed capacity, and requests advice
// or preempts at most every placementRetryInterval. The cost of a pass thus depends on what
// changed, not on the number of waiting steps.
func (d *Dispatcher) placeWaiting(now time.Duration) {
	freed := d.freedWorkers
	d.freedWorkers = nil
	for _, w := range freed {
		w.inFreedList = false
	}
	steps := d.readySteps(now)
	d.load.Passes++
	d.examinedBeforePass = d.load.Examined
	d.load.Ready, d.load.Unplaced = len(steps), 0
	d.startPass(steps)
	slices.SortStableFunc(steps, func(a, b *step) int { return d.compareSteps(now, a, b) })
	d.requestAdviceForSteps(now, steps)
	cleared := d.clearReservations()
	p := &placementPass{d: d, now: now, freed: freed, leastDemand: leastDemand(steps), noRoom: failedDemands{}}
	d.stepsUnplaced = false
	for len(steps) > 0 {
		n := 1
		for n < len(steps) && d.compareClasses(now, steps[0], steps[n]) == 0 {
			n++
		}
		p.placeClass(steps[:n])
		steps = steps[n:]
	}
	d.markUnreserved(cleared)
	p.wakeExhausted()
	if !d.suspended {
		d.preempt(now, p.unplaced)
	}
}

// placementPass is one pass over the ready steps.
type placementPass struct {
	d           *Dispatcher
	now         time.Duration
	freed       []*worker // since the last pass; without those that have no room any more
	leastDemand model.Resources
	unplaced    []*step // that found no worker, and are due for another attempt to get one
	exhausted   []*step // see advice.exhaustedUntil
	noRoom      failedDemands
}

// leastDemand returns, for each resource, the least that a task of any step needs.
func leastDemand(steps []*step) model.Resources {
	var least model.Resources
	for i, s := range steps {
		demand := reservedCapacity(s.def)
		if i == 0 {
			least = demand
		}
		least.MilliCPU = min(least.MilliCPU, demand.MilliCPU)
		least.MemoryMiB = min(least.MemoryMiB, demand.MemoryMiB)
		least.Accelerators = min(least.Accelerators, demand.Accelerators)
	}
	return least
}

// wakeExhausted lets the most urgent steps that had no worker to name in an advice call name those
// with freed capacity that no step has used.
func (p *placementPass) wakeExhausted() {
	for _, w := range p.freed {
		woken := 0
		for _, s := range p.exhausted {
			if woken == wokenPerWorker {
				break
			}
			p.d.load.Examined++
			if p.d.worthNaming(p.now, s, w, true) {
				s.advice.exhaustedUntil = 0
				woken++
			}
		}
	}
}

// placeClass places steps of one class: first up to the shares of their accounts, then what is left
// of the capacity.
func (p *placementPass) placeClass(steps []*step) {
	var aboveShare []*step
	for _, s := range steps {
		if p.d.hasShareLeft(s.job.account) {
			p.placeStep(s, true)
		}
		if s.waiting > 0 && !p.d.hasShareLeft(s.job.account) {
			aboveShare = append(aboveShare, s)
		} else {
			p.finishStep(s)
		}
	}
	for _, s := range aboveShare {
		p.placeStep(s, false)
		p.finishStep(s)
	}
}

// placeStep places what it can of a step, within the share of its account if withinShare is set.
func (p *placementPass) placeStep(s *step, withinShare bool) {
	if s.missedFreed && p.now >= s.retryDue {
		s.tryAllWorkers, s.missedFreed = true, false
	}
	candidates := p.freed
	if all := p.d.startCandidates(s); s.tryAllWorkers || len(all) < len(candidates) {
		candidates = all
	}
	if len(candidates) == 0 {
		return
	}
	if s.def.Gang && !s.tryAllWorkers && p.now < s.retryDue {
		s.missedFreed = true
		return
	}
	if s.postponed = s.def.Gang && !p.d.mayStartSearch(); s.postponed {
		return
	}
	tryAll := s.tryAllWorkers && s.sharesFailures()
	key, demand := placementKey(s), reservedCapacity(s.def)
	if tryAll && !s.hasSuspects && p.noRoom.found(p.now, key, demand) {
		return
	}
	waiting := s.waiting
	hadRoom := p.d.placeStep(p.now, s, candidates, withinShare)
	if !hadRoom && tryAll && len(p.d.reservations) == 0 { // reserved workers may have room for a shorter step
		p.noRoom.record(p.now, key, demand, 0)
	}
	if s.waiting < waiting {
		p.freed = slices.DeleteFunc(p.freed, func(w *worker) bool { return !p.leastDemand.FitsIn(w.free()) })
	}
}

// finishStep reserves capacity for what is left of a step, and determines when to try it again.
func (p *placementPass) finishStep(s *step) {
	d := p.d
	if s.waiting > 0 && !d.quotaAllows(p.now, s, s.startableTogether()) {
		s.tryAllWorkers = true // which capacity is freed until the quota allows it is not recorded
		return
	}
	if s.waiting > 0 && s.reservesCapacity() {
		d.reserve(p.now, s)
	}
	if s.waiting > 0 {
		d.load.Unplaced++
		if p.now < s.advice.exhaustedUntil {
			p.exhausted = append(p.exhausted, s)
		}
	}
	d.stepsUnplaced = d.stepsUnplaced || s.waiting > 0 && !s.advice.inFlight
	if s.postponed {
		return // it is still due
	}
	if s.waiting > 0 && (s.tryAllWorkers || p.now >= s.retryDue) {
		s.retryDue = p.now + placementRetryInterval
		p.unplaced = append(p.unplaced, s)
	}
	s.tryAllWorkers = s.waiting > 0 && s.hasDelayedTask
}

// readySteps returns the steps with tasks to place.
func (d *Dispatcher) readySteps(now time.Duration) []*step {
	var list []*step
	for _, j := range d.activeJobs {
		if !d.eligible(j) {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.waiting > 0 && now >= s.notBefore && s.ready() {
					list = append(list, s)
				}
			}
		}
	}
	return list
}
