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
	adviceTimeout = 2500 * time.Millisecond // about twice the longest call of 100 workers
	adviceRest    = 2 * time.Second         // of a VM that did not answer
)

// advisors shares calls for advice out to the VMs that follow the owner, one call a VM at
// a time, as the service answers each VM's calls in turn. Safe for concurrent use.
type advisors struct {
	caller peer.Caller
	local  fleet.Advisor

	mu   sync.Mutex
	vms  map[string]*advisorVM // by peer address; "" is this VM
	free chan struct{}         // wakes a waiting call
}

type advisorVM struct {
	busy    bool
	seen    time.Time
	restsTo time.Time
}

func newAdvisors(caller peer.Caller, local fleet.Advisor) *advisors {
	return &advisors{caller: caller, local: local, vms: map[string]*advisorVM{"": {}}, free: make(chan struct{}, 1)}
}

// followerTimeout is how long a follower counts that has not called; it calls every second.
const followerTimeout = 3 * time.Second

// attached notes a follower.
func (a *advisors) attached(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	vm := a.vms[address]
	if vm == nil {
		vm = &advisorVM{}
		a.vms[address] = vm
	}
	vm.seen = time.Now()
}

// peers lists the followers.
func (a *advisors) peers() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []string
	for address, vm := range a.vms {
		if address != "" && time.Since(vm.seen) < followerTimeout {
			list = append(list, address)
		}
	}
	return list
}

// Slots is the number of VMs that can be asked.
func (a *advisors) Slots() int {
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

func (a *advisors) usable(address string, vm *advisorVM) bool {
	now := time.Now()
	return now.After(vm.restsTo) && (address == "" || now.Sub(vm.seen) < followerTimeout)
}

// Advise asks through a VM that has no call out.
func (a *advisors) Advise(ctx context.Context, step fleet.StepID, workers []model.WorkerID) (map[model.WorkerID]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	for {
		address, vm := a.take()
		if vm == nil {
			select {
			case <-a.free:
				continue
			case <-ctx.Done():
				return nil, 0, errors.Wrap(ctx.Err(), "no VM was free to ask for advice")
			}
		}
		allowed, validity, err := a.via(ctx, address, step, workers)
		a.give(vm, err)
		return allowed, validity, err
	}
}

// take books a VM; this one last, as it has the most to do.
func (a *advisors) take() (string, *advisorVM) {
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

func (a *advisors) give(vm *advisorVM, err error) {
	a.mu.Lock()
	vm.busy = false
	if err != nil {
		vm.restsTo = time.Now().Add(adviceRest)
	}
	a.mu.Unlock()
	select {
	case a.free <- struct{}{}:
	default:
	}
}

func (a *advisors) via(ctx context.Context, address string, step fleet.StepID, workers []model.WorkerID) (map[model.WorkerID]string, time.Duration, error) {
	if address == "" {
		return a.local.Advise(ctx, step, workers)
	}
	var reply adviseAnswer
	if err := a.caller.Call(ctx, address, methodAdvise, adviseRequest{Step: step, Workers: workers}, &reply); err != nil {
		return nil, 0, err
	}
	if reply.Failure != "" {
		return nil, 0, errors.New(reply.Failure)
	}
	return reply.Allowed, reply.Validity, nil
}
