package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"filbertcross/internal/event"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
	"filbertcross/internal/platform"
	"filbertcross/internal/verdict"
)

// fakeNetwork carries calls between the managers of one test, as JSON.
type fakeNetwork struct {
	mu       sync.Mutex
	states   map[string]membership.State // by address
	cut      map[string]bool             // addresses that cannot be reached
	order    []string
	handlers map[string]map[peer.Method]peer.Handler
	managers map[string]*Manager
}

// endpoint is a VM's side of the network and its view of the members.
type endpoint struct {
	network *fakeNetwork
	address string
}

func (e endpoint) Handle(m peer.Method, h peer.Handler) { e.network.handlers[e.address][m] = h }

func (e endpoint) Call(ctx context.Context, address string, m peer.Method, params, result any) error {
	e.network.mu.Lock()
	cut := e.network.cut[address] || e.network.cut[e.address]
	e.network.mu.Unlock()
	if cut {
		return &peer.Error{Code: peer.CodeUnreachable, Message: "cut", Verdict: verdict.NotRun}
	}
	request, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply, err := e.network.handlers[address][m](ctx, request)
	if err != nil {
		return err
	}
	answer, err := json.Marshal(reply)
	if err != nil {
		return err
	}
	return json.Unmarshal(answer, result)
}

func (e endpoint) Self() membership.Member {
	return membership.Member{ID: model.VMID(e.address), Address: e.address, FailureDomain: "a"}
}

func (e endpoint) Members() []membership.Member {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	var members []membership.Member
	for _, address := range e.network.order {
		digest := membership.Digest{}
		if m := e.network.managers[address]; m != nil && address != e.address {
			digest.FreeSlots = m.testDigest()
		}
		members = append(members, membership.Member{
			ID: model.VMID(address), Address: address, FailureDomain: "a",
			State: e.network.states[address], Digest: digest,
		})
	}
	return members
}

// testDigest is FreeSlots without the lock that a caller on the same manager may hold.
func (m *Manager) testDigest() map[string]int { return map[string]int{testService: testSlots} }

func (n *fakeNetwork) setState(address string, state membership.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.states[address] = state
}

const (
	testService = "zalibook"
	testSlots   = 8
	testServers = 6
)

func testVMList(leaving ServerID) []platform.VM {
	var list []platform.VM
	for i := range testServers {
		id := fmt.Sprintf("b%d", i)
		list = append(list, platform.VM{
			ID: id, Role: platform.RoleBackend, Service: testService, FailureDomain: "a",
			Slots: testSlots, Connections: 64, Leaving: ServerID(id) == leaving,
		})
	}
	return list
}

// newTestCluster starts managers that all know the same servers.
func newTestCluster(t *testing.T, vms int, now func() time.Time) (*fakeNetwork, []*Manager) {
	n := &fakeNetwork{
		states: map[string]membership.State{}, cut: map[string]bool{},
		handlers: map[string]map[peer.Method]peer.Handler{}, managers: map[string]*Manager{},
	}
	for i := range vms {
		address := fmt.Sprintf("vm%d", i)
		n.order = append(n.order, address)
		n.handlers[address] = map[peer.Method]peer.Handler{}
	}
	var managers []*Manager
	for _, address := range n.order {
		e := endpoint{n, address}
		m := NewManager(Options{Now: now, HandoverDelay: time.Nanosecond}, e, e, event.Discard{}, tally.NoopScope)
		m.Register(e)
		n.managers[address] = m
		managers = append(managers, m)
	}
	for _, m := range managers {
		m.UpdateServerList(now(), testVMList(""))
	}
	return n, managers
}

// eventually waits for a condition that must come true; how long it takes is not judged.
func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for range 2000 {
		if is() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("never: %s", what)
}

func (m *Manager) granted() int {
	granted := 0
	m.eachPool(func(p *pool) { granted += p.table.Granted() })
	return granted
}

func testRequest(d time.Duration) SlotRequest {
	return SlotRequest{Service: testService, Branch: "north", Share: 1, Deadline: time.Now().Add(d)}
}

// acquireAll takes slots through one VM until every slot of the cluster is in use.
func acquireAll(t *testing.T, m *Manager, slots int) []*Permit {
	t.Helper()
	permits := make(chan *Permit, slots)
	for range slots {
		go func() {
			permit, err := m.Acquire(t.Context(), testRequest(time.Minute))
			if err != nil {
				t.Error(err)
			}
			permits <- permit
		}()
	}
	all := make([]*Permit, 0, slots)
	for range slots {
		select {
		case permit := <-permits:
			all = append(all, permit)
		case <-time.After(5 * time.Millisecond):
			m.tick(m.options.Now())
			all = append(all, <-permits)
		}
	}
	return all
}

// TestOneVMBorrowsAllSlots sends everything through one VM: it must get every slot
// of every owner once, and each owner must get its slots back.
func TestOneVMBorrowsAllSlots(t *testing.T) {
	_, managers := newTestCluster(t, 3, time.Now)
	time.Sleep(time.Millisecond) // past the handover
	runManagers(t, managers)
	used := map[ServerID]int{}
	permits := acquireAll(t, managers[0], testServers*testSlots)
	for _, p := range permits {
		used[p.Server.ID]++
	}
	for id, n := range used {
		if n != testSlots {
			t.Errorf("%s has %d permits, want %d", id, n, testSlots)
		}
	}
	for _, p := range permits {
		p.Release(OutcomeAnswered)
	}
	for _, m := range managers {
		eventually(t, "all permits are back", func() bool { return m.granted() == 0 })
	}
}

func runManagers(t *testing.T, managers []*Manager) {
	for _, m := range managers {
		go func() { _ = m.Run(t.Context()) }()
	}
}

// TestPermitsOfDeadVMExpire kills the VM that holds every permit: its slots come back.
func TestPermitsOfDeadVMExpire(t *testing.T) {
	network, managers := newTestCluster(t, 3, time.Now)
	time.Sleep(time.Millisecond)
	runManagers(t, managers)
	acquireAll(t, managers[0], testServers*testSlots)
	network.setState("vm0", membership.Dead)
	for _, m := range managers[1:] {
		eventually(t, "a dead VM's permits end", func() bool { return m.granted() == 0 })
	}
	acquireAll(t, managers[1], testServers*testSlots)
}

// TestLeavingServerGossip shows a leaving server to one VM only. The others follow its
// word, also one that hears it from a third VM, and no permit names the server.
func TestLeavingServerGossip(t *testing.T) {
	network, managers := newTestCluster(t, 3, time.Now)
	time.Sleep(time.Millisecond)
	network.cut["vm2"] = true // while vm0 first tells
	managers[0].UpdateServerList(time.Now(), testVMList("b1"))
	managers[0].gossip(managers[0].peers())
	eventually(t, "vm1 hears of it", func() bool { return managers[1].isLeaving("b1") })
	if managers[2].isLeaving("b1") {
		t.Fatal("vm2 was cut off and knows")
	}
	network.mu.Lock()
	network.cut["vm2"], network.cut["vm0"] = false, true
	network.mu.Unlock()
	runManagers(t, managers[1:])
	for _, p := range acquireAll(t, managers[2], 1) {
		p.Release(OutcomeUnused)
	}
	eventually(t, "vm2 hears of it", func() bool { return managers[2].isLeaving("b1") })
	for _, m := range managers {
		if m.pool(testService).table.Owns("b1") {
			t.Errorf("%s still grants slots of b1", m.self)
		}
	}
}

// TestHandoverCountsSlotsInUse adds an owner while every slot is in use: the new
// owner grants nothing before the former one has given its word, and then a
// server's slots only as the former owner's permits end.
func TestHandoverCountsSlotsInUse(t *testing.T) {
	network, managers := newTestCluster(t, 2, time.Now)
	network.setState("vm1", membership.Dead) // not there yet
	managers[0].tick(time.Now())
	permits := acquireAll(t, managers[0], testServers*testSlots)
	managers[1].options.HandoverDelay = time.Minute
	managers[1].tick(time.Now()) // owns nothing
	network.setState("vm1", membership.Alive)
	network.cut["vm1"] = true
	managers[1].tick(time.Now())
	nothingFree := func(when string) {
		t.Helper()
		if free, owns := managers[1].FreeSlots()[testService]; free != 0 || !owns {
			t.Fatalf("the new owner has %d free slots (owns some: %v) %s", free, owns, when)
		}
	}
	nothingFree("before the former owner's word")
	network.mu.Lock()
	network.cut["vm1"] = false
	network.mu.Unlock()
	runManagers(t, managers)
	pool := managers[1].pool(testService)
	eventually(t, "the former owner's word on every moved server", func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return len(pool.handoverReports) >= len(pool.ownedSlots)
	})
	nothingFree("while all are in use")
	for _, p := range permits {
		p.Release(OutcomeAnswered)
	}
	eventually(t, "the new owner grants what was handed over", func() bool {
		return managers[1].FreeSlots()[testService] == len(pool.ownedSlots)*testSlots
	})
}

// TestReleaseBeforeGrant gives a permit back before the request for it arrives.
func TestReleaseBeforeGrant(t *testing.T) {
	_, managers := newTestCluster(t, 1, time.Now)
	m := managers[0]
	if _, err := m.handleRelease(t.Context(), ReleaseRequest{Permit: "x/1", Service: testService}); err != nil {
		t.Fatal(err)
	}
	reply, err := m.handleAcquire(t.Context(), AcquireRequest{Permit: "x/1", VM: "x", Service: testService, Share: 1, Lease: time.Minute})
	if err != nil || reply.Granted || m.granted() != 0 {
		t.Fatalf("granted %v with %d in use, error %v", reply.Granted, m.granted(), err)
	}
}

// TestDrainHandsOverSlots stops a VM: it owns nothing, and ends once its permits have.
func TestDrainHandsOverSlots(t *testing.T) {
	_, managers := newTestCluster(t, 2, time.Now)
	time.Sleep(time.Millisecond)
	permit, err := managers[0].Acquire(t.Context(), testRequest(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	runManagers(t, managers)
	drained := make(chan error, 1)
	go func() { drained <- managers[0].Drain(t.Context()) }()
	eventually(t, "it owns nothing", func() bool { return len(managers[0].FreeSlots()) == 0 })
	select {
	case <-drained:
		t.Fatal("drained while a permit is in use")
	default:
	}
	permit.Release(OutcomeAnswered)
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
}
