package backend

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
)

// pool grants the slots of one service that this VM owns, and the permits that it
// borrows, to requests of this VM and of other VMs. Safe for concurrent use.
type pool struct {
	options *Options
	self    model.VMID
	service string
	record  func(def *event.Definition, values ...any)

	mu                 sync.Mutex
	servers            map[ServerID]Server // usable servers of the service, owned or not
	ownedSlots         map[ServerID]int    // per owned server: slots that may be used while it is healthy
	slotsPerVM         int                 // even split of the service's slots among the VMs
	table              *SlotTable
	queue              *FairQueue[*waiter]
	serviceTime        ServiceTime
	branchServiceTimes map[model.BranchID]*ServiceTime
	ejector            *Ejector
	earlyReleases      map[PermitID]time.Time        // permits released before their grant, with the end of the entry
	handoverReports    map[ServerID]handoverReport   // from previous owners
	lostServers        map[ServerID]*lostServer      // servers to hand over
	remoteWaiters      int                           // queued waiters of other VMs
	pendingBorrows     int                           // permit requests in flight to other VMs
	borrowedPermits    int                           // permits of other owners in use
	forwardedPermits   map[PermitID]*forwardedPermit // borrowed permits used by other VMs
}

// waiter is a request that waits for a slot. The request is on this VM or on a VM
// that borrows a permit.
type waiter struct {
	request  SlotRequest
	id       PermitID
	holder   model.VMID
	leaseEnd time.Time          // of the grant
	result   chan acquireResult // gets exactly one value, unless the waiter is canceled first
}

// forwardedPermit is a borrowed permit that was granted to a waiter of another VM,
// which was next in the queue.
type forwardedPermit struct {
	permit   *Permit
	holder   model.VMID
	leaseEnd time.Time
}

// acquireResult is the result for a waiter: a permit or a rejection.
type acquireResult struct {
	permit    *Permit
	rejection *Rejection
}

func newPool(options *Options, self model.VMID, service string, recorder event.Recorder) *pool {
	return &pool{
		options:            options,
		self:               self,
		service:            service,
		record:             recorder.Record,
		servers:            make(map[ServerID]Server),
		ownedSlots:         make(map[ServerID]int),
		table:              NewSlotTable(),
		queue:              NewFairQueue[*waiter](options.Queue),
		branchServiceTimes: make(map[model.BranchID]*ServiceTime),
		ejector:            NewEjector(options.Ejection),
		earlyReleases:      make(map[PermitID]time.Time),
		handoverReports:    make(map[ServerID]handoverReport),
		lostServers:        make(map[ServerID]*lostServer),
		forwardedPermits:   make(map[PermitID]*forwardedPermit),
	}
}

func newWaiter(request SlotRequest, id PermitID, holder model.VMID, leaseEnd time.Time) *waiter {
	return &waiter{request: request, id: id, holder: holder, leaseEnd: leaseEnd, result: make(chan acquireResult, 1)}
}

// acquire waits for a slot. It calls queued once if the waiter is queued.
func (p *pool) acquire(ctx context.Context, w *waiter, queued func()) (*Permit, error) {
	if !p.grantOrQueue(w) {
		queued()
	}
	deadline := time.NewTimer(w.request.Deadline.Sub(p.options.Now()))
	defer deadline.Stop()
	select {
	case result := <-w.result:
		return result.permitOrError()
	case <-ctx.Done():
		return p.cancelWaiter(w, ReasonCanceled)
	case <-deadline.C:
		return p.cancelWaiter(w, ReasonLate)
	}
}

func (r acquireResult) permitOrError() (*Permit, error) {
	if r.rejection != nil {
		return nil, r.rejection
	}
	return r.permit, nil
}

// grantOrQueue grants a slot to the waiter, rejects it or queues it. It reports
// whether the waiter has its result.
func (p *pool) grantOrQueue(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	if _, released := p.earlyReleases[w.id]; released {
		w.result <- acquireResult{rejection: p.newRejection(now, w.request, ReasonCanceled)}
		return true
	}
	if p.queue.Len() == 0 && p.grantFreeSlot(now, w) {
		return true
	}
	if r := p.checkAdmission(now, w.request); r != nil {
		w.result <- acquireResult{rejection: r}
		return true
	}
	item := Item[*waiter]{
		ID:          w.id,
		Branch:      w.request.Branch,
		Share:       w.request.Share,
		Cost:        p.expectedCost(w.request.Branch),
		Bytes:       w.request.Bytes,
		LatestStart: w.request.Deadline.Add(-p.serviceTime.UpperBound()),
		Value:       w,
	}
	evicted, ok := p.queue.Push(item)
	p.rejectAll(now, evicted, ReasonFull)
	if !ok {
		w.result <- acquireResult{rejection: p.newRejection(now, w.request, ReasonFull)}
		return true
	}
	p.grantToWaiters(now)
	return len(w.result) > 0
}

// checkAdmission returns a rejection if no server is usable or the request can't
// meet its deadline.
func (p *pool) checkAdmission(now time.Time, request SlotRequest) *Rejection {
	if len(p.servers) == 0 {
		return p.newRejection(now, request, ReasonNoServer)
	}
	if now.Add(p.estimateWait(request) + p.serviceTime.UpperBound()).After(request.Deadline) {
		return p.newRejection(now, request, ReasonLate)
	}
	return nil
}

// estimateWait estimates how long a new request of the branch waits. The queue
// drains at the rate of the permits in use. Where fewer are in use than this VM
// owns slots, or than an even split, as just after a change of owners, those set
// the rate.
func (p *pool) estimateWait(request SlotRequest) time.Duration {
	slots := max(1, p.table.Granted()+p.borrowedPermits, p.table.Slots(), p.slotsPerVM)
	return p.serviceTime.EstimateWait(p.queue.RequestsAhead(request.Branch, request.Share), slots)
}

// expectedCost returns the expected slot time of a request of the branch in
// seconds, at least minimumCost.
func (p *pool) expectedCost(branch model.BranchID) float64 {
	mean := p.serviceTime.Mean()
	if branchTime, ok := p.branchServiceTimes[branch]; ok {
		mean = branchTime.Mean()
	}
	return max(mean, minimumCost).Seconds()
}

// grantFreeSlot grants a free slot of an owned server to the waiter. It reports
// false if none is free.
func (p *pool) grantFreeSlot(now time.Time, w *waiter) bool {
	g := Grant{ID: w.id, Holder: w.holder, LeaseEnd: w.leaseEnd}
	g, ok := p.table.Grant(now, g, w.request.Avoid)
	if !ok {
		return false
	}
	permit := &Permit{ID: w.id, Server: p.servers[g.Server], ServiceTimeBound: p.serviceTime.UpperBound()}
	permit.release = func(o Outcome) { p.release(w.id, o, p.options.Now().Sub(now), w.request.Branch) }
	w.result <- acquireResult{permit: permit}
	return true
}

// grantToWaiters grants free slots to waiters in the order of the fair queue.
func (p *pool) grantToWaiters(now time.Time) {
	for p.table.Free(now) > 0 {
		item, late, ok := p.queue.Pop(now)
		p.rejectAll(now, late, ReasonLate)
		if !ok {
			return
		}
		p.grantFreeSlot(now, item.Value)
	}
}

// release ends a grant and grants the slot to the next waiter. It records the id of
// an unknown permit, as the release may have arrived before the request.
func (p *pool) release(id PermitID, o Outcome, held time.Duration, branch model.BranchID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	g, ok := p.table.Release(id)
	if !ok {
		p.releaseUnknown(now, id, o)
		return
	}
	p.observeServiceTime(o, held, branch)
	if o == OutcomeRefused || o == OutcomeTimeout { // the server is still busy
		p.table.Withhold(now, g.Server, now.Add(max(p.serviceTime.UpperBound(), p.options.RefusalBackoff)))
	}
	if o != OutcomeTimeout { // tick has counted the failure already
		p.observeOutcome(now, g.Server, o)
	}
	p.grantToWaiters(now)
}

// releaseUnknown releases a permit that is not in the slot table. It returns a
// forwarded permit to its owner. Any other id is recorded so that a request that
// arrives later is not granted.
func (p *pool) releaseUnknown(now time.Time, id PermitID, o Outcome) {
	if forwarded, ok := p.forwardedPermits[id]; ok {
		delete(p.forwardedPermits, id)
		go forwarded.permit.Release(o) // takes mu, which is held here
		return
	}
	p.earlyReleases[id] = now.Add(earlyReleaseTTL)
}

// observeServiceTime adds the time that an answered request held its slot to the
// estimates of the service and of the branch.
func (p *pool) observeServiceTime(o Outcome, held time.Duration, branch model.BranchID) {
	if o != OutcomeAnswered {
		return
	}
	p.serviceTime.Observe(held)
	branchTime, ok := p.branchServiceTimes[branch]
	if !ok {
		branchTime = &ServiceTime{}
		p.branchServiceTimes[branch] = branchTime
	}
	branchTime.Observe(held)
}

// observeOutcome passes the outcome to the ejector and applies its decision.
func (p *pool) observeOutcome(now time.Time, id ServerID, o Outcome) {
	before := p.ejector.IsEjected(id)
	p.ejector.Observe(now, id, o)
	p.updateLimit(now, id)
	switch after := p.ejector.IsEjected(id); {
	case after && !before:
		p.record(event.ServerEjected, string(id), p.service, p.ejector.EjectedCount())
	case before && !after:
		p.record(event.ServerRestored, string(id), p.service)
	}
}

// updateLimit applies the ejector's limit to the slots of an owned server.
func (p *pool) updateLimit(now time.Time, id ServerID) {
	if slots, owned := p.ownedSlots[id]; owned {
		p.table.SetLimit(id, p.ejector.Limit(now, id, slots))
	}
}

// cancelWaiter removes the waiter from the queue. If the waiter got a permit
// meanwhile, it releases that permit.
func (p *pool) cancelWaiter(w *waiter, reason Reason) (*Permit, error) {
	p.mu.Lock()
	queued := p.queue.Remove(w.id)
	now := p.options.Now()
	rejection := p.newRejection(now, w.request, reason)
	p.mu.Unlock()
	if queued {
		return nil, rejection
	}
	result := <-w.result
	if result.permit != nil {
		result.permit.Release(OutcomeUnused)
	}
	return nil, rejection
}

func (p *pool) rejectAll(now time.Time, items []Item[*waiter], reason Reason) {
	for _, item := range items {
		w := item.Value
		w.result <- acquireResult{rejection: p.newRejection(now, w.request, reason)}
	}
}

// newRejection returns a rejection with the retry delay: the estimated wait of the
// branch within the configured bounds, plus jitter of up to half of it.
func (p *pool) newRejection(now time.Time, request SlotRequest, reason Reason) *Rejection {
	wait := min(max(p.estimateWait(request), p.options.RetryAfterMin), p.options.RetryAfterMax)
	jitter := time.Duration(rand.Int64N(int64(wait)/2 + 1))
	return &Rejection{Reason: reason, RetryAfter: wait + jitter}
}
