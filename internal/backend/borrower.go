package backend

import (
	"context"
	"time"

	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
)

// borrow asks other owners for as many permits as requests wait here. A borrowed
// permit goes to whoever is next in the queue when it comes.
func (m *Manager) borrow(p *pool) {
	if m.options.Policy != PolicyPermits {
		return
	}
	for {
		next, w, ok := p.reserveBorrow()
		if !ok {
			return
		}
		c, found := m.loads.choose(m.options.Now(), m.view, w)
		if !found {
			p.endBorrow()
			return
		}
		go func() {
			defer p.endBorrow()
			m.borrowFrom(p, c, next)
		}()
	}
}

// reserveBorrow counts one more borrowing if a request waits for it. It returns the
// ask that is next, and what to look for.
func (p *pool) reserveBorrow() (next SlotRequest, w wish, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.borrows >= min(p.localWaiting(), maxBorrows) {
		return SlotRequest{}, wish{}, false
	}
	item, _ := p.queue.Peek()
	w = wish{service: p.service, mean: max(p.times.Mean(), minimumCost), wait: p.options.Lease}
	if slots := p.table.Slots(); slots > 0 {
		w.wait = time.Duration(float64(p.queue.Len()-p.borrows) / float64(slots) * float64(w.mean))
	}
	p.borrows++
	return item.Value.ask, w, true
}

// localWaiting is the number of queued requests that came to this VM.
func (p *pool) localWaiting() int { return p.queue.Len() - p.visitors }

func (p *pool) endBorrow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.borrows--
}

// borrowFrom asks one owner for a permit and delivers it to the queue.
func (m *Manager) borrowFrom(p *pool, c candidate, next SlotRequest) {
	request := AcquireRequest{
		Permit:  m.permitID(),
		VM:      m.self,
		Service: p.service,
		Branch:  next.Branch,
		Share:   next.Share,
		Lease:   m.options.Lease,
		Leaving: m.toldLeaving(),
	}
	if c.load.free == 0 {
		request.Wait = min(idleWait, next.Deadline.Sub(m.options.Now()))
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.Wait+callTimeout)
	defer cancel()
	var reply AcquireReply
	err := m.caller.Call(ctx, c.member.Address, MethodAcquire, request, &reply)
	if err != nil {
		m.giveBack(c.member, ReleaseRequest{Permit: request.Permit, Service: p.service, Outcome: OutcomeUnused})
		return
	}
	m.loads.note(c.member.ID, p.service, peerLoad{free: reply.Free, queued: reply.Queued, at: m.options.Now()})
	m.hear(reply.Leaving)
	if reply.Granted {
		m.metrics.borrowed.Inc(1)
		m.deliver(p, c.member, request, reply.Server)
	}
}

// deliver gives a borrowed permit to the next request, or back.
func (m *Manager) deliver(p *pool, owner membership.Member, r AcquireRequest, s Server) {
	granted := m.options.Now()
	back := ReleaseRequest{Permit: r.Permit, Service: p.service, Outcome: OutcomeUnused}
	if m.isLeaving(s.ID) {
		m.giveBack(owner, back)
		return
	}
	delivered := p.deliver(granted, func(w *waiter) *Permit {
		permit := &Permit{ID: r.Permit, Server: s, ServiceTimeBound: p.times.UpperBound()}
		permit.release = func(o Outcome) {
			held := m.options.Now().Sub(granted)
			p.endBorrowed(o, held, w.ask.Branch)
			m.giveBack(owner, ReleaseRequest{Permit: r.Permit, Service: p.service, Branch: w.ask.Branch, Outcome: o, Held: held})
		}
		return permit
	})
	if !delivered {
		m.giveBack(owner, back)
	}
}

// deliver gives the next waiter the permit made for it; it reports false if none waits.
func (p *pool) deliver(now time.Time, permit func(*waiter) *Permit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	item, late, ok := p.queue.Pop(now)
	p.refuse(now, late, ReasonLate)
	if !ok {
		return false
	}
	p.borrowed++
	w := item.Value
	granted := permit(w)
	if w.holder != p.self {
		p.passedOn[w.id] = &passedOn{permit: granted, holder: w.holder, lease: w.lease}
	}
	w.settled <- settlement{permit: granted}
	return true
}

// endBorrowed learns from the use of a borrowed permit.
func (p *pool) endBorrowed(o Outcome, held time.Duration, branch model.BranchID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.borrowed--
	p.observe(o, held, branch)
}

// giveBack returns a permit without making the request wait for it. If the owner
// cannot be reached the lease ends it.
func (m *Manager) giveBack(owner membership.Member, r ReleaseRequest) {
	go func() {
		for range releaseTries {
			if m.call(owner, MethodRelease, r) == nil {
				return
			}
		}
	}()
}

// call makes a call whose result says nothing.
func (m *Manager) call(to membership.Member, method peer.Method, params any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	start := m.options.Now()
	err := m.caller.Call(ctx, to.Address, method, params, &Empty{})
	if err == nil {
		m.loads.noteRoundTrip(to.ID, m.options.Now().Sub(start))
	}
	return err
}
