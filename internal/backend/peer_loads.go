package backend

import (
	"math/rand/v2"
	"sync"
	"time"

	"filbertcross/internal/membership"
	"filbertcross/internal/model"
)

// loadLife is how long the load in a permit's answer is taken for newer than the
// one in the heartbeats' digest.
const loadLife = 300 * time.Millisecond

// peerLoads knows the other owners' free slots and queues: from their digests,
// and meanwhile from their answers. Safe for concurrent use.
type peerLoads struct {
	mu    sync.Mutex
	notes map[loadKey]peerLoad
}

type loadKey struct {
	vm      model.VMID
	service string
}

type peerLoad struct {
	free   int
	queued int
	at     time.Time
}

func newPeerLoads() *peerLoads { return &peerLoads{notes: make(map[loadKey]peerLoad)} }

// note takes the load of an answer.
func (l *peerLoads) note(vm model.VMID, service string, load peerLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notes[loadKey{vm, service}] = load
}

// candidate is another owner that may have a slot.
type candidate struct {
	member membership.Member
	load   peerLoad
}

// choose picks the owner to ask for a slot by power of two choices: one with a
// free slot, in the own failure domain if there is one; failing that, one whose
// queue is shorter than the given length, to wait in it.
func (l *peerLoads) choose(now time.Time, view membership.View, service string, shorter int) (candidate, bool) {
	self := view.Self()
	var near, far, waiting []candidate
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range view.Members() {
		if m.ID == self.ID || m.State != membership.Alive {
			continue
		}
		load, owns := l.load(now, m, service)
		c := candidate{member: m, load: load}
		switch {
		case !owns:
		case load.free > 0 && m.FailureDomain == self.FailureDomain:
			near = append(near, c)
		case load.free > 0:
			far = append(far, c)
		case load.queued < shorter:
			waiting = append(waiting, c)
		}
	}
	for _, some := range [][]candidate{near, far, waiting} {
		if len(some) > 0 {
			c := better(some)
			l.expect(now, c, service)
			return c, true
		}
	}
	return candidate{}, false
}

// load returns the newest known load; owns is false for a VM without slots of the service.
func (l *peerLoads) load(now time.Time, m membership.Member, service string) (load peerLoad, owns bool) {
	free, owns := m.Digest.FreeSlots[service]
	if noted, ok := l.notes[loadKey{m.ID, service}]; ok && now.Sub(noted.at) < loadLife {
		return noted, owns
	}
	return peerLoad{free: free, queued: m.Digest.Queued[service]}, owns
}

// expect counts the request that is about to be made.
func (l *peerLoads) expect(now time.Time, c candidate, service string) {
	load := c.load
	if load.free > 0 {
		load.free--
	} else {
		load.queued++
	}
	load.at = now
	l.notes[loadKey{c.member.ID, service}] = load
}

// better returns the less loaded of two random candidates.
func better(some []candidate) candidate {
	a, b := some[rand.IntN(len(some))], some[rand.IntN(len(some))]
	if b.load.free > a.load.free || (b.load.free == a.load.free && b.load.queued < a.load.queued) {
		return b
	}
	return a
}
