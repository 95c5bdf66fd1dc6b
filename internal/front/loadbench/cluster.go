package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"filbertcross/internal/backend"
	"filbertcross/internal/event"
	"filbertcross/internal/front"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
	"filbertcross/internal/platform"
	"filbertcross/internal/verdict"
)

// heartbeatInterval is the interval at which the VMs exchange their digests.
const heartbeatInterval = 250 * time.Millisecond

// cluster holds the backend servers and the entry VMs of one scenario.
type cluster struct {
	settings         settings
	servers          []*backendServer
	vms              []*entryVM
	stop             context.CancelFunc
	peerCalls        atomic.Int64 // between VMs
	crossDomainCalls atomic.Int64 // part of peerCalls between failure domains

	mu      sync.RWMutex
	members []membership.Member
}

// entryVM is an entry VM. It implements membership.View and the peer calls of
// backend.Manager within the process.
type entryVM struct {
	cluster  *cluster
	member   membership.Member
	manager  *backend.Manager
	handler  *front.Handler
	http     *httptest.Server
	handlers map[peer.Method]peer.Handler
}

// newCluster starts the backend servers and the VMs. source supplies the active
// configuration.
func newCluster(s settings, options backend.Options, source model.ConfigurationSource) *cluster {
	ctx, stop := context.WithCancel(context.Background())
	c := &cluster{settings: s, stop: stop}
	var list []platform.VM
	for i := range s.servers {
		b := newBackendServer(s, i)
		c.servers = append(c.servers, b)
		list = append(list, b.platformEntry())
	}
	for i := range s.vms {
		c.vms = append(c.vms, c.newVM(i))
	}
	for _, vm := range c.vms {
		vm.start(ctx, options, source, list)
	}
	go c.runHeartbeats(ctx)
	return c
}

func (c *cluster) newVM(index int) *entryVM {
	id := fmt.Sprintf("vm-%d", index)
	vm := &entryVM{cluster: c, handlers: make(map[peer.Method]peer.Handler)}
	vm.member = membership.Member{ID: model.VMID(id), Address: id, FailureDomain: domainOf(c.settings, index)}
	c.members = append(c.members, vm.member)
	return vm
}

func (vm *entryVM) start(ctx context.Context, options backend.Options, source model.ConfigurationSource, list []platform.VM) {
	vm.manager = backend.NewManager(options, vm, vm, event.Discard{}, tally.NoopScope)
	vm.manager.Register(vm)
	vm.handler = front.New(front.Options{}, vm.manager, nil, source, vm, event.Discard{}, tally.NoopScope)
	vm.http = httptest.NewServer(vm.handler)
	vm.manager.UpdateServerList(time.Now(), list)
	go func() { _ = vm.manager.Run(ctx) }()
}

// runHeartbeats exchanges digests until ctx ends.
func (c *cluster) runHeartbeats(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.exchangeDigests()
		}
	}
}

func (c *cluster) exchangeDigests() {
	digests := make([]membership.Digest, len(c.vms))
	for i, vm := range c.vms {
		digests[i] = membership.Digest{FreeSlots: vm.manager.FreeSlots(), Queued: vm.manager.Queued()}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	members := make([]membership.Member, len(c.members))
	for i, m := range c.members {
		m.Digest = digests[i]
		members[i] = m
	}
	c.members = members
}

// setState sets the membership state that all VMs see of one VM.
func (c *cluster) setState(index int, state membership.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := append([]membership.Member(nil), c.members...)
	members[index].State = state
	c.members = members
}

func (c *cluster) close() {
	c.stop()
	for _, vm := range c.vms {
		vm.http.CloseClientConnections()
		vm.http.Close()
	}
	for _, b := range c.servers {
		b.stalled.Store(false)
		b.http.CloseClientConnections()
		b.http.Close()
	}
}

// Self returns the VM's own membership entry.
func (vm *entryVM) Self() membership.Member { return vm.member }

// Members returns all VMs. The returned slice is never modified.
func (vm *entryVM) Members() []membership.Member {
	vm.cluster.mu.RLock()
	defer vm.cluster.mu.RUnlock()
	return vm.cluster.members
}

// Handle registers a handler of the peer protocol.
func (vm *entryVM) Handle(m peer.Method, h peer.Handler) { vm.handlers[m] = h }

// Call calls another VM in the process. It encodes the parameters and the result as
// JSON and applies the link delay in both directions.
func (vm *entryVM) Call(ctx context.Context, address string, m peer.Method, params, result any) error {
	target := vm.cluster.vm(address)
	if target == nil {
		return &peer.Error{Code: peer.CodeUnreachable, Message: address, Verdict: verdict.NotRun}
	}
	vm.cluster.peerCalls.Add(1)
	delay := time.Duration(0)
	if target.member.FailureDomain != vm.member.FailureDomain {
		vm.cluster.crossDomainCalls.Add(1)
		delay = vm.cluster.settings.linkDelay
	}
	request, err := json.Marshal(params)
	if err != nil {
		return err
	}
	time.Sleep(delay)
	response, err := target.handlers[m](ctx, request)
	if err != nil {
		return err
	}
	time.Sleep(delay)
	encoded, err := json.Marshal(response)
	if err != nil {
		return err
	}
	return json.Unmarshal(encoded, result)
}

// vm returns the VM with the address, or nil.
func (c *cluster) vm(address string) *entryVM {
	for _, vm := range c.vms {
		if vm.member.Address == address {
			return vm
		}
	}
	return nil
}
