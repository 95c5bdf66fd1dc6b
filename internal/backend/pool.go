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

	mu       sync.Mutex
	servers  map[ServerID]Server // usable ones of the service, owned here or not
	slots    map[ServerID]int    // of owned servers: slots that may be used when healthy
	part     int                 // of the service's slots, if they are shared evenly
	table    *SlotTable
	queue    *FairQueue[*waiter]
	times    ServiceTime
	branches map[model.BranchID]*ServiceTime
	ejector  *Ejector
	barred   map[PermitID]time.Time    // released before they were granted
	notes    map[ServerID]handoverNote // of former owners
	lost     map[ServerID]*lostServer  // to be handed over
	visitors int                       // waiters of other VMs
	borrows  int                       // permits being asked of other VMs
	borrowed int                       // permits of other VMs in use here
	passedOn map[PermitID]*passedOn    // borrowed permits that another VM uses
}

// waiter is a request that waits for a slot, here or on the VM that asks for a permit.
type waiter struct {
	ask     SlotRequest
	id      PermitID
	holder  model.VMID
	lease   time.Time       // end of the grant's lease
	settled chan settlement // receives exactly once, unless the waiter cancels
}

// passedOn is a borrowed permit that came when a waiter of another VM was next.
type passedOn struct {
	permit *Permit
	holder model.VMID
	lease  time.Time
}

// settlement is what a waiter gets.
type settlement struct {
	permit  *Permit
	refusal *Rejection
}

func newPool(options *Options, self model.VMID, service string, recorder event.Recorder) *pool {
	return &pool{
		options:  options,
		self:     self,
		service:  service,
		record:   recorder.Record,
		servers:  make(map[ServerID]Server),
		slots:    make(map[ServerID]int),
		table:    NewSlotTable(),
		queue:    NewFairQueue[*waiter](options.Queue),
		branches: make(map[model.BranchID]*ServiceTime),
		ejector:  NewEjector(options.Ejection),
		barred:   make(map[PermitID]time.Time),
		notes:    make(map[ServerID]handoverNote),
		lost:     make(map[ServerID]*lostServer),
		passedOn: make(map[PermitID]*passedOn),
	}
}

func newWaiter(ask SlotRequest, id PermitID, holder model.VMID, lease time.Time) *waiter {
	return &waiter{ask: ask, id: id, holder: holder, lease: lease, settled: make(chan settlement, 1)}
}

// acquire waits for a slot. queued is called once if the waiter has to wait.
func (p *pool) acquire(ctx context.Context, w *waiter, queued func()) (*Permit, error) {
	if !p.enter(w) {
		queued()
	}
	late := time.NewTimer(w.ask.Deadline.Sub(p.options.Now()))
	defer late.Stop()
	select {
	case s := <-w.settled:
		return s.result()
	case <-ctx.Done():
		return p.cancel(w, ReasonCanceled)
	case <-late.C:
		return p.cancel(w, ReasonLate)
	}
}

func (s settlement) result() (*Permit, error) {
	if s.refusal != nil {
		return nil, s.refusal
	}
	return s.permit, nil
}

// enter grants, refuses or queues the waiter; it reports whether it is settled.
func (p *pool) enter(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	if _, barred := p.barred[w.id]; barred {
		w.settled <- settlement{refusal: p.refusal(now, w.ask, ReasonCanceled)}
		return true
	}
	if p.queue.Len() == 0 && p.grant(now, w) {
		return true
	}
	if r := p.check(now, w.ask); r != nil {
		w.settled <- settlement{refusal: r}
		return true
	}
	item := Item[*waiter]{
		ID:          w.id,
		Branch:      w.ask.Branch,
		Share:       w.ask.Share,
		Cost:        p.cost(w.ask.Branch),
		Bytes:       w.ask.Bytes,
		LatestStart: w.ask.Deadline.Add(-p.times.UpperBound()),
		Value:       w,
	}
	evicted, ok := p.queue.Push(item)
	p.refuse(now, evicted, ReasonFull)
	if !ok {
		w.settled <- settlement{refusal: p.refusal(now, w.ask, ReasonFull)}
		return true
	}
	p.dispatch(now)
	return len(w.settled) > 0
}

// check returns the refusal of a request that cannot be in time.
func (p *pool) check(now time.Time, ask SlotRequest) *Rejection {
	if len(p.servers) == 0 {
		return p.refusal(now, ask, ReasonNoServer)
	}
	if now.Add(p.wait(ask) + p.times.UpperBound()).After(ask.Deadline) {
		return p.refusal(now, ask, ReasonLate)
	}
	return nil
}

// wait estimates how long a new request of the branch waits: the queue drains at
// the rate of the permits that are in use, or of this VM's slots where fewer are,
// as just after a change of owners.
func (p *pool) wait(ask SlotRequest) time.Duration {
	slots := max(1, p.table.Granted()+p.borrowed, p.table.Slots(), p.part)
	return p.times.EstimateWait(p.queue.RequestsAhead(ask.Branch, ask.Share), slots)
}

// cost is the slot time that a request of the branch is expected to take, in seconds.
func (p *pool) cost(branch model.BranchID) float64 {
	mean := p.times.Mean()
	if own, ok := p.branches[branch]; ok {
		mean = own.Mean()
	}
	return max(mean, minimumCost).Seconds()
}

// grant gives the waiter a free slot of an owned server.
func (p *pool) grant(now time.Time, w *waiter) bool {
	g := Grant{ID: w.id, Holder: w.holder, LeaseEnd: w.lease}
	g, ok := p.table.Grant(now, g, w.ask.Avoid)
	if !ok {
		return false
	}
	permit := &Permit{ID: w.id, Server: p.servers[g.Server], ServiceTimeBound: p.times.UpperBound()}
	permit.release = func(o Outcome) { p.release(w.id, o, p.options.Now().Sub(now), w.ask.Branch) }
	w.settled <- settlement{permit: permit}
	return true
}

// dispatch gives free slots to those who wait, in fair order.
func (p *pool) dispatch(now time.Time) {
	for p.table.Free(now) > 0 {
		item, late, ok := p.queue.Pop(now)
		p.refuse(now, late, ReasonLate)
		if !ok {
			return
		}
		p.grant(now, item.Value)
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
	p.observe(o, held, branch)
	if o == OutcomeRefused || o == OutcomeTimeout { // the server is still busy
		p.table.Withhold(now, g.Server, now.Add(max(p.times.UpperBound(), p.options.RefusalBackoff)))
	}
	if o != OutcomeTimeout { // counted by tick when it was overdue
		p.judge(now, g.Server, o)
	}
	p.dispatch(now)
}

// releaseUnknown ends a permit that this VM has not granted itself.
func (p *pool) releaseUnknown(now time.Time, id PermitID, o Outcome) {
	if passed, ok := p.passedOn[id]; ok {
		delete(p.passedOn, id)
		go passed.permit.Release(o) // it takes the lock again
		return
	}
	p.barred[id] = now.Add(barLife)
}

// observe learns from the time that a request held its slot.
func (p *pool) observe(o Outcome, held time.Duration, branch model.BranchID) {
	if o != OutcomeAnswered {
		return
	}
	p.times.Observe(held)
	own, ok := p.branches[branch]
	if !ok {
		own = &ServiceTime{}
		p.branches[branch] = own
	}
	own.Observe(held)
}

// judge tells the ejector the outcome and follows its decision.
func (p *pool) judge(now time.Time, id ServerID, o Outcome) {
	before := p.ejector.IsEjected(id)
	p.ejector.Observe(now, id, o)
	p.limit(now, id)
	switch after := p.ejector.IsEjected(id); {
	case after && !before:
		p.record(event.ServerEjected, string(id), p.service, p.ejector.EjectedCount())
	case before && !after:
		p.record(event.ServerRestored, string(id), p.service)
	}
}

// limit sets how many slots of an owned server may be used now.
func (p *pool) limit(now time.Time, id ServerID) {
	if slots, owned := p.slots[id]; owned {
		p.table.SetLimit(id, p.ejector.Limit(now, id, slots))
	}
}

// cancel takes the waiter out of the queue, or gives back what it was granted meanwhile.
func (p *pool) cancel(w *waiter, reason Reason) (*Permit, error) {
	p.mu.Lock()
	waited := p.queue.Remove(w.id)
	now := p.options.Now()
	refusal := p.refusal(now, w.ask, reason)
	p.mu.Unlock()
	if waited {
		return nil, refusal
	}
	s := <-w.settled
	if s.permit != nil {
		s.permit.Release(OutcomeUnused)
	}
	return nil, refusal
}

func (p *pool) refuse(now time.Time, items []Item[*waiter], reason Reason) {
	for _, item := range items {
		w := item.Value
		w.settled <- settlement{refusal: p.refusal(now, w.ask, reason)}
	}
}

// refusal says when to come back: after the queue has drained as far as the
// branch's place in it, spread by jitter.
func (p *pool) refusal(now time.Time, ask SlotRequest, reason Reason) *Rejection {
	wait := min(max(p.wait(ask), p.options.RetryAfterMin), p.options.RetryAfterMax)
	jitter := time.Duration(rand.Int64N(int64(wait)/2 + 1))
	return &Rejection{Reason: reason, RetryAfter: wait + jitter}
}
