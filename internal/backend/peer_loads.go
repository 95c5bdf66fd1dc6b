package backend

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"filbertcross/internal/membership"
	"filbertcross/internal/model"
)

// loadTTL is how long the load in a permit's answer is taken for newer than the
// one in the heartbeats' digest.
const loadTTL = 300 * time.Millisecond

// roundTripWeight is the part that one more call has in a peer's round-trip time.
const roundTripWeight = 0.1

// peerLoads knows the other owners' slots, free slots and queues: from the
// ownership, from their digests and, meanwhile, from their answers. Safe for
// concurrent use.
type peerLoads struct {
	mu          sync.Mutex
	recentLoads map[loadKey]peerLoad
	ownedSlots  map[string]map[model.VMID]int // owned, by service
	roundTrips  map[model.VMID]float64        // seconds
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

// setOwnedSlots takes how many slots of the service each VM owns.
func (l *peerLoads) setOwnedSlots(service string, slots map[model.VMID]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownedSlots[service] = slots
}

// recordLoad takes the load of an answer.
func (l *peerLoads) recordLoad(vm model.VMID, service string, load peerLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recentLoads[loadKey{vm, service}] = load
}

// recordRoundTrip takes how long a call that did not wait took.
func (l *peerLoads) recordRoundTrip(vm model.VMID, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.roundTrips[vm]
	if !ok {
		known = took.Seconds()
	}
	l.roundTrips[vm] = known + (took.Seconds()-known)*roundTripWeight
}

// pruneMembers drops what is known of VMs that are members no more.
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
	expectedWait time.Duration // expected, the call's round trip included
}

// borrowCriteria describes what a borrower looks for.
type borrowCriteria struct {
	service         string
	meanServiceTime time.Duration // service time
	localWait       time.Duration // expected in the borrower's own queue
}

// chooseOwner picks the owner to ask for a slot by power of two choices, in the own
// failure domain first: one with a free slot that comes sooner than the own queue
// turns over, or one to wait at for less than half of the time.
func (l *peerLoads) chooseOwner(now time.Time, view membership.View, w borrowCriteria) (candidate, bool) {
	self := view.Self()
	var near, far []candidate
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range view.Members() {
		slots := l.ownedSlots[w.service][m.ID]
		if m.ID == self.ID || m.State != membership.Alive || slots == 0 {
			continue
		}
		c := l.newCandidate(now, m, w, slots)
		if m.FailureDomain == self.FailureDomain {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	for _, some := range [][]candidate{near, far} {
		if len(some) == 0 {
			continue
		}
		if c := betterOfTwo(some); c.shortensWait(w) {
			l.countPendingRequest(now, c, w.service)
			return c, true
		}
	}
	return candidate{}, false
}

// newCandidate weighs an owner from the newest known load.
func (l *peerLoads) newCandidate(now time.Time, m membership.Member, w borrowCriteria, slots int) candidate {
	load, ok := l.recentLoads[loadKey{m.ID, w.service}]
	if !ok || now.Sub(load.observedAt) > loadTTL {
		load = peerLoad{free: m.Digest.FreeSlots[w.service], queued: m.Digest.Queued[w.service]}
	}
	seconds := l.roundTrips[m.ID]
	if load.free == 0 {
		seconds += float64(load.queued+1) / float64(slots) * w.meanServiceTime.Seconds()
	}
	return candidate{member: m, load: load, expectedWait: time.Duration(seconds * float64(time.Second))}
}

// shortensWait reports whether asking the owner shortens the wait.
func (c candidate) shortensWait(w borrowCriteria) bool {
	if c.load.free > 0 {
		return c.expectedWait <= w.localWait
	}
	return 2*c.expectedWait <= w.localWait
}

// countPendingRequest counts the request that is about to be made.
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

// betterOfTwo returns the one with the shorter wait of two random candidates.
func betterOfTwo(some []candidate) candidate {
	a, b := some[rand.IntN(len(some))], some[rand.IntN(len(some))]
	if b.expectedWait < a.expectedWait {
		return b
	}
	return a
}
