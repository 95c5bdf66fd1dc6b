package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/proptest"
)

// simSuspensions is the part of a history in which the store does not answer owners.
type simSuspensions struct {
	starts int // by suspended owners
	// successors is how many owners were elected while the previous one was alive and suspended.
	successors int
}

// aliveOwners returns the owner and, if it was suspended when its successor was elected and has not
// been stopped, the previous one.
func (h *simHistory) aliveOwners() []*simOwner {
	owners := []*simOwner{h.owner}
	for previous := h.owner.previous; previous != nil && previous.alive; previous = previous.previous {
		owners = append(owners, previous)
	}
	return owners
}

// suspendOwner makes the store silent for the owner. Either it answers the owner again, or a successor
// is elected at the earliest when the lease of the owner has ended. The owner does not learn of it.
func (h *simHistory) suspendOwner() {
	owner := h.owner
	if owner.suspended {
		return
	}
	owner.suspended = true
	h.separate(owner)
	if h.rng.IntN(2) == 0 {
		h.schedule(h.jitter(5*time.Second), func() {
			if h.owner == owner {
				owner.suspended = false
			}
		})
		return
	}
	h.schedule(200*time.Millisecond+h.jitter(2500*time.Millisecond), func() {
		if h.owner != owner {
			return
		}
		h.suspensions.successors++
		h.replaceOwner()
		h.separate(owner)
		h.separate(h.owner)
		h.every(10*time.Millisecond, h.now+5*time.Second, func() {
			if owner.alive {
				h.decideAs(owner)
			}
		})
	})
}

// separate cuts one worker off from an owner, which the other owner may still reach.
func (h *simHistory) separate(owner *simOwner) {
	w := h.workers[h.rng.IntN(len(h.workers))]
	if w.separatedFrom == nil {
		w.separatedFrom = owner
		h.schedule(h.jitter(12*time.Second), func() { w.separatedFrom = nil })
	}
}

func runSuspensionHistory(t testFailer, seed uint64) *simSuspensions {
	h := newHistory(t, seed, nil, "quick")
	h.suspensions = &simSuspensions{}
	h.run()
	return h.suspensions
}

// Guards against tasks that run twice because an owner that the store does not answer starts tasks
// beside its successor, and against submissions that are not completed afterwards.
func TestSimulatedHistoriesOfSuspendedOwners(t *testing.T) {
	total := simSuspensions{}
	first := seedFromEnvironment(proptest.SeedVariable, 1) * 1_000_000
	for i := range seedFromEnvironment(proptest.ChecksVariable, 60) {
		s := runSuspensionHistory(t, first+i)
		total.starts += s.starts
		total.successors += s.successors
	}
	t.Logf("%d starts by suspended owners, %d successors beside them", total.starts, total.successors)
	if total.starts == 0 || total.successors == 0 {
		t.Fatal("the histories do not contain what they are for")
	}
}
