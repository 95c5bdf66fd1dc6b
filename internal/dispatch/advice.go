package dispatch

import (
	"cmp"
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// advice is what the queue's policy said of a step. Which workers it allows does not
// change; the tickets expire.
type advice struct {
	inFlight bool
	retryAt  time.Duration
	allowed  map[model.WorkerID]bool // true: allowed
	tickets  map[model.WorkerID]ticket
}

type ticket struct {
	text  string
	until time.Duration
}

func (a *advice) hasTicket(now time.Duration, id model.WorkerID) bool {
	t, ok := a.tickets[id]
	return ok && now+ticketMargin < t.until
}

func (a *advice) ticket(id model.WorkerID) string { return a.tickets[id].text }

func (a *advice) dropTicket(id model.WorkerID) { delete(a.tickets, id) }

// askAdvice sends the calls for advice that the most urgent steps need, and those for
// steps whose turn comes while a call takes its time.
func (d *Dispatcher) requestAdviceForSteps(now time.Duration, ready []*step) {
	if d.adviceInFlight >= d.adviceSlots {
		return
	}
	for _, s := range ready {
		d.requestAdvice(now, s)
	}
	for _, j := range d.activeJobs {
		if j.queue.Advice == nil || !d.eligible(j) {
			continue
		}
		for _, steps := range j.steps {
			for _, s := range steps {
				if s.waiting == len(s.tasks) && !s.ready() && d.readySoon(now, s) {
					d.requestAdvice(now, s)
				}
			}
		}
	}
}

// ask sends one call for the step if a worker with room has no ticket and none has one.
func (d *Dispatcher) requestAdvice(now time.Duration, s *step) {
	a := &s.advice
	policy := s.job.queue.Advice
	if policy == nil || a.inFlight || now < a.retryAt || d.adviceInFlight >= d.adviceSlots || !s.tryAllWorkers && now < s.adviceDue {
		return
	}
	s.adviceDue = now + placementRetryInterval
	var candidates []*worker
	usable := 0
	for _, w := range d.workerList {
		if !w.placeable(now) || !d.satisfiesConstraints(s, w) || !reservedCapacity(s.def).FitsIn(w.entry.Capacity) {
			continue
		}
		allowed, known := a.allowed[w.entry.ID]
		fits := reservedCapacity(s.def).FitsIn(w.free())
		switch {
		case known && !allowed:
		case a.hasTicket(now, w.entry.ID):
			if fits {
				usable++
			}
		case !known || fits:
			candidates = append(candidates, w)
		}
	}
	if usable > 0 || len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, func(x, y *worker) int { return cmp.Compare(y.free().MilliCPU, x.free().MilliCPU) })
	candidates = candidates[:min(len(candidates), maxAdviceWorkers)]
	names := make([]model.WorkerID, len(candidates))
	for i, w := range candidates {
		names[i] = w.entry.ID
	}
	cost := policy.BaseLatency + time.Duration(len(names))*policy.LatencyPerWorker
	if cost > shortAdviceCall && d.adviceSlots-d.adviceInFlight <= d.adviceSlots/reservedSlotDivisor {
		return
	}
	a.inFlight = true
	d.adviceInFlight++
	d.emit(AdviseCommand{Step: s.id, Workers: names})
}

// HandleAdvice takes the answer of the advice service; validity counts from the answer.
func (d *Dispatcher) HandleAdvice(now time.Duration, id fleet.StepID, named []model.WorkerID, allowed map[model.WorkerID]string, validity time.Duration, err error) {
	d.adviceInFlight--
	t := d.findTask(fleet.TaskID{StepID: id})
	if t == nil {
		return
	}
	a := &t.step.advice
	a.inFlight = false
	t.step.tryAllWorkers = true
	if err != nil {
		a.retryAt = now + adviceRetryDelay
		d.events.Record(event.AdviceFailed, id, len(named), err)
		return
	}
	if a.allowed == nil {
		a.allowed, a.tickets = map[model.WorkerID]bool{}, map[model.WorkerID]ticket{}
	}
	for _, w := range named {
		text, ok := allowed[w]
		a.allowed[w] = ok
		if ok {
			a.tickets[w] = ticket{text: text, until: now + validity}
		}
	}
	d.events.Record(event.AdviceTaken, id, len(named), len(allowed), validity)
}

// comesSoon reports whether the steps before will end within the time that a call takes.
func (d *Dispatcher) readySoon(now time.Duration, s *step) bool {
	policy := s.job.queue.Advice
	takes := policy.BaseLatency + time.Duration(min(len(d.workerList), maxAdviceWorkers))*policy.LatencyPerWorker + adviceLead
	for _, a := range s.def.After {
		for _, t := range s.job.steps[s.id.Occurrence][a].tasks {
			switch {
			case t.state == taskDone:
			case t.state == taskWaiting || len(t.runs) == 0 || t.runs[0].confirmedAt == 0:
				return false
			default:
				left := time.Duration(float64(t.step.def.Estimate) * float64(fullPace-t.runs[0].percent) / fullPace)
				left -= now - t.runs[0].progressAt
				if left > takes {
					return false
				}
			}
		}
	}
	return true
}

// Some VMs are kept for calls that take little time: behind long ones the steps of people
// who wait would lose more time than they run.
const (
	shortAdviceCall     = 150 * time.Millisecond
	reservedSlotDivisor = 4 // one in so many
)

// adviceLead is asked ahead beside the call's own time: two hops between VMs and queueing.
const adviceLead = 100 * time.Millisecond
