package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// advice is the advice service's response for a step. The set of allowed workers does not
// change; the tickets expire.
type advice struct {
	inFlight bool
	retryAt  time.Duration
	allowed  map[model.WorkerID]bool // an entry for every worker in an answered call
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

// requestAdviceForSteps sends the advice calls that the most urgent ready steps need, then
// those for steps that will become ready within the latency of a call.
func (d *Dispatcher) requestAdviceForSteps(now time.Duration, ready []*step) {
	if d.adviceInFlight >= d.adviceSlots {
		return
	}
	for _, s := range ready {
		if d.quotaAllows(now, s, s.startableTogether()) {
			d.requestAdvice(now, s)
		}
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

// requestAdvice sends an advice call for the step if it needs tickets and there are workers to name
// in the call.
func (d *Dispatcher) requestAdvice(now time.Duration, s *step) {
	a := &s.advice
	policy := s.job.queue.Advice
	if policy == nil || a.inFlight || now < a.retryAt || d.adviceInFlight >= d.adviceSlots || !s.tryAllWorkers && now < s.adviceDue {
		return
	}
	if policy.Latency(1) > shortAdviceCall && d.onlyReservedSlotsFree() {
		return // before the candidates are determined, which is costly
	}
	s.adviceDue = now + placementRetryInterval
	candidates := d.adviceCandidates(now, s)
	if len(candidates) == 0 {
		return
	}
	candidates = candidates[:min(len(candidates), s.adviceWorkers())]
	ids := make([]model.WorkerID, len(candidates))
	for i, w := range candidates {
		ids[i] = w.entry.ID
	}
	latency := policy.Latency(len(ids))
	if latency > shortAdviceCall && d.onlyReservedSlotsFree() {
		return
	}
	a.inFlight = true
	d.adviceInFlight++
	d.emit(AdviseCommand{Step: s.id, Workers: ids})
}

// onlyReservedSlotsFree reports whether all free advice slots are reserved for short calls.
func (d *Dispatcher) onlyReservedSlotsFree() bool {
	return d.adviceSlots-d.adviceInFlight <= d.adviceSlots/reservedSlotDivisor
}

// adviceWorkers returns the maximum number of workers to name in a call for the step. Each worker
// lengthens the call, during which its slot serves no other step.
func (s *step) adviceWorkers() int {
	return min(max(adviceWorkersPerTask*s.waiting, objectiveAdviceWorkers), maxAdviceWorkers)
}

// adviceCandidates returns the workers to name in an advice call for the step, the best first;
// none if no call is needed now.
func (d *Dispatcher) adviceCandidates(now time.Duration, s *step) []*worker {
	if s.reservation == nil {
		return d.unreservedCandidates(now, s)
	}
	if renew := d.ticketsToRenew(now, s); len(renew) > 0 || s.reservation.readyAt <= now+ticketLatency(s) {
		return renew
	}
	return d.unknownWorkers(now, s)
}

// unreservedCandidates returns the workers to name for a step without reserved workers: those that
// no call has named and those that have room but no valid ticket. There are none if a worker with
// room has a valid ticket.
func (d *Dispatcher) unreservedCandidates(now time.Duration, s *step) []*worker {
	a := &s.advice
	best := &freestWorkers{limit: s.adviceWorkers()}
	for _, w := range d.workerList {
		d.load.Examined++
		if !w.placeable(now) || !d.satisfiesConstraints(s, w) || !reservedCapacity(s.def).FitsIn(w.entry.Capacity) {
			continue
		}
		allowed, known := a.allowed[w.entry.ID]
		fits := reservedCapacity(s.def).FitsIn(w.free())
		switch {
		case known && !allowed:
		case a.hasTicket(now, w.entry.ID):
			if fits {
				return nil
			}
		case !known || fits:
			best.add(w)
		}
	}
	return best.list
}

// freestWorkers selects the workers with the most free CPU, the earlier one among equals. In a large
// fleet most workers then cost one comparison.
type freestWorkers struct {
	limit int
	list  []*worker // in descending order
}

func (f *freestWorkers) add(w *worker) {
	free := w.free().MilliCPU
	if len(f.list) == f.limit && f.list[f.limit-1].free().MilliCPU >= free {
		return
	}
	at, _ := slices.BinarySearchFunc(f.list, free, func(other *worker, free int64) int {
		if other.free().MilliCPU >= free {
			return -1
		}
		return 1
	})
	f.list = slices.Insert(f.list, at, w)
	f.list = f.list[:min(len(f.list), f.limit)]
}

// ticketLatency returns how long an advice call that names all reserved workers takes.
func ticketLatency(s *step) time.Duration {
	return s.job.queue.Advice.Latency(len(s.reservation.members)) + adviceLead
}

// unknownWorkers returns workers with room for a task of the step that no advice call has named.
func (d *Dispatcher) unknownWorkers(now time.Duration, s *step) []*worker {
	var unknown []*worker
	d.load.Examined += int64(len(d.workerList))
	for _, w := range d.workerList {
		_, known := s.advice.allowed[w.entry.ID]
		if !known && w.placeable(now) && d.satisfiesConstraints(s, w) && reservedCapacity(s.def).FitsIn(w.free()) {
			unknown = append(unknown, w)
		}
	}
	return unknown
}

// ticketsToRenew returns the reserved workers that the step can use before an advice call made now
// would be answered, and whose tickets will have expired then.
func (d *Dispatcher) ticketsToRenew(now time.Duration, s *step) []*worker {
	r := s.reservation
	answeredAt := now + ticketLatency(s)
	var expiring []*worker
	covered := true
	for _, w := range r.workers() {
		if r.startAt(w) > answeredAt {
			continue
		}
		covered = covered && s.advice.hasTicket(now+d.opts.StopTimeout, w.entry.ID)
		if !s.advice.hasTicket(answeredAt+d.opts.StopTimeout, w.entry.ID) {
			expiring = append(expiring, w)
		}
	}
	if covered {
		return nil
	}
	return expiring
}

// HandleAdvice processes the response to an AdviseCommand. requested are the workers in the call;
// allowed maps those allowed to their tickets, which are valid for validity from now.
func (d *Dispatcher) HandleAdvice(now time.Duration, id fleet.StepID, requested []model.WorkerID, allowed map[model.WorkerID]string, validity time.Duration, err error) {
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
		d.events.Record(event.AdviceFailed, id, len(requested), err)
		return
	}
	if a.allowed == nil {
		a.allowed, a.tickets = map[model.WorkerID]bool{}, map[model.WorkerID]ticket{}
	}
	for _, w := range requested {
		text, ok := allowed[w]
		a.allowed[w] = ok
		if ok {
			a.tickets[w] = ticket{text: text, until: now + validity}
		}
	}
	d.events.Record(event.AdviceReceived, id, len(requested), len(allowed), validity)
}

// readySoon reports whether the steps that s depends on will probably complete within the
// latency of an advice call.
func (d *Dispatcher) readySoon(now time.Duration, s *step) bool {
	policy := s.job.queue.Advice
	latency := policy.Latency(min(len(d.workerList), maxAdviceWorkers)) + adviceLead
	for _, a := range s.def.After {
		for _, t := range s.job.steps[s.id.Occurrence][a].tasks {
			switch {
			case t.state == taskDone:
			case t.state == taskWaiting || len(t.runs) == 0 || t.runs[0].confirmedAt == 0:
				return false
			default:
				left := time.Duration(float64(t.step.def.Estimate) * float64(fullPace-t.runs[0].percent) / fullPace)
				left -= now - t.runs[0].progressAt
				if left > latency {
					return false
				}
			}
		}
	}
	return true
}

// Some advice slots are reserved for short calls. Behind long calls, steps that callers wait
// for would be delayed by more than their run time.
const (
	shortAdviceCall     = 150 * time.Millisecond
	reservedSlotDivisor = 4 // one in this many slots is reserved
	// adviceWorkersPerTask allows for workers that are not allowed or whose room is taken before the response arrives.
	adviceWorkersPerTask = 2
)

// adviceLead is added to the latency of a call made ahead, for two hops between VMs and queueing.
const adviceLead = 100 * time.Millisecond
