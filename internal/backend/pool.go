package backend

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
)

// pool shares the slots that this VM owns of one service, and the permits that it
// borrows, among the requests that wait here. Safe for concurrent use.
type pool struct {
	options *Options
	self    model.VMID
	service string
	record  func(def *event.Def, values ...any)

	mu                 sync.Mutex
	servers            map[ServerID]Server // usable ones of the service, owned here or not
	ownedSlots         map[ServerID]int    // of owned servers: slots that may be used when healthy
	slotsPerVM         int                 // of the service's slots, if they are shared evenly
	table              *SlotTable
	queue              *FairQueue[*waiter]
	serviceTime        ServiceTime
	branchServiceTimes map[model.BranchID]*ServiceTime
	ejector            *Ejector
	earlyReleases      map[PermitID]time.Time        // released before they were granted
	handoverReports    map[ServerID]handoverReport   // of former owners
	lostServers        map[ServerID]*lostServer      // to be handed over
	remoteWaiters      int                           // waiters of other VMs
	pendingBorrows     int                           // permits being asked of other VMs
	borrowedPermits    int                           // permits of other VMs in use here
	forwardedPermits   map[PermitID]*forwardedPermit // borrowed permits that another VM uses
}

// waiter is a request that waits for a slot, here or on the VM that asks for a permit.
type waiter struct {
	request  SlotRequest
	id       PermitID
	holder   model.VMID
	leaseEnd time.Time          // end of the grant's lease
	result   chan acquireResult // receives exactly once, unless the waiter cancels
}

// forwardedPermit is a borrowed permit that came when a waiter of another VM was next.
type forwardedPermit struct {
	permit   *Permit
	holder   model.VMID
	leaseEnd time.Time
}

// acquireResult is what a waiter gets.
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

func newWaiter(ask SlotRequest, id PermitID, holder model.VMID, lease time.Time) *waiter {
	return &waiter{request: ask, id: id, holder: holder, leaseEnd: lease, result: make(chan acquireResult, 1)}
}

// acquire waits for a slot. queued is called once if the waiter has to wait.
func (p *pool) acquire(ctx context.Context, w *waiter, queued func()) (*Permit, error) {
	if !p.grantOrQueue(w) {
		queued()
	}
	late := time.NewTimer(w.request.Deadline.Sub(p.options.Now()))
	defer late.Stop()
	select {
	case s := <-w.result:
		return s.permitOrError()
	case <-ctx.Done():
		return p.cancelWaiter(w, ReasonCanceled)
	case <-late.C:
		return p.cancelWaiter(w, ReasonLate)
	}
}

func (s acquireResult) permitOrError() (*Permit, error) {
	if s.rejection != nil {
		return nil, s.rejection
	}
	return s.permit, nil
}

// grantOrQueue grants, refuses or queues the waiter; it reports whether it is settled.
func (p *pool) grantOrQueue(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	if _, barred := p.earlyReleases[w.id]; barred {
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

// checkAdmission returns the refusal of a request that cannot be in time.
func (p *pool) checkAdmission(now time.Time, ask SlotRequest) *Rejection {
	if len(p.servers) == 0 {
		return p.newRejection(now, ask, ReasonNoServer)
	}
	if now.Add(p.estimateWait(ask) + p.serviceTime.UpperBound()).After(ask.Deadline) {
		return p.newRejection(now, ask, ReasonLate)
	}
	return nil
}

// estimateWait estimates how long a new request of the branch waits: the queue drains at
// the rate of the permits that are in use, or of this VM's slots where fewer are,
// as just after a change of owners.
func (p *pool) estimateWait(ask SlotRequest) time.Duration {
	slots := max(1, p.table.Granted()+p.borrowedPermits, p.table.Slots(), p.slotsPerVM)
	return p.serviceTime.EstimateWait(p.queue.RequestsAhead(ask.Branch, ask.Share), slots)
}

// expectedCost is the slot time that a request of the branch is expected to take, in seconds.
func (p *pool) expectedCost(branch model.BranchID) float64 {
	mean := p.serviceTime.Mean()
	if own, ok := p.branchServiceTimes[branch]; ok {
		mean = own.Mean()
	}
	return max(mean, minimumCost).Seconds()
}

// grantFreeSlot gives the waiter a free slot of an owned server.
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

// grantToWaiters gives free slots to those who wait, in fair order.
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

// release ends a grant and passes the slot on. A permit that is not known is
// barred, in case its release has overtaken the request for it.
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
	if o != OutcomeTimeout { // counted by tick when it was overdue
		p.observeOutcome(now, g.Server, o)
	}
	p.grantToWaiters(now)
}

// releaseUnknown ends a permit that this VM has not granted itself.
func (p *pool) releaseUnknown(now time.Time, id PermitID, o Outcome) {
	if passed, ok := p.forwardedPermits[id]; ok {
		delete(p.forwardedPermits, id)
		go passed.permit.Release(o) // it takes the lock again
		return
	}
	p.earlyReleases[id] = now.Add(earlyReleaseTTL)
}

// observeServiceTime learns from the time that a request held its slot.
func (p *pool) observeServiceTime(o Outcome, held time.Duration, branch model.BranchID) {
	if o != OutcomeAnswered {
		return
	}
	p.serviceTime.Observe(held)
	own, ok := p.branchServiceTimes[branch]
	if !ok {
		own = &ServiceTime{}
		p.branchServiceTimes[branch] = own
	}
	own.Observe(held)
}

// observeOutcome tells the ejector the outcome and follows its decision.
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

// updateLimit sets how many slots of an owned server may be used now.
func (p *pool) updateLimit(now time.Time, id ServerID) {
	if slots, owned := p.ownedSlots[id]; owned {
		p.table.SetLimit(id, p.ejector.Limit(now, id, slots))
	}
}

// cancelWaiter takes the waiter out of the queue, or gives back what it was granted meanwhile.
func (p *pool) cancelWaiter(w *waiter, reason Reason) (*Permit, error) {
	p.mu.Lock()
	waited := p.queue.Remove(w.id)
	now := p.options.Now()
	refusal := p.newRejection(now, w.request, reason)
	p.mu.Unlock()
	if waited {
		return nil, refusal
	}
	s := <-w.result
	if s.permit != nil {
		s.permit.Release(OutcomeUnused)
	}
	return nil, refusal
}

func (p *pool) rejectAll(now time.Time, items []Item[*waiter], reason Reason) {
	for _, item := range items {
		w := item.Value
		w.result <- acquireResult{rejection: p.newRejection(now, w.request, reason)}
	}
}

// newRejection says when to come back: after the queue has drained as far as the
// branch's place in it, spread by jitter.
func (p *pool) newRejection(now time.Time, ask SlotRequest, reason Reason) *Rejection {
	wait := min(max(p.estimateWait(ask), p.options.RetryAfterMin), p.options.RetryAfterMax)
	jitter := time.Duration(rand.Int64N(int64(wait)/2 + 1))
	return &Rejection{Reason: reason, RetryAfter: wait + jitter}
}
