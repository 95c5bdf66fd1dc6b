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

// Run processes membership changes, expired leases and deadlines, borrowing,
// handovers and gossip until the context ends. It always returns nil.
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

// tick updates the ownership and every pool. It also starts the borrowing and the
// handovers that are due.
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

// updateGauges sets the gauges of all pools.
func (m *Manager) updateGauges(now time.Time) {
	for _, p := range m.allPools() {
		m.metrics.updatePool(p, now)
	}
}

// reassignIfChanged reassigns the servers when the eligible owners have changed, and
// at least every gossipInterval, as reports on leaving servers expire.
func (m *Manager) reassignIfChanged(now time.Time, members []membership.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ownerIDs := eligibleOwnerIDs(members)
	if slices.Equal(ownerIDs, m.ownerIDs) && now.Sub(m.assignedAt) < gossipInterval {
		return
	}
	m.ownerIDs, m.assignedAt = ownerIDs, now
	m.reassign(now)
}

// eligibleOwnerIDs returns the sorted ids of the members that may own servers.
func eligibleOwnerIDs(members []membership.Member) []string {
	var ids []string
	for _, member := range eligibleOwners(members) {
		ids = append(ids, string(member.ID))
	}
	slices.Sort(ids)
	return ids
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

// sendHandovers reports to the new owners of lost servers how many slots are still
// used by permits of this VM.
func (m *Manager) sendHandovers(p *pool, now time.Time) {
	for id, held := range p.dueHandovers(now, m.options.HandoverDelay/2) {
		owner, found := m.remoteOwner(id)
		if !found {
			p.handoverDelivered(id) // no other VM owns the server now
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

// remoteOwner returns the member that owns the server, if it is another VM.
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

// gossip sends the leaving servers, if any, to the members.
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

// HandOverSlots hands the owned servers over to the other VMs. Requests that still
// arrive here borrow permits. It doesn't wait for the handover to complete.
func (m *Manager) HandOverSlots() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping = true
	m.reassign(m.options.Now())
}

// Drain hands over the slots and waits until no permit is in use, no request waits
// and the new owners have confirmed the handover. Run must still be running. The
// error is that of the context.
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
