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

// fakeNetwork carries peer calls between the managers of one test, encoded as JSON.
type fakeNetwork struct {
	mu       sync.Mutex
	states   map[string]membership.State // by VM address
	cut      map[string]bool             // addresses that can't be reached
	order    []string
	handlers map[string]map[peer.Method]peer.Handler
	managers map[string]*Manager
}

// endpoint is the peer caller, the handler registry and the membership view of one
// VM.
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
	response, err := e.network.handlers[address][m](ctx, request)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(response)
	if err != nil {
		return err
	}
	return json.Unmarshal(encoded, result)
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

// testDigest replaces FreeSlots, which would take a lock that a caller on the same
// manager may hold.
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

// newTestCluster returns managers that know the same servers. Run is not started.
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

// eventually waits until the condition is true. It doesn't check how long that takes
// and fails the test after 2000 polls.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("condition not reached: %s", what)
}

func (m *Manager) granted() int {
	granted := 0
	m.eachPool(func(p *pool) { granted += p.table.Granted() })
	return granted
}

func testRequest(d time.Duration) SlotRequest {
	return SlotRequest{Service: testService, Branch: "north", Share: 1, Deadline: time.Now().Add(d)}
}

// acquireAll acquires the given number of slots through one VM. It ticks the manager
// while requests wait.
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

// TestOneVMBorrowsAllSlots acquires all slots of three owners through one VM. Each
// slot must be granted once, and the owners must get the slots back.
func TestOneVMBorrowsAllSlots(t *testing.T) {
	_, managers := newTestCluster(t, 3, time.Now)
	time.Sleep(time.Millisecond) // past the handover delay
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
		eventually(t, "all permits are released", func() bool { return m.granted() == 0 })
	}
}

func runManagers(t *testing.T, managers []*Manager) {
	for _, m := range managers {
		go func() { _ = m.Run(t.Context()) }()
	}
}

// TestPermitsOfDeadVMExpire marks the VM that holds all permits as dead. The owners
// must free its slots.
func TestPermitsOfDeadVMExpire(t *testing.T) {
	network, managers := newTestCluster(t, 3, time.Now)
	time.Sleep(time.Millisecond)
	runManagers(t, managers)
	acquireAll(t, managers[0], testServers*testSlots)
	network.setState("vm0", membership.Dead)
	for _, m := range managers[1:] {
		eventually(t, "the permits of the dead VM have ended", func() bool { return m.granted() == 0 })
	}
	acquireAll(t, managers[1], testServers*testSlots)
}

// TestLeavingServerGossip shows a leaving server in the list of one VM only. The
// other VMs must stop granting its slots, including one that can't reach the first
// VM and gets the report from the third.
func TestLeavingServerGossip(t *testing.T) {
	network, managers := newTestCluster(t, 3, time.Now)
	time.Sleep(time.Millisecond)
	network.cut["vm2"] = true // during the first gossip of vm0
	managers[0].UpdateServerList(time.Now(), testVMList("b1"))
	managers[0].gossip(managers[0].peers())
	eventually(t, "vm1 knows that b1 is leaving", func() bool { return managers[1].isLeaving("b1") })
	if managers[2].isLeaving("b1") {
		t.Fatal("vm2 knows that b1 is leaving although it was cut off")
	}
	network.mu.Lock()
	network.cut["vm2"], network.cut["vm0"] = false, true
	network.mu.Unlock()
	runManagers(t, managers[1:])
	for _, p := range acquireAll(t, managers[2], 1) {
		p.Release(OutcomeUnused)
	}
	eventually(t, "vm2 knows that b1 is leaving", func() bool { return managers[2].isLeaving("b1") })
	for _, m := range managers {
		if m.pool(testService).table.Owns("b1") {
			t.Errorf("%s still grants slots of b1", m.self)
		}
	}
}

// TestHandoverCountsSlotsInUse adds an owner while all slots are in use. The new
// owner must grant nothing before the previous owner's report, and after it only
// the slots that the previous owner's permits have released.
func TestHandoverCountsSlotsInUse(t *testing.T) {
	network, managers := newTestCluster(t, 2, time.Now)
	network.setState("vm1", membership.Dead) // not started yet
	managers[0].tick(time.Now())
	permits := acquireAll(t, managers[0], testServers*testSlots)
	managers[1].options.HandoverDelay = time.Minute
	managers[1].tick(time.Now()) // owns nothing
	network.setState("vm1", membership.Alive)
	network.cut["vm1"] = true
	managers[1].tick(time.Now())
	expectNoFreeSlots := func(when string) {
		t.Helper()
		if free, owns := managers[1].FreeSlots()[testService]; free != 0 || !owns {
			t.Fatalf("the new owner has %d free slots (owns some: %v) %s", free, owns, when)
		}
	}
	expectNoFreeSlots("before the report of the previous owner")
	network.mu.Lock()
	network.cut["vm1"] = false
	network.mu.Unlock()
	runManagers(t, managers)
	pool := managers[1].pool(testService)
	eventually(t, "the new owner has a report on every moved server", func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return len(pool.handoverReports) >= len(pool.ownedSlots)
	})
	expectNoFreeSlots("while all slots are in use")
	for _, p := range permits {
		p.Release(OutcomeAnswered)
	}
	eventually(t, "the new owner has all slots of the moved servers free", func() bool {
		return managers[1].FreeSlots()[testService] == len(pool.ownedSlots)*testSlots
	})
}

// TestReleaseBeforeGrant releases a permit before the request for it arrives. The
// request must not be granted.
func TestReleaseBeforeGrant(t *testing.T) {
	_, managers := newTestCluster(t, 1, time.Now)
	m := managers[0]
	if _, err := m.handleRelease(t.Context(), ReleaseRequest{Permit: "x/1", Service: testService}); err != nil {
		t.Fatal(err)
	}
	response, err := m.handleAcquire(t.Context(), AcquireRequest{Permit: "x/1", VM: "x", Service: testService, Share: 1, Lease: time.Minute})
	if err != nil || response.Granted || m.granted() != 0 {
		t.Fatalf("granted %v with %d in use, error %v", response.Granted, m.granted(), err)
	}
}

// TestDrainHandsOverSlots drains a VM. It must own no slots and finish draining only
// after its permit is released.
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
	eventually(t, "vm0 owns no slots", func() bool { return len(managers[0].FreeSlots()) == 0 })
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
