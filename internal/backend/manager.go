package backend

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"filbertcross/internal/event"
	"filbertcross/internal/membership"
	"filbertcross/internal/peer"
	"filbertcross/internal/platform"
)

// Manager keeps the directory of backend servers and a pool for each service,
// and is the Router of this VM. Update and Run are its control side; Acquire is
// called from the goroutines of requests. Safe for concurrent use.
type Manager struct {
	options  Options
	view     membership.View
	caller   peer.Caller
	recorder event.Recorder
	scope    tally.Scope

	sequence atomic.Int64 // of permits

	mu      sync.RWMutex
	servers map[ServerID]Server // listed
	leaving map[ServerID]bool   // listed as leaving
	pools   map[string]*pool
}

var _ Router = (*Manager)(nil)

// NewManager returns a manager that knows no server until Update.
func NewManager(options Options, view membership.View, caller peer.Caller, recorder event.Recorder, scope tally.Scope) *Manager {
	return &Manager{
		options:  options.withDefaults(),
		view:     view,
		caller:   caller,
		recorder: recorder,
		scope:    scope.SubScope("backend"),
		servers:  make(map[ServerID]Server),
		leaving:  make(map[ServerID]bool),
		pools:    make(map[string]*pool),
	}
}

// Update takes the platform's list of VMs.
func (m *Manager) Update(_ time.Time, list []platform.VM) {
	m.mu.Lock()
	m.servers = make(map[ServerID]Server)
	m.leaving = make(map[ServerID]bool)
	for _, vm := range list {
		if vm.Role != platform.RoleBackend {
			continue
		}
		s := serverOf(vm)
		m.servers[s.ID] = s
		if vm.Leaving {
			m.leaving[s.ID] = true
		}
		if _, ok := m.pools[s.Service]; !ok {
			m.pools[s.Service] = newPool(&m.options, s.Service)
		}
	}
	m.mu.Unlock()
	m.assign()
}

// assign gives every pool the servers that this VM owns now.
func (m *Manager) assign() {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, p := range m.pools {
		p.assign(m.servers, m.leaving)
	}
}

// assign is the thin version: every listed server is used from here.
func (p *pool) assign(servers map[ServerID]Server, leaving map[ServerID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	for id := range p.servers {
		if s, ok := servers[id]; !ok || s.Service != p.service || leaving[id] {
			delete(p.servers, id)
			p.table.Remove(id)
			p.ejector.Remove(id)
		}
	}
	for id, s := range servers {
		if s.Service != p.service || leaving[id] {
			continue
		}
		p.servers[id] = s
		p.ejector.Add(id)
		p.table.Add(id, s.Slots, now)
	}
	p.dispatch(now)
}

func (m *Manager) pool(service string) *pool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.pools[service]
}

// Acquire waits for a slot of the service until the ask can no longer be in time.
func (m *Manager) Acquire(ctx context.Context, ask Ask) (*Permit, error) {
	p := m.pool(ask.Service)
	if p == nil {
		return nil, &Refusal{Reason: ReasonNoServer, RetryAfter: m.options.RetryAfterMin}
	}
	return p.acquire(ctx, ask, m.permitID(), m.view.Self().ID, func() {})
}

// Check returns the refusal that Acquire would give at once, if any.
func (m *Manager) Check(ask Ask) *Refusal {
	p := m.pool(ask.Service)
	if p == nil {
		return &Refusal{Reason: ReasonNoServer, RetryAfter: m.options.RetryAfterMin}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.check(m.options.Now(), ask)
}

func (m *Manager) permitID() PermitID {
	return PermitID(fmt.Sprintf("%s/%d", m.view.Self().ID, m.sequence.Add(1)))
}

// FreeSlots returns the free slots of the owned servers by service, for the digest.
func (m *Manager) FreeSlots() map[string]int {
	free := make(map[string]int)
	m.eachPool(func(p *pool) { free[p.service] = p.table.Free(m.options.Now()) })
	return free
}

// Queued returns the requests that wait on this VM by service, for the digest.
func (m *Manager) Queued() map[string]int {
	queued := make(map[string]int)
	m.eachPool(func(p *pool) { queued[p.service] = p.queue.Len() })
	return queued
}

// eachPool calls f with each pool locked.
func (m *Manager) eachPool(f func(p *pool)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, p := range m.pools {
		p.mu.Lock()
		f(p)
		p.mu.Unlock()
	}
}

// Register adds the handlers that other VMs call.
func (m *Manager) Register(peer.Registry) {}

// Run follows the members until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
