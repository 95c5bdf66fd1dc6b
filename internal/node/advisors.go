package node

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
)

// Timing of calls for placement advice.
const (
	adviceTimeout  = 2500 * time.Millisecond // about twice the longest call, which names 100 workers
	adviceCooldown = 2 * time.Second         // of a VM whose call failed
)

// advisorPool distributes calls for placement advice over this VM and its followers. Each VM
// makes one call at a time, as the advice service handles the calls of a VM one after the other.
// It is safe for concurrent use.
type advisorPool struct {
	caller peer.Caller
	local  fleet.AdviceClient

	mu       sync.Mutex
	vms      map[string]*advisorVM // by peer address; "": this VM
	released chan struct{}         // signals a waiting call that a VM was released
}

type advisorVM struct {
	busy          bool
	lastSeen      time.Time
	electionDelay time.Duration // shorter for larger VMs
	cooldownUntil time.Time
}

func newAdvisorPool(caller peer.Caller, local fleet.AdviceClient) *advisorPool {
	return &advisorPool{caller: caller, local: local, vms: map[string]*advisorVM{"": {}}, released: make(chan struct{}, 1)}
}

// followerTimeout is the time without a call after which a follower is no longer used. A follower
// calls every second.
const followerTimeout = 3 * time.Second

// recordFollower records a call of the follower with the peer address and its election delay.
func (a *advisorPool) recordFollower(address string, electionDelay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	vm := a.vms[address]
	if vm == nil {
		vm = &advisorVM{}
		a.vms[address] = vm
	}
	vm.lastSeen, vm.electionDelay = time.Now(), electionDelay
}

// followersByElectionDelay returns the peer addresses of the current followers, the shortest
// delay first and in random order among equals.
func (a *advisorPool) followersByElectionDelay() []string {
	list := a.followers()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortStableFunc(list, func(x, y string) int { return cmp.Compare(a.vms[x].electionDelay, a.vms[y].electionDelay) })
	return list
}

// followers returns the peer addresses of the current followers.
func (a *advisorPool) followers() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []string
	for address, vm := range a.vms {
		if address != "" && time.Since(vm.lastSeen) < followerTimeout {
			list = append(list, address)
		}
	}
	return list
}

// Slots implements owner.AdvicePool.
func (a *advisorPool) Slots() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for address, vm := range a.vms {
		if a.usable(address, vm) {
			n++
		}
	}
	return n
}

// usable reports whether calls may go through a VM. The caller holds mu.
func (a *advisorPool) usable(address string, vm *advisorVM) bool {
	now := time.Now()
	return now.After(vm.cooldownUntil) && (address == "" || now.Sub(vm.lastSeen) < followerTimeout)
}

// Advise implements owner.AdvicePool. It waits for a VM without a call in flight, up to
// adviceTimeout for the wait and the call.
func (a *advisorPool) Advise(ctx context.Context, step fleet.StepID, workers []model.WorkerID) (map[model.WorkerID]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	for {
		address, vm := a.acquire()
		if vm == nil {
			select {
			case <-a.released:
				continue
			case <-ctx.Done():
				return nil, 0, errors.Wrap(ctx.Err(), "no VM was free to call for placement advice")
			}
		}
		allowed, validity, err := a.adviseThrough(ctx, address, step, workers)
		a.release(vm, err)
		return allowed, validity, err
	}
}

// acquire reserves a VM and returns nil if none is free. It prefers followers to this VM, which
// has the highest load as the owner.
func (a *advisorPool) acquire() (string, *advisorVM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	best, found := "", (*advisorVM)(nil)
	for address, vm := range a.vms {
		if vm.busy || !a.usable(address, vm) {
			continue
		}
		if found == nil || best == "" || address != "" && address < best {
			best, found = address, vm
		}
	}
	if found != nil {
		found.busy = true
	}
	return best, found
}

// release returns a VM after its call; a call that failed starts its cool-down.
func (a *advisorPool) release(vm *advisorVM, err error) {
	a.mu.Lock()
	vm.busy = false
	if err != nil {
		vm.cooldownUntil = time.Now().Add(adviceCooldown)
	}
	a.mu.Unlock()
	select {
	case a.released <- struct{}{}:
	default:
	}
}

// adviseThrough makes the call from the VM with the peer address.
func (a *advisorPool) adviseThrough(ctx context.Context, address string, step fleet.StepID, workers []model.WorkerID) (map[model.WorkerID]string, time.Duration, error) {
	if address == "" {
		return a.local.Advise(ctx, step, workers)
	}
	var reply adviseResponse
	if err := a.caller.Call(ctx, address, methodAdvise, adviseRequest{Step: step, Workers: workers}, &reply); err != nil {
		return nil, 0, err
	}
	if reply.Error != "" {
		return nil, 0, errors.New(reply.Error)
	}
	return reply.Allowed, reply.Validity, nil
}
