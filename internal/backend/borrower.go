package backend

import (
	"context"
	"time"

	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
)

// borrowPermits asks other owners for as many permits as requests wait here. A borrowed
// permit goes to whoever is next in the queue when it comes.
func (m *Manager) borrowPermits(p *pool) {
	if m.options.Policy != PolicyPermits {
		return
	}
	for {
		next, w, ok := p.reserveBorrow()
		if !ok {
			return
		}
		c, found := m.loads.chooseOwner(m.options.Now(), m.view, w)
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
func (p *pool) reserveBorrow() (next SlotRequest, w borrowCriteria, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingBorrows >= min(p.localRequests(), maxPendingBorrows) {
		return SlotRequest{}, borrowCriteria{}, false
	}
	item, _ := p.queue.Peek()
	w = borrowCriteria{service: p.service, meanServiceTime: max(p.serviceTime.Mean(), minimumCost), localWait: p.options.Lease}
	if slots := p.table.Slots(); slots > 0 {
		w.localWait = time.Duration(float64(p.queue.Len()-p.pendingBorrows) / float64(slots) * float64(w.meanServiceTime))
	}
	p.pendingBorrows++
	return item.Value.request, w, true
}

// localRequests is the number of queued requests that came to this VM.
func (p *pool) localRequests() int { return p.queue.Len() - p.remoteWaiters }

func (p *pool) endBorrow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingBorrows--
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
		Leaving: m.leavingServers(),
	}
	if c.load.free == 0 {
		request.Wait = min(maxRemoteQueueWait, next.Deadline.Sub(m.options.Now()))
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.Wait+peerCallTimeout)
	defer cancel()
	var reply AcquireReply
	err := m.caller.Call(ctx, c.member.Address, MethodAcquire, request, &reply)
	if err != nil {
		m.returnPermit(c.member, ReleaseRequest{Permit: request.Permit, Service: p.service, Outcome: OutcomeUnused})
		return
	}
	m.loads.recordLoad(c.member.ID, p.service, peerLoad{free: reply.Free, queued: reply.Queued, observedAt: m.options.Now()})
	m.addLeavingReports(reply.Leaving)
	if reply.Granted {
		m.metrics.borrowed.Inc(1)
		m.grantBorrowed(p, c.member, request, reply.Server)
	}
}

// grantBorrowed gives a borrowed permit to the next request, or back.
func (m *Manager) grantBorrowed(p *pool, owner membership.Member, r AcquireRequest, s Server) {
	granted := m.options.Now()
	back := ReleaseRequest{Permit: r.Permit, Service: p.service, Outcome: OutcomeUnused}
	if m.isLeaving(s.ID) {
		m.returnPermit(owner, back)
		return
	}
	delivered := p.grantToNextWaiter(granted, func(w *waiter) *Permit {
		permit := &Permit{ID: r.Permit, Server: s, ServiceTimeBound: p.serviceTime.UpperBound()}
		permit.release = func(o Outcome) {
			held := m.options.Now().Sub(granted)
			p.endBorrowed(o, held, w.request.Branch)
			m.returnPermit(owner, ReleaseRequest{Permit: r.Permit, Service: p.service, Branch: w.request.Branch, Outcome: o, Held: held})
		}
		return permit
	})
	if !delivered {
		m.returnPermit(owner, back)
	}
}

// grantToNextWaiter gives the next waiter the permit made for it; it reports false if none waits.
func (p *pool) grantToNextWaiter(now time.Time, permit func(*waiter) *Permit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	item, late, ok := p.queue.Pop(now)
	p.rejectAll(now, late, ReasonLate)
	if !ok {
		return false
	}
	p.borrowedPermits++
	w := item.Value
	granted := permit(w)
	if w.holder != p.self {
		p.forwardedPermits[w.id] = &forwardedPermit{permit: granted, holder: w.holder, leaseEnd: w.leaseEnd}
	}
	w.result <- acquireResult{permit: granted}
	return true
}

// endBorrowed learns from the use of a borrowed permit.
func (p *pool) endBorrowed(o Outcome, held time.Duration, branch model.BranchID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.borrowedPermits--
	p.observeServiceTime(o, held, branch)
}

// returnPermit returns a permit without making the request wait for it. If the owner
// cannot be reached the lease ends it.
func (m *Manager) returnPermit(owner membership.Member, r ReleaseRequest) {
	go func() {
		for range releaseAttempts {
			if m.callNoResult(owner, MethodRelease, r) == nil {
				return
			}
		}
	}()
}

// callNoResult makes a callNoResult whose result says nothing.
func (m *Manager) callNoResult(to membership.Member, method peer.Method, params any) error {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	start := m.options.Now()
	err := m.caller.Call(ctx, to.Address, method, params, &Empty{})
	if err == nil {
		m.loads.recordRoundTrip(to.ID, m.options.Now().Sub(start))
	}
	return err
}
