package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
)

// Timing of calls for advice.
const (
	adviceTimeout  = 2500 * time.Millisecond // about twice the longest call of 100 workers
	adviceCooldown = 2 * time.Second         // of a VM that did not answer
)

// advisors shares calls for advice out to the VMs that follow the owner, one call a VM at
// a time, as the service answers each VM's calls in turn. Safe for concurrent use.
type advisorPool struct {
	caller peer.Caller
	local  fleet.Advisor

	mu       sync.Mutex
	vms      map[string]*advisorVM // by peer address; "" is this VM
	released chan struct{}         // wakes a waiting call
}

type advisorVM struct {
	busy          bool
	lastSeen      time.Time
	cooldownUntil time.Time
}

func newAdvisorPool(caller peer.Caller, local fleet.Advisor) *advisorPool {
	return &advisorPool{caller: caller, local: local, vms: map[string]*advisorVM{"": {}}, released: make(chan struct{}, 1)}
}

// followerTimeout is how long a follower counts that has not called; it calls every second.
const followerTimeout = 3 * time.Second

// attached notes a follower.
func (a *advisorPool) recordFollower(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	vm := a.vms[address]
	if vm == nil {
		vm = &advisorVM{}
		a.vms[address] = vm
	}
	vm.lastSeen = time.Now()
}

// peers lists the followers.
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

// Slots is the number of VMs that can be asked.
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

func (a *advisorPool) usable(address string, vm *advisorVM) bool {
	now := time.Now()
	return now.After(vm.cooldownUntil) && (address == "" || now.Sub(vm.lastSeen) < followerTimeout)
}

// Advise asks through a VM that has no call out.
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
				return nil, 0, errors.Wrap(ctx.Err(), "no VM was free to ask for advice")
			}
		}
		allowed, validity, err := a.adviseThrough(ctx, address, step, workers)
		a.release(vm, err)
		return allowed, validity, err
	}
}

// take books a VM; this one last, as it has the most to do.
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
