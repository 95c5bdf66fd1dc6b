package backend

import (
	"context"
	"time"

	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
)

// borrowPermits requests permits from other owners, one for each queued local
// request, with at most maxPendingBorrows pending. A permit that arrives goes to
// the request at the head of the queue at that time.
func (m *Manager) borrowPermits(p *pool) {
	if m.options.Policy != PolicyPermits {
		return
	}
	for {
		next, criteria, ok := p.reserveBorrow()
		if !ok {
			return
		}
		c, found := m.loads.chooseOwner(m.options.Now(), m.view, criteria)
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

// reserveBorrow counts one more pending borrow if a local request needs it. It
// returns the request at the head of the queue and the criteria for the owner.
func (p *pool) reserveBorrow() (next SlotRequest, criteria borrowCriteria, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingBorrows >= min(p.localRequests(), maxPendingBorrows) {
		return SlotRequest{}, borrowCriteria{}, false
	}
	item, _ := p.queue.Peek()
	criteria = borrowCriteria{service: p.service, meanServiceTime: max(p.serviceTime.Mean(), minimumCost), localWait: p.options.Lease}
	if slots := p.table.Slots(); slots > 0 {
		criteria.localWait = time.Duration(float64(p.queue.Len()-p.pendingBorrows) / float64(slots) * float64(criteria.meanServiceTime))
	}
	p.pendingBorrows++
	return item.Value.request, criteria, true
}

// localRequests returns the number of queued requests that clients sent to this
// VM. It is called with mu held.
func (p *pool) localRequests() int { return p.queue.Len() - p.remoteWaiters }

func (p *pool) endBorrow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingBorrows--
}

// borrowFrom requests a permit from one owner and grants it to the next waiter.
// If the call fails, the permit may have been granted, so it is released.
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
	var response AcquireResponse
	err := m.caller.Call(ctx, c.member.Address, MethodAcquire, request, &response)
	if err != nil {
		m.returnPermit(c.member, ReleaseRequest{Permit: request.Permit, Service: p.service, Outcome: OutcomeUnused})
		return
	}
	m.loads.recordLoad(c.member.ID, p.service, peerLoad{free: response.Free, queued: response.Queued, observedAt: m.options.Now()})
	m.addLeavingReports(response.Leaving)
	if response.Granted {
		m.metrics.borrowed.Inc(1)
		m.grantBorrowed(p, c.member, request, response.Server)
	}
}

// grantBorrowed grants a borrowed permit to the next waiter. It returns the
// permit if no request waits or its server is leaving.
func (m *Manager) grantBorrowed(p *pool, owner membership.Member, r AcquireRequest, s Server) {
	grantedAt := m.options.Now()
	unused := ReleaseRequest{Permit: r.Permit, Service: p.service, Outcome: OutcomeUnused}
	if m.isLeaving(s.ID) {
		m.returnPermit(owner, unused)
		return
	}
	granted := p.grantToNextWaiter(grantedAt, func(w *waiter) *Permit {
		permit := &Permit{ID: r.Permit, Server: s, ServiceTimeBound: p.serviceTime.UpperBound()}
		permit.release = func(o Outcome) {
			held := m.options.Now().Sub(grantedAt)
			p.endBorrowed(o, held, w.request.Branch)
			m.returnPermit(owner, ReleaseRequest{Permit: r.Permit, Service: p.service, Branch: w.request.Branch, Outcome: o, Held: held})
		}
		return permit
	})
	if !granted {
		m.returnPermit(owner, unused)
	}
}

// grantToNextWaiter grants a borrowed permit, built by newPermit, to the next
// waiter. It reports false if none waits. A waiter of another VM gets the permit
// too; it is then tracked in forwardedPermits.
func (p *pool) grantToNextWaiter(now time.Time, newPermit func(*waiter) *Permit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	item, late, ok := p.queue.Pop(now)
	p.rejectAll(now, late, ReasonLate)
	if !ok {
		return false
	}
	p.borrowedPermits++
	w := item.Value
	permit := newPermit(w)
	if w.holder != p.self {
		p.forwardedPermits[w.id] = &forwardedPermit{permit: permit, holder: w.holder, leaseEnd: w.leaseEnd}
	}
	w.result <- acquireResult{permit: permit}
	return true
}

// endBorrowed counts a borrowed permit as released and records its service time.
func (p *pool) endBorrowed(o Outcome, held time.Duration, branch model.BranchID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.borrowedPermits--
	p.observeServiceTime(o, held, branch)
}

// returnPermit releases a permit at its owner in the background, so that the
// request doesn't wait for the call. If the owner can't be reached, the permit
// ends when its lease expires.
func (m *Manager) returnPermit(owner membership.Member, r ReleaseRequest) {
	go func() {
		for range releaseAttempts {
			if m.callNoResult(owner, MethodRelease, r) == nil {
				return
			}
		}
	}()
}

// callNoResult makes a peer call with an empty result and records its round-trip
// time.
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
