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
	// exhaustedUntil is set when there was no worker to name. Until then, only a worker with freed
	// capacity ends that.
	exhaustedUntil time.Duration
	claimed        []*worker               // named by the call in flight
	claim          int64                   // milli-CPU claimed on each of them
	allowed        map[model.WorkerID]bool // an entry for every worker in an answered call
	tickets        map[model.WorkerID]ticket
	holders        []*worker // of tickets, in the order of the calls; some tickets may have expired
	// rejectedRounds is the number of attempts in a row in which starts were rejected for their tickets
	// and none was accepted; see backOffRejectedTickets.
	rejectedRounds int
	rejectedAt     time.Duration // the last of them
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

// addTicket records a ticket for the worker.
func (a *advice) addTicket(w *worker, t ticket) {
	a.tickets[w.entry.ID] = t
	if !slices.Contains(a.holders, w) {
		a.holders = append(a.holders, w)
	}
}

// dropExpired drops the tickets that cannot be used any more.
func (a *advice) dropExpired(now time.Duration) {
	a.holders = slices.DeleteFunc(a.holders, func(w *worker) bool {
		expired := !a.hasTicket(now, w.entry.ID)
		if expired {
			a.dropTicket(w.entry.ID)
		}
		return expired
	})
}

// startCandidates returns the workers that may be able to start tasks of the step. If its queue needs
// advice, these are the few that hold tickets, whatever the size of the fleet.
func (d *Dispatcher) startCandidates(s *step) []*worker {
	if s.job.queue.Advice != nil {
		return s.advice.holders
	}
	return d.workerList
}

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
		for _, o := range j.occurrences {
			for _, s := range o.steps {
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
	if policy == nil || a.inFlight || now < max(a.retryAt, a.exhaustedUntil) || d.adviceInFlight >= d.adviceSlots || !s.tryAllWorkers && now < s.adviceDue {
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
	if latency <= shortAdviceCall {
		d.claimRoom(s, candidates)
	}
	d.emit(AdviseCommand{Step: s.id, Workers: ids})
}

// claimRoom claims an equal part of what the step needs on each worker that its call names, so that
// calls in flight at the same time name different workers. Without that they all name those with the
// most room, and only the first to be answered can use it. Long calls claim nothing: the room is likely
// to be used meanwhile, by steps whose calls are answered earlier.
func (d *Dispatcher) claimRoom(s *step, named []*worker) {
	a := &s.advice
	a.claimed = named
	a.claim = reservedCapacity(s.def).MilliCPU * int64(min(s.waiting, len(named))) / int64(len(named))
	d.claimingCalls++
	for _, w := range named {
		w.claimedMilliCPU += a.claim
		d.freeWorkers.update(w)
	}
}

// releaseClaims releases the claims of an answered call, if it had any.
func (d *Dispatcher) releaseClaims(a *advice) {
	if len(a.claimed) == 0 {
		return
	}
	d.claimingCalls--
	for _, w := range a.claimed {
		w.claimedMilliCPU -= a.claim
		d.freeWorkers.update(w)
	}
	a.claimed = nil
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

// unreservedCandidates returns the workers to name for a step without reserved workers, those with
// the most free cores first: those that have room but no valid ticket and, while the step has tickets
// for fewer workers than a call names, those that no call has named. There are none if a worker with
// room has a valid ticket.
func (d *Dispatcher) unreservedCandidates(now time.Duration, s *step) []*worker {
	a := &s.advice
	limit := s.adviceWorkers()
	demand := reservedCapacity(s.def)
	valid := 0
	a.dropExpired(now)
	for _, w := range a.holders {
		d.load.Examined++
		if !w.placeable(now) || !d.satisfiesConstraints(s, w) {
			continue
		}
		if demand.FitsIn(w.free()) {
			return nil
		}
		valid++
	}
	onlyWithRoom := valid >= limit // more tickets without room would not let the step start earlier
	contested := false             // calls in flight may have claimed room that the step could use
	var list []*worker
	for w := range d.freeWorkers.descending() {
		if len(list) == limit {
			break
		}
		if onlyWithRoom && int64(w.freeClass+1)*coreMilliCPU <= demand.MilliCPU {
			contested = d.claimingCalls > 0
			break
		}
		d.load.Examined++
		if d.worthNaming(now, s, w, onlyWithRoom) {
			list = append(list, w)
		}
	}
	if len(list) == 0 && !contested {
		a.exhaustedUntil = now + adviceRescanInterval
	}
	return list
}

// worthNaming reports whether an advice call for the step should name the worker: if it has room but
// no valid ticket or, unless onlyWithRoom is set, if no call has named it.
func (d *Dispatcher) worthNaming(now time.Duration, s *step, w *worker, onlyWithRoom bool) bool {
	demand := reservedCapacity(s.def)
	if !w.placeable(now) || !d.satisfiesConstraints(s, w) || !demand.FitsIn(w.entry.Capacity) {
		return false
	}
	allowed, known := s.advice.allowed[w.entry.ID]
	if !known && !onlyWithRoom {
		return true
	}
	return (!known || allowed) && demand.FitsIn(w.free()) && !s.advice.hasTicket(now, w.entry.ID)
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
	d.releaseClaims(a)
	t.step.tryAllWorkers = true
	if err != nil {
		a.retryAt = now + adviceRetryDelay
		d.events.Record(event.AdviceFailed, id, len(requested), err)
		return
	}
	if a.allowed == nil {
		a.allowed, a.tickets = map[model.WorkerID]bool{}, map[model.WorkerID]ticket{}
	}
	a.dropExpired(now)
	for _, id := range requested {
		text, ok := allowed[id]
		a.allowed[id] = ok
		if w := d.workers[id]; ok && w != nil {
			a.addTicket(w, ticket{text: text, until: now + validity})
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
		for _, t := range s.occurrence.steps[a].tasks {
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
	// adviceRescanInterval is the time after which a step without workers to name examines all again.
	adviceRescanInterval = 500 * time.Millisecond
	// wokenPerWorker is the number of steps that may name a worker with freed capacity. Not all of them
	// are allowed to use it, and one is enough.
	wokenPerWorker = 4
)

// adviceLead is added to the latency of a call made ahead, for two hops between VMs and queueing.
const adviceLead = 100 * time.Millisecond
