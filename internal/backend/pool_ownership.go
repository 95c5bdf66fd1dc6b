package backend

import (
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
)

// handoverReport is a previous owner's count of the slots that its permits use.
type handoverReport struct {
	held  int       // slots in use
	until time.Time // end of the report's validity
}

// lostServer is a usable server that this VM no longer owns. Its new owner needs
// the count of slots that permits of this VM still use.
type lostServer struct {
	server       Server
	reportedHeld int       // slots in use in the last report to the new owner; -1: none sent
	reportedAt   time.Time // time of that report
}

// setServers sets the usable servers of the service, how many VMs share them, and
// how many slots this VM may use of each server that it owns. The slots of a newly
// owned server are granted from grantableFrom on, or as soon as its previous owner
// has reported how many it still uses.
func (p *pool) setServers(now time.Time, usable []Server, members int, owned map[ServerID]int, grantableFrom time.Time) {
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
		p.addOwned(now, id, slots, grantableFrom)
	}
	p.grantToWaiters(now)
}

func (p *pool) addOwned(now time.Time, id ServerID, slots int, grantableFrom time.Time) {
	p.ownedSlots[id] = slots
	if !p.table.Owns(id) {
		delete(p.lostServers, id)
		p.ejector.Add(id)
		p.table.Add(id, slots, grantableFrom)
		if report, ok := p.handoverReports[id]; ok && now.Before(report.until) {
			p.table.SetExternalUse(id, report.held, report.until)
		}
	}
	p.updateLimit(now, id)
}

// removeOwned stops granting the server's slots. Slots in use stay counted until
// they are released and are reported to the new owner.
func (p *pool) removeOwned(s Server) {
	p.table.Remove(s.ID)
	p.ejector.Remove(s.ID)
	delete(p.ownedSlots, s.ID)
	delete(p.handoverReports, s.ID)
	if _, usable := p.servers[s.ID]; usable {
		p.lostServers[s.ID] = &lostServer{server: s, reportedHeld: -1}
	}
}

// dueHandovers returns the counts of used slots to report to the new owners of lost
// servers: each changed count, and an unchanged one again after resendAfter.
func (p *pool) dueHandovers(now time.Time, resendAfter time.Duration) map[ServerID]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := make(map[ServerID]int)
	for id, l := range p.lostServers {
		held := p.table.Held(id)
		if held == l.reportedHeld && now.Sub(l.reportedAt) < resendAfter {
			continue
		}
		due[id] = held
		l.reportedHeld, l.reportedAt = held, now
	}
	return due
}

// handoverDelivered removes a lost server if its last report, now delivered, says
// that no slot is in use, and none is in use now.
func (p *pool) handoverDelivered(id ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.lostServers[id]; ok && l.reportedHeld == 0 && p.table.Held(id) == 0 {
		delete(p.lostServers, id)
	}
}

// recordHandover records a previous owner's report. The report may arrive before
// this VM knows that it is the new owner.
func (p *pool) recordHandover(now time.Time, id ServerID, held int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	report := handoverReport{held: held, until: now.Add(handoverReportDelays * p.options.HandoverDelay)}
	p.handoverReports[id] = report
	if p.table.Owns(id) {
		p.table.SetExternalUse(id, report.held, report.until)
		p.grantToWaiters(now)
	}
}

// tick expires leases, deadlines and early releases, counts stalled requests as
// failures, starts probes of ejected servers and grants the freed slots. holderDead
// reports whether the VM that holds a permit is dead.
func (p *pool) tick(now time.Time, holderDead func(model.VMID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.table.Expire(now, holderDead) {
		p.record(event.PermitExpired, string(g.Server), string(g.ID), string(g.Holder))
	}
	stalled := max(stallFactor*p.serviceTime.UpperBound(), p.options.StallTimeout)
	for _, g := range p.table.Overdue(now.Add(-stalled)) {
		p.observeOutcome(now, g.Server, OutcomeTimeout)
	}
	for id, forwarded := range p.forwardedPermits {
		if now.After(forwarded.leaseEnd) || holderDead(forwarded.holder) {
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
