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

// Manager is the Router of this VM. It holds the directory of backend servers and
// a pool for each service. UpdateServerList and Run maintain them; Acquire is
// called from the goroutines of requests. Safe for concurrent use.
type Manager struct {
	options        Options
	view           membership.View
	caller         peer.Caller
	recorder       event.Recorder
	metrics        metrics
	loads          *peerLoads
	self           model.VMID
	permitSequence atomic.Int64  // of the last permit id
	gossipNow      chan struct{} // triggers an immediate gossip round

	mu         sync.RWMutex
	directory  *Directory
	ownership  *Ownership
	ownerIDs   []string  // sorted ids of the eligible owners at the last assignment
	assignedAt time.Time // time of the last assignment
	stopping   bool
	pools      map[string]*pool
}

var _ Router = (*Manager)(nil)

// NewManager returns a manager without servers; UpdateServerList adds them.
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

// UpdateServerList applies the platform's list of VMs. Once it returns, servers
// that the list shows as leaving get no new requests. The peers are notified.
func (m *Manager) UpdateServerList(now time.Time, list []platform.VM) {
	m.mu.Lock()
	newlyLeaving := m.directory.Update(now, list)
	m.reassign(now)
	m.mu.Unlock()
	m.announceLeaving(newlyLeaving, "list")
}

// announceLeaving records an event for each newly leaving server and triggers a
// gossip round.
func (m *Manager) announceLeaving(newlyLeaving []ServerID, source string) {
	if len(newlyLeaving) == 0 {
		return
	}
	for _, id := range newlyLeaving {
		m.recorder.Record(event.ServerLeaving, string(id), source)
	}
	select {
	case m.gossipNow <- struct{}{}:
	default:
	}
}

// reassign recomputes the ownership and updates the usable and the owned servers
// of every pool. It is called with mu held.
func (m *Manager) reassign(now time.Time) {
	usable := m.directory.Usable(now)
	m.ownership = NewOwnership(m.ownershipMembers(), slices.Concat(slices.Collect(maps.Values(usable))...))
	grantableFrom := now
	if m.ownership.EligibleOwners() > 1 && m.options.Policy == PolicyPermits {
		grantableFrom = now.Add(m.options.HandoverDelay)
	}
	for service := range usable {
		if _, ok := m.pools[service]; !ok {
			m.pools[service] = newPool(&m.options, m.self, service, m.recorder)
		}
	}
	for service, p := range m.pools {
		m.loads.setOwnedSlots(service, m.slotsByOwner(usable[service]))
		p.setServers(now, usable[service], m.ownership.EligibleOwners(), m.ownedSlots(usable[service]), grantableFrom)
	}
}

// ownershipMembers returns the members, with this VM marked as leaving if it is
// stopping.
func (m *Manager) ownershipMembers() []membership.Member {
	members := slices.Clone(m.view.Members())
	for i := range members {
		if members[i].ID == m.self && m.stopping {
			members[i].State = membership.Leaving
		}
	}
	return members
}

// ownedSlots returns how many slots this VM may use of each server that it owns
// or, under PolicyLocal, of each server.
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

// slotsByOwner returns how many of the servers' slots each VM owns.
func (m *Manager) slotsByOwner(servers []Server) map[model.VMID]int {
	slots := make(map[model.VMID]int)
	for _, s := range servers {
		slots[m.ownership.Owner(s.ID)] += s.Slots
	}
	return slots
}

// localSlotLimit returns this VM's limit for a server under PolicyLocal: the
// configured limit, or an even split of the slots among the VMs, rounded up.
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

// Acquire waits for a slot of the service until the request can no longer meet its
// deadline.
func (m *Manager) Acquire(ctx context.Context, request SlotRequest) (*Permit, error) {
	p := m.pool(request.Service)
	if p == nil {
		return nil, &Rejection{Reason: ReasonNoServer, RetryAfter: m.options.RetryAfterMin}
	}
	for {
		w := newWaiter(request, m.permitID(), m.self, m.options.Now().Add(m.options.Lease))
		permit, err := p.acquire(ctx, w, func() { m.borrowPermits(p) })
		if err != nil || !m.isLeaving(permit.Server.ID) {
			return permit, err
		}
		permit.Release(OutcomeUnused) // the server began to leave after the grant
	}
}

// CheckAdmission returns the rejection that Acquire would return immediately, or
// nil.
func (m *Manager) CheckAdmission(request SlotRequest) *Rejection {
	p := m.pool(request.Service)
	if p == nil {
		return &Rejection{Reason: ReasonNoServer, RetryAfter: m.options.RetryAfterMin}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.checkAdmission(m.options.Now(), request)
}

func (m *Manager) isLeaving(id ServerID) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.directory.IsLeaving(m.options.Now(), id)
}

// permitID returns an id that is unique across VMs and restarts: a VM's id changes
// with every start of its process.
func (m *Manager) permitID() PermitID {
	return PermitID(string(m.self) + "/" + strconv.FormatInt(m.permitSequence.Add(1), 36))
}

// FreeSlots returns the free slots of each service of which this VM owns slots. The
// heartbeat digest carries them.
func (m *Manager) FreeSlots() map[string]int {
	free := make(map[string]int)
	m.eachPool(func(p *pool) {
		if len(p.ownedSlots) > 0 {
			free[p.service] = p.unclaimedSlots(m.options.Now())
		}
	})
	return free
}

// Queued returns the number of requests that wait on this VM, by service. The
// heartbeat digest carries it.
func (m *Manager) Queued() map[string]int {
	queued := make(map[string]int)
	m.eachPool(func(p *pool) {
		if n := p.queue.Len(); n > 0 {
			queued[p.service] = n
		}
	})
	return queued
}

// eachPool calls f for each pool with the pool's lock held.
func (m *Manager) eachPool(f func(p *pool)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, p := range m.pools {
		p.mu.Lock()
		f(p)
		p.mu.Unlock()
	}
}
