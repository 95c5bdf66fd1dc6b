package backend

import (
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
)

// handoverReport is a former owner's word on the slots that its permits use.
type handoverReport struct {
	held  int
	until time.Time
}

// lost is a server whose slots this VM no longer owns but still uses.
type lostServer struct {
	server       Server
	reportedHeld int       // slots in use as the new owner was told last
	reportedAt   time.Time // when it was told
}

// setServers takes the usable servers of the service, how many VMs share them, and
// those that this VM owns with the number of slots that it may use of each. Slots of newly
// owned servers are granted from opens on, or as soon as their former owner says
// how many it still uses.
func (p *pool) setServers(now time.Time, usable []Server, members int, owned map[ServerID]int, opens time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.servers
	p.servers = make(map[ServerID]Server, len(usable))
	slots := 0
	for _, s := range usable {
		p.servers[s.ID] = s
		slots += s.Slots
	}
	p.slotsPerVM = slots / max(1, members)
	for id, s := range known {
		if _, kept := owned[id]; !kept && p.table.Owns(id) {
			p.removeOwned(s)
		}
	}
	for id, slots := range owned {
		p.addOwned(now, id, slots, opens)
	}
	p.grantToWaiters(now)
}

func (p *pool) addOwned(now time.Time, id ServerID, slots int, opens time.Time) {
	p.ownedSlots[id] = slots
	if !p.table.Owns(id) {
		delete(p.lostServers, id)
		p.ejector.Add(id)
		p.table.Add(id, slots, opens)
		if note, ok := p.handoverReports[id]; ok && now.Before(note.until) {
			p.table.SetExternalUse(id, note.held, note.until)
		}
	}
	p.updateLimit(now, id)
}

// removeOwned stops grants of the server's slots at once; those in use stay counted
// until they are released, and the new owner is told of them.
func (p *pool) removeOwned(s Server) {
	p.table.Remove(s.ID)
	p.ejector.Remove(s.ID)
	delete(p.ownedSlots, s.ID)
	delete(p.handoverReports, s.ID)
	if _, usable := p.servers[s.ID]; usable {
		p.lostServers[s.ID] = &lostServer{server: s, reportedHeld: -1}
	}
}

// dueHandovers returns what the new owners of lost servers are to be told: a changed
// count, and the same one again after a while.
func (p *pool) dueHandovers(now time.Time, again time.Duration) map[ServerID]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	news := make(map[ServerID]int)
	for id, l := range p.lostServers {
		held := p.table.Held(id)
		if held == l.reportedHeld && now.Sub(l.reportedAt) < again {
			continue
		}
		news[id] = held
		l.reportedHeld, l.reportedAt = held, now
	}
	return news
}

// handoverDelivered forgets a lost server of which nothing is in use, once the new owner knows.
func (p *pool) handoverDelivered(id ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.lostServers[id]; ok && l.reportedHeld == 0 && p.table.Held(id) == 0 {
		delete(p.lostServers, id)
	}
}

// recordHandover takes the former owner's word; it may come before this VM knows that
// it is the new owner.
func (p *pool) recordHandover(now time.Time, id ServerID, held int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	note := handoverReport{held: held, until: now.Add(handoverReportDelays * p.options.HandoverDelay)}
	p.handoverReports[id] = note
	if p.table.Owns(id) {
		p.table.SetExternalUse(id, note.held, note.until)
		p.grantToWaiters(now)
	}
}

// tick does what is due by time: leases and deadlines that end, ejections that
// turn into probes.
func (p *pool) tick(now time.Time, gone func(model.VMID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.table.Expire(now, gone) {
		p.record(event.PermitExpired, string(g.Server), string(g.ID), string(g.Holder))
	}
	stalled := max(stallFactor*p.serviceTime.UpperBound(), p.options.StallTimeout)
	for _, g := range p.table.Overdue(now.Add(-stalled)) {
		p.observeOutcome(now, g.Server, OutcomeTimeout)
	}
	for id, passed := range p.forwardedPermits {
		if now.After(passed.leaseEnd) || gone(passed.holder) {
			p.releaseUnknown(now, id, OutcomeUnused)
		}
	}
	for id, until := range p.earlyReleases {
		if now.After(until) {
			delete(p.earlyReleases, id)
		}
	}
	for id := range p.ownedSlots {
		if p.ejector.IsEjected(id) {
			p.updateLimit(now, id)
		}
	}
	p.rejectAll(now, p.queue.Expire(now), ReasonLate)
	p.queue.PruneBranches()
	p.grantToWaiters(now)
}
