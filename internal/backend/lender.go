package backend

import (
	"context"
	"encoding/json"
	"time"

	"filbertcross/internal/peer"
	"filbertcross/internal/verdict"
)

// Register adds the handlers that other VMs call.
func (m *Manager) Register(r peer.Registry) {
	r.Handle(MethodAcquire, typed(m.lend))
	r.Handle(MethodRelease, typed(m.takeBack))
	r.Handle(MethodHandover, typed(m.takeOver))
	r.Handle(MethodLeaving, typed(m.hearLeaving))
}

// typed reads the message of a call.
func typed[Request any, Reply any](handle func(context.Context, Request) (Reply, error)) peer.Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var request Request
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, &peer.Error{Code: peer.CodeInvalid, Message: err.Error(), Verdict: verdict.NotRun}
		}
		return handle(ctx, request)
	}
}

// lend grants a permit of an owned server, after a wait in the queue if that is asked for.
func (m *Manager) lend(ctx context.Context, r AcquireRequest) (AcquireReply, error) {
	m.hear(r.Leaving)
	p := m.pool(r.Service)
	if p == nil {
		return AcquireReply{}, nil
	}
	now := m.options.Now()
	ask := SlotRequest{Service: r.Service, Branch: r.Branch, Share: r.Share, Deadline: now.Add(r.Wait)}
	w := newWaiter(ask, r.Permit, r.VM, now.Add(min(r.Lease, m.options.Lease)))
	permit, err := p.lend(ctx, w, r.Wait)
	reply := p.load(m.options.Now())
	reply.Leaving = m.toldLeaving()
	if err == nil {
		reply.Granted = true
		reply.Server = permit.Server
	}
	return reply, nil
}

// lend grants a slot that is free and for which nobody waits, or waits for one.
func (p *pool) lend(ctx context.Context, w *waiter, wait time.Duration) (*Permit, error) {
	p.mu.Lock()
	now := p.options.Now()
	_, barred := p.barred[w.id]
	granted := !barred && p.queue.Len() == 0 && p.grant(now, w)
	refusal := p.refusal(now, w.ask, ReasonFull)
	owns := len(p.slots) > 0
	waits := !granted && !barred && owns && wait > 0
	if waits {
		p.visitors++
		w.ask.Deadline = w.ask.Deadline.Add(p.times.UpperBound()) // it bounds the wait only
	}
	p.mu.Unlock()
	switch {
	case granted:
		return (<-w.settled).result()
	case !waits:
		return nil, refusal
	}
	defer p.endVisit()
	return p.acquire(ctx, w, func() {})
}

func (p *pool) endVisit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.visitors--
}

// load returns what an answer tells of this VM's load.
func (p *pool) load(now time.Time) AcquireReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	return AcquireReply{Free: p.spare(now), Queued: p.queue.Len()}
}

// spare is the number of free slots that no request waits for.
func (p *pool) spare(now time.Time) int {
	if p.queue.Len() > 0 {
		return 0
	}
	return p.table.Free(now)
}

// takeBack ends a permit that another VM holds.
func (m *Manager) takeBack(_ context.Context, r ReleaseRequest) (Empty, error) {
	if p := m.pool(r.Service); p != nil {
		p.release(r.Permit, r.Outcome, r.Held, r.Branch)
	}
	return Empty{}, nil
}

// takeOver takes a former owner's word on the slots that its permits still use.
func (m *Manager) takeOver(_ context.Context, r HandoverRequest) (Empty, error) {
	p := m.pool(r.Service)
	if p == nil {
		return Empty{}, &peer.Error{Code: peer.CodeNotOwner, Message: "the service is not known here", Verdict: verdict.NotRun}
	}
	p.takeOver(m.options.Now(), r.Server, r.Held)
	return Empty{}, nil
}

// hearLeaving takes a peer's word that servers are leaving.
func (m *Manager) hearLeaving(_ context.Context, r LeavingRequest) (Empty, error) {
	m.hear(r.Servers)
	return Empty{}, nil
}

func (m *Manager) hear(servers []LeavingServer) {
	if len(servers) == 0 {
		return
	}
	m.mu.Lock()
	now := m.options.Now()
	news := m.directory.AddLeavingReports(now, servers)
	if len(news) > 0 {
		m.reassign(now)
	}
	m.mu.Unlock()
	m.noteLeaving(news, "peer")
}

func (m *Manager) toldLeaving() []LeavingServer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.directory.LeavingServers(m.options.Now())
}
