package backend

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"filbertcross/internal/membership"
	"filbertcross/internal/model"
)

// loadTTL is how long the load from a permit response takes precedence over the load
// in the heartbeat digest.
const loadTTL = 300 * time.Millisecond

// roundTripWeight is the weight of a new sample in the moving average of a peer's
// round-trip time.
const roundTripWeight = 0.1

// peerLoads tracks the slots, free slots and queue lengths of the other owners.
// They come from the ownership, from heartbeat digests and, between heartbeats,
// from permit responses. Safe for concurrent use.
type peerLoads struct {
	mu          sync.Mutex
	recentLoads map[loadKey]peerLoad
	ownedSlots  map[string]map[model.VMID]int // by service
	roundTrips  map[model.VMID]float64        // moving average in seconds
}

type loadKey struct {
	vm      model.VMID
	service string
}

type peerLoad struct {
	free       int
	queued     int
	observedAt time.Time
}

func newPeerLoads() *peerLoads {
	return &peerLoads{
		recentLoads: make(map[loadKey]peerLoad),
		ownedSlots:  make(map[string]map[model.VMID]int),
		roundTrips:  make(map[model.VMID]float64),
	}
}

// setOwnedSlots sets how many slots of the service each VM owns.
func (l *peerLoads) setOwnedSlots(service string, slots map[model.VMID]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownedSlots[service] = slots
}

// recordLoad records the load reported in a permit response.
func (l *peerLoads) recordLoad(vm model.VMID, service string, load peerLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recentLoads[loadKey{vm, service}] = load
}

// recordRoundTrip records the duration of a call that doesn't wait in a queue.
func (l *peerLoads) recordRoundTrip(vm model.VMID, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	average, ok := l.roundTrips[vm]
	if !ok {
		average = took.Seconds()
	}
	l.roundTrips[vm] = average + (took.Seconds()-average)*roundTripWeight
}

// pruneMembers removes the loads and round-trip times of VMs that are not members.
func (l *peerLoads) pruneMembers(members []membership.Member) {
	known := make(map[model.VMID]bool, len(members))
	for _, m := range members {
		known[m.ID] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.recentLoads, func(k loadKey, _ peerLoad) bool { return !known[k.vm] })
	maps.DeleteFunc(l.roundTrips, func(vm model.VMID, _ float64) bool { return !known[vm] })
}

// candidate is another owner that may have a slot.
type candidate struct {
	member       membership.Member
	load         peerLoad
	expectedWait time.Duration // includes the round trip of the call
}

// borrowCriteria describe the permit that a pool needs to borrow.
type borrowCriteria struct {
	service         string
	meanServiceTime time.Duration // of the service
	localWait       time.Duration // expected wait in the queue of this VM
}

// chooseOwner picks the owner to request a permit from by power of two choices,
// first in this VM's failure domain, then in the others. The owner must shorten
// the wait: with a free slot, its expected wait is at most the local wait; without
// one, at most half of it.
func (l *peerLoads) chooseOwner(now time.Time, view membership.View, criteria borrowCriteria) (candidate, bool) {
	self := view.Self()
	var sameDomain, otherDomains []candidate
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range view.Members() {
		slots := l.ownedSlots[criteria.service][m.ID]
		if m.ID == self.ID || m.State != membership.Alive || slots == 0 {
			continue
		}
		c := l.newCandidate(now, m, criteria, slots)
		if m.FailureDomain == self.FailureDomain {
			sameDomain = append(sameDomain, c)
		} else {
			otherDomains = append(otherDomains, c)
		}
	}
	for _, candidates := range [][]candidate{sameDomain, otherDomains} {
		if len(candidates) == 0 {
			continue
		}
		if c := betterOfTwo(candidates); c.shortensWait(criteria) {
			l.countPendingRequest(now, c, criteria.service)
			return c, true
		}
	}
	return candidate{}, false
}

// newCandidate estimates the wait at an owner from its most recent load.
func (l *peerLoads) newCandidate(now time.Time, m membership.Member, criteria borrowCriteria, slots int) candidate {
	load, ok := l.recentLoads[loadKey{m.ID, criteria.service}]
	if !ok || now.Sub(load.observedAt) > loadTTL {
		load = peerLoad{free: m.Digest.FreeSlots[criteria.service], queued: m.Digest.Queued[criteria.service]}
	}
	seconds := l.roundTrips[m.ID]
	if load.free == 0 {
		seconds += float64(load.queued+1) / float64(slots) * criteria.meanServiceTime.Seconds()
	}
	return candidate{member: m, load: load, expectedWait: time.Duration(seconds * float64(time.Second))}
}

// shortensWait reports whether borrowing from the owner shortens the wait.
func (c candidate) shortensWait(criteria borrowCriteria) bool {
	if c.load.free > 0 {
		return c.expectedWait <= criteria.localWait
	}
	return 2*c.expectedWait <= criteria.localWait
}

// countPendingRequest adds the permit request that is about to be sent to the
// owner's load. It is called with mu held.
func (l *peerLoads) countPendingRequest(now time.Time, c candidate, service string) {
	load := c.load
	if load.free > 0 {
		load.free--
	} else {
		load.queued++
	}
	load.observedAt = now
	l.recentLoads[loadKey{c.member.ID, service}] = load
}

// betterOfTwo draws two random candidates and returns the one with the shorter
// expected wait.
func betterOfTwo(candidates []candidate) candidate {
	a, b := candidates[rand.IntN(len(candidates))], candidates[rand.IntN(len(candidates))]
	if b.expectedWait < a.expectedWait {
		return b
	}
	return a
}
