package backend

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
)

// Run follows the members, leases and deadlines until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	gossip := time.NewTicker(gossipInterval)
	defer gossip.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			m.tick(m.options.Now())
		case <-m.gossipNow:
			m.gossip(m.peers())
		case <-gossip.C:
			m.gossip(randomSubset(m.peers(), gossipFanout))
			m.loads.pruneMembers(m.view.Members())
			m.updateGauges(m.options.Now())
		}
	}
}

// tick does what is due by time in every pool.
func (m *Manager) tick(now time.Time) {
	members := m.view.Members()
	m.reassignIfChanged(now, members)
	dead := make(map[model.VMID]bool)
	for _, member := range members {
		dead[member.ID] = member.State == membership.Dead
	}
	for _, p := range m.allPools() {
		p.tick(now, func(vm model.VMID) bool { return dead[vm] })
		m.borrowPermits(p)
		m.sendHandovers(p, now)
	}
}

// updateGauges sets the gauges.
func (m *Manager) updateGauges(now time.Time) {
	for _, p := range m.allPools() {
		m.metrics.updatePool(p, now)
	}
}

// reassignIfChanged reassigns the servers when the owners have changed, or when a peer's word
// on a leaving server has ended.
func (m *Manager) reassignIfChanged(now time.Time, members []membership.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	signature := eligibleOwnerIDs(members)
	if slices.Equal(signature, m.ownerIDs) && now.Sub(m.assignedAt) < gossipInterval {
		return
	}
	m.ownerIDs, m.assignedAt = signature, now
	m.reassign(now)
}

// eligibleOwnerIDs names the members that may own servers.
func eligibleOwnerIDs(members []membership.Member) []string {
	var names []string
	for _, member := range eligibleOwners(members) {
		names = append(names, string(member.ID))
	}
	slices.Sort(names)
	return names
}

func (m *Manager) allPools() []*pool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	pools := make([]*pool, 0, len(m.pools))
	for _, p := range m.pools {
		pools = append(pools, p)
	}
	return pools
}

// sendHandovers tells the new owners how many slots of the servers that this VM has
// lost its permits still use.
func (m *Manager) sendHandovers(p *pool, now time.Time) {
	for id, held := range p.dueHandovers(now, m.options.HandoverDelay/2) {
		owner, found := m.remoteOwner(id)
		if !found {
			p.handoverDelivered(id) // there is nobody to tell
			continue
		}
		request := HandoverRequest{Service: p.service, Server: id, From: m.self, Held: held}
		go func() {
			if m.callNoResult(owner, MethodHandover, request) != nil {
				return
			}
			m.recorder.Record(event.SlotsHandedOver, string(id), string(owner.ID), held)
			if held == 0 {
				p.handoverDelivered(id)
			}
		}()
	}
}

// remoteOwner returns the member that owns the server now, if it is another one.
func (m *Manager) remoteOwner(id ServerID) (membership.Member, bool) {
	m.mu.RLock()
	owner := m.ownership.Owner(id)
	m.mu.RUnlock()
	for _, member := range m.view.Members() {
		if member.ID == owner && owner != m.self {
			return member, true
		}
	}
	return membership.Member{}, false
}

// gossip tells the members which servers are leaving, if any are.
func (m *Manager) gossip(to []membership.Member) {
	servers := m.leavingServers()
	if len(servers) == 0 {
		return
	}
	for _, member := range to {
		go func() { _ = m.callNoResult(member, MethodLeaving, LeavingRequest{Servers: servers}) }()
	}
}

// peers returns the other members that are not dead.
func (m *Manager) peers() []membership.Member {
	return slices.DeleteFunc(slices.Clone(m.view.Members()), func(member membership.Member) bool {
		return member.ID == m.self || member.State == membership.Dead
	})
}

func randomSubset(members []membership.Member, n int) []membership.Member {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(n, len(members))]
}

// HandOverSlots gives the owned servers to the other VMs: from now on requests that
// still come here borrow permits. It does not wait.
func (m *Manager) HandOverSlots() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping = true
	m.reassign(m.options.Now())
}

// Drain hands over and waits until no permit of this VM is in use and the new
// owners know. Run must still be running.
func (m *Manager) Drain(ctx context.Context) error {
	m.HandOverSlots()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		if m.drained() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (m *Manager) drained() bool {
	busy := false
	m.eachPool(func(p *pool) {
		busy = busy || p.table.Granted() > 0 || p.borrowedPermits > 0 || p.queue.Len() > 0 || len(p.lostServers) > 0
	})
	return !busy
}
