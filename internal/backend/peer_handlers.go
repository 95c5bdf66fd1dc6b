package backend

import (
	"context"
	"encoding/json"
	"time"

	"filbertcross/internal/peer"
	"filbertcross/internal/verdict"
)

// Register registers the handlers of the peer methods.
func (m *Manager) Register(r peer.Registry) {
	r.Handle(MethodAcquire, typedHandler(m.handleAcquire))
	r.Handle(MethodRelease, typedHandler(m.handleRelease))
	r.Handle(MethodHandover, typedHandler(m.handleHandover))
	r.Handle(MethodLeaving, typedHandler(m.handleLeaving))
}

// typedHandler adapts a handler with a typed request to the peer protocol.
func typedHandler[Request any, Reply any](handle func(context.Context, Request) (Reply, error)) peer.Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var request Request
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, &peer.Error{Code: peer.CodeInvalid, Message: err.Error(), Verdict: verdict.NotRun}
		}
		return handle(ctx, request)
	}
}

// handleAcquire grants a permit of an owned server, after a wait in the queue if
// the request allows one. A rejection is a response without a grant, not an error.
func (m *Manager) handleAcquire(ctx context.Context, r AcquireRequest) (AcquireResponse, error) {
	m.addLeavingReports(r.Leaving)
	p := m.pool(r.Service)
	if p == nil {
		return AcquireResponse{}, nil
	}
	now := m.options.Now()
	request := SlotRequest{Service: r.Service, Branch: r.Branch, Share: r.Share, Deadline: now.Add(r.Wait)}
	w := newWaiter(request, r.Permit, r.VM, now.Add(min(r.Lease, m.options.Lease)))
	permit, err := p.acquireForPeer(ctx, w, r.Wait)
	response := p.loadResponse(m.options.Now())
	response.Leaving = m.leavingServers()
	if err == nil {
		response.Granted = true
		response.Server = permit.Server
	}
	return response, nil
}

// acquireForPeer grants a free slot if the queue is empty. Otherwise it waits in the
// queue for at most wait if this VM owns slots, or rejects the request.
func (p *pool) acquireForPeer(ctx context.Context, w *waiter, wait time.Duration) (*Permit, error) {
	p.mu.Lock()
	now := p.options.Now()
	_, released := p.earlyReleases[w.id]
	granted := !released && p.queue.Len() == 0 && p.grantFreeSlot(now, w)
	rejection := p.newRejection(now, w.request, ReasonFull)
	owns := len(p.ownedSlots) > 0
	waits := !granted && !released && owns && wait > 0
	if waits {
		p.remoteWaiters++
		w.request.Deadline = w.request.Deadline.Add(p.serviceTime.UpperBound()) // it bounds the wait, not the service time
	}
	p.mu.Unlock()
	switch {
	case granted:
		return (<-w.result).permitOrError()
	case !waits:
		return nil, rejection
	}
	defer p.removeRemoteWaiter()
	return p.acquire(ctx, w, func() {})
}

func (p *pool) removeRemoteWaiter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remoteWaiters--
}

// loadResponse returns a response with this VM's free slots and queue length.
func (p *pool) loadResponse(now time.Time) AcquireResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	return AcquireResponse{Free: p.unclaimedSlots(now), Queued: p.queue.Len()}
}

// unclaimedSlots returns the number of free slots: 0 if requests wait. It is called
// with mu held.
func (p *pool) unclaimedSlots(now time.Time) int {
	if p.queue.Len() > 0 {
		return 0
	}
	return p.table.Free(now)
}

// handleRelease releases a permit that another VM holds.
func (m *Manager) handleRelease(_ context.Context, r ReleaseRequest) (Empty, error) {
	if p := m.pool(r.Service); p != nil {
		p.release(r.Permit, r.Outcome, r.Held, r.Branch)
	}
	return Empty{}, nil
}

// handleHandover records how many slots of a server the permits of its previous
// owner still use.
func (m *Manager) handleHandover(_ context.Context, r HandoverRequest) (Empty, error) {
	p := m.pool(r.Service)
	if p == nil {
		return Empty{}, &peer.Error{Code: peer.CodeNotOwner, Message: "the service is not known here", Verdict: verdict.NotRun}
	}
	p.recordHandover(m.options.Now(), r.Server, r.Held)
	return Empty{}, nil
}

// handleLeaving records a peer's report that servers are leaving.
func (m *Manager) handleLeaving(_ context.Context, r LeavingRequest) (Empty, error) {
	m.addLeavingReports(r.Servers)
	return Empty{}, nil
}

func (m *Manager) addLeavingReports(servers []LeavingServer) {
	if len(servers) == 0 {
		return
	}
	m.mu.Lock()
	now := m.options.Now()
	newlyLeaving := m.directory.AddLeavingReports(now, servers)
	if len(newlyLeaving) > 0 {
		m.reassign(now)
	}
	m.mu.Unlock()
	m.announceLeaving(newlyLeaving, "peer")
}

func (m *Manager) leavingServers() []LeavingServer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.directory.LeavingServers(m.options.Now())
}
