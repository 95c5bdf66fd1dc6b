package backend

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"filbertcross/internal/model"
)

// pool shares the slots that this VM owns of one service among the requests
// that wait here. Safe for concurrent use.
type pool struct {
	options *Options
	service string

	mu       sync.Mutex
	servers  map[ServerID]Server // all of the service, owned here or not
	table    *SlotTable
	queue    *FairQueue[*waiter]
	times    ServiceTime
	branches map[model.BranchID]*ServiceTime
	ejector  *Ejector
}

// waiter is a request that waits for a slot.
type waiter struct {
	ask     Ask
	id      PermitID
	holder  model.VMID
	settled chan settlement // receives exactly once, unless the waiter cancels
}

// settlement is what a waiter gets.
type settlement struct {
	permit  *Permit
	refusal *Refusal
}

func newPool(options *Options, service string) *pool {
	return &pool{
		options:  options,
		service:  service,
		servers:  make(map[ServerID]Server),
		table:    NewSlotTable(),
		queue:    NewFairQueue[*waiter](options.Queue),
		branches: make(map[model.BranchID]*ServiceTime),
		ejector:  NewEjector(options.Ejection),
	}
}

// acquire waits for a slot. queued is called once if the request has to wait.
func (p *pool) acquire(ctx context.Context, ask Ask, id PermitID, holder model.VMID, queued func()) (*Permit, error) {
	w := &waiter{ask: ask, id: id, holder: holder, settled: make(chan settlement, 1)}
	if !p.enter(w) {
		queued()
	}
	late := time.NewTimer(time.Until(ask.Deadline))
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
	if p.queue.Len() == 0 && p.grant(now, w) {
		return true
	}
	if r := p.check(now, w.ask); r != nil {
		w.settled <- settlement{refusal: r}
		return true
	}
	item := Item[*waiter]{
		ID:     w.id,
		Branch: w.ask.Branch,
		Share:  w.ask.Share,
		Cost:   p.cost(w.ask.Branch),
		Bytes:  w.ask.Bytes,
		Latest: w.ask.Deadline.Add(-p.times.Mean()),
		Value:  w,
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
func (p *pool) check(now time.Time, ask Ask) *Refusal {
	if len(p.servers) == 0 {
		return p.refusal(now, ask, ReasonNoServer)
	}
	wait := p.times.Wait(p.queue.Ahead(ask.Branch, ask.Share), p.table.Slots())
	if now.Add(wait + p.times.Mean()).After(ask.Deadline) {
		return p.refusal(now, ask, ReasonLate)
	}
	return nil
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
	g := Grant{ID: w.id, Holder: w.holder, Until: w.ask.Deadline.Add(p.options.LeaseMargin)}
	g, ok := p.table.Grant(now, g, w.ask.Avoid)
	if !ok {
		return false
	}
	permit := &Permit{Server: p.servers[g.Server]}
	permit.release = func(o Outcome) { p.release(g.ID, o, p.options.Now().Sub(now), w.ask.Branch) }
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

// release ends a grant of an owned server and passes the slot on.
func (p *pool) release(id PermitID, o Outcome, held time.Duration, branch model.BranchID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	g, ok := p.table.Release(id)
	if !ok {
		return
	}
	p.observe(o, held, branch)
	p.judge(now, g.Server, o)
	p.dispatch(now)
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
	p.ejector.Observe(now, id, o)
	p.limit(now, id)
}

// limit sets how many slots of the server may be used.
func (p *pool) limit(now time.Time, id ServerID) {
	s, known := p.servers[id]
	if !known {
		return
	}
	p.table.SetLimit(id, p.ejector.Limit(now, id, s.Slots))
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
func (p *pool) refusal(now time.Time, ask Ask, reason Reason) *Refusal {
	wait := p.times.Wait(p.queue.Ahead(ask.Branch, ask.Share), p.table.Slots())
	wait = min(max(wait, p.options.RetryAfterMin), p.options.RetryAfterMax)
	jitter := time.Duration(rand.Int64N(int64(wait)/2 + 1))
	return &Refusal{Reason: reason, RetryAfter: wait + jitter}
}
