package backend

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"filbertcross/internal/event"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
	"filbertcross/internal/platform"
)

// Manager keeps the directory of backend servers and a pool for each service,
// and is the Router of this VM. Update and Run are its control side; Acquire is
// called from the goroutines of requests. Safe for concurrent use.
type Manager struct {
	options        Options
	view           membership.View
	caller         peer.Caller
	recorder       event.Recorder
	metrics        metrics
	loads          *peerLoads
	self           model.VMID
	permitSequence atomic.Int64  // of permits
	gossipNow      chan struct{} // wakes the gossip

	mu         sync.RWMutex
	directory  *Directory
	ownership  *Ownership
	ownerIDs   []string  // of the members that may own servers, at the last assignment
	assignedAt time.Time // when the servers were assigned last
	stopping   bool
	pools      map[string]*pool
}

var _ Router = (*Manager)(nil)

// NewManager returns a manager that knows no server until Update.
func NewManager(options Options, view membership.View, caller peer.Caller, recorder event.Recorder, scope tally.Scope) *Manager {
	options = options.withDefaults()
	return &Manager{
		options:   options,
		view:      view,
		caller:    caller,
		recorder:  recorder,
		metrics:   newMetrics(scope.SubScope("backend")),
		loads:     newPeerLoads(),
		self:      view.Self().ID,
		gossipNow: make(chan struct{}, 1),
		directory: NewDirectory(options.LeavingReportTTL),
		ownership: NewOwnership(nil, nil),
		pools:     make(map[string]*pool),
	}
}

// UpdateServerList takes the platform's list of VMs. Servers that it shows as leaving get
// nothing new from the moment it returns, and the peers are told.
func (m *Manager) UpdateServerList(now time.Time, list []platform.VM) {
	m.mu.Lock()
	news := m.directory.Update(now, list)
	m.reassign(now)
	m.mu.Unlock()
	m.announceLeaving(news, "list")
}

// announceLeaving records the news and has them passed on at once.
func (m *Manager) announceLeaving(news []ServerID, source string) {
	if len(news) == 0 {
		return
	}
	for _, id := range news {
		m.recorder.Record(event.ServerLeaving, string(id), source)
	}
	select {
	case m.gossipNow <- struct{}{}:
	default:
	}
}

// reassign gives every pool its usable servers and those of them that this VM
// owns now. It is called with mu held.
func (m *Manager) reassign(now time.Time) {
	usable := m.directory.Usable(now)
	m.ownership = NewOwnership(m.ownershipMembers(), slices.Concat(slices.Collect(maps.Values(usable))...))
	opens := now
	if m.ownership.EligibleOwners() > 1 && m.options.Policy == PolicyPermits {
		opens = now.Add(m.options.HandoverDelay)
	}
	for service := range usable {
		if _, ok := m.pools[service]; !ok {
			m.pools[service] = newPool(&m.options, m.self, service, m.recorder)
		}
	}
	for service, p := range m.pools {
		m.loads.setOwnedSlots(service, m.slotsByOwner(usable[service]))
		p.setServers(now, usable[service], m.ownership.EligibleOwners(), m.ownedSlots(usable[service]), opens)
	}
}

// ownershipMembers returns the members, this VM among the leaving ones if it is stopping.
func (m *Manager) ownershipMembers() []membership.Member {
	members := slices.Clone(m.view.Members())
	for i := range members {
		if members[i].ID == m.self && m.stopping {
			members[i].State = membership.Leaving
		}
	}
	return members
}

// ownedSlots returns the slots that this VM may use of each server it owns.
func (m *Manager) ownedSlots(servers []Server) map[ServerID]int {
	owned := make(map[ServerID]int)
	for _, s := range servers {
		switch {
		case m.options.Policy == PolicyLocal:
			owned[s.ID] = m.localSlotLimit(s)
		case m.ownership.Owner(s.ID) == m.self:
			owned[s.ID] = s.Slots
		}
	}
	return owned
}

// slotsByOwner returns how many slots of the servers each VM owns.
func (m *Manager) slotsByOwner(servers []Server) map[model.VMID]int {
	slots := make(map[model.VMID]int)
	for _, s := range servers {
		slots[m.ownership.Owner(s.ID)] += s.Slots
	}
	return slots
}

// localSlotLimit is this VM's part of a server's slots, rounded up.
func (m *Manager) localSlotLimit(s Server) int {
	if m.options.LocalSlotLimit > 0 {
		return min(s.Slots, m.options.LocalSlotLimit)
	}
	members := max(1, m.ownership.EligibleOwners())
	return (s.Slots + members - 1) / members
}

func (m *Manager) pool(service string) *pool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.pools[service]
}

// Acquire waits for a slot of the service until the ask can no longer be in time.
func (m *Manager) Acquire(ctx context.Context, ask SlotRequest) (*Permit, error) {
	p := m.pool(ask.Service)
	if p == nil {
		return nil, &Rejection{Reason: ReasonNoServer, RetryAfter: m.options.RetryAfterMin}
	}
	for {
		w := newWaiter(ask, m.permitID(), m.self, m.options.Now().Add(m.options.Lease))
		permit, err := p.acquire(ctx, w, func() { m.borrowPermits(p) })
		if err != nil || !m.isLeaving(permit.Server.ID) {
			return permit, err
		}
		permit.Release(OutcomeUnused) // it began to leave after the grant
	}
}

// CheckAdmission returns the refusal that Acquire would give at once, if any.
func (m *Manager) CheckAdmission(ask SlotRequest) *Rejection {
	p := m.pool(ask.Service)
	if p == nil {
		return &Rejection{Reason: ReasonNoServer, RetryAfter: m.options.RetryAfterMin}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.checkAdmission(m.options.Now(), ask)
}

func (m *Manager) isLeaving(id ServerID) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.directory.IsLeaving(m.options.Now(), id)
}

// permitID returns an id that no other VM and no restart gives.
func (m *Manager) permitID() PermitID {
	return PermitID(string(m.self) + "/" + strconv.FormatInt(m.permitSequence.Add(1), 36))
}

// FreeSlots returns the free slots of the services of which this VM owns any, for
// the digest.
func (m *Manager) FreeSlots() map[string]int {
	free := make(map[string]int)
	m.eachPool(func(p *pool) {
		if len(p.ownedSlots) > 0 {
			free[p.service] = p.unclaimedSlots(m.options.Now())
		}
	})
	return free
}

// Queued returns the requests that wait on this VM by service, for the digest.
func (m *Manager) Queued() map[string]int {
	queued := make(map[string]int)
	m.eachPool(func(p *pool) {
		if n := p.queue.Len(); n > 0 {
			queued[p.service] = n
		}
	})
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
