package server

import (
	"context"
	"fmt"
	"testing"
	"time"

	"filbertcross/internal/config"
	"filbertcross/internal/event"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/partition"
	"filbertcross/internal/platform"
	"filbertcross/internal/standin"
)

// fakeView is a membership.View whose members are set by the test; the first is self.
type fakeView struct{ members []membership.Member }

func (v *fakeView) Self() membership.Member      { return v.members[0] }
func (v *fakeView) Members() []membership.Member { return v.members }

// fakeHost is a partitionHost that records the hosted partitions.
type fakeHost struct {
	logs map[model.PartitionID]*partition.Log
}

func (h *fakeHost) StartHosting(info partition.Info, log *partition.Log, _ partition.Replay) {
	h.logs[info.ID] = log
}

func (h *fakeHost) StopHosting(id model.PartitionID) (*partition.Log, bool) {
	log, ok := h.logs[id]
	delete(h.logs, id)
	return log, ok
}

func (h *fakeHost) HostedEpochs() map[model.PartitionID]int64 {
	epochs := map[model.PartitionID]int64{}
	for id, log := range h.logs {
		epochs[id] = log.Epoch()
	}
	return epochs
}

// testAssigner is an assigner with a manual clock and a layout of one key partition.
type testAssigner struct {
	*assigner
	view  *fakeView
	host  *fakeHost
	clock time.Time
}

const testPartition model.PartitionID = "k-0"

func newTestAssigner(t *testing.T, store platform.Store, self model.VMID) *testAssigner {
	t.Helper()
	settings := config.Default()
	settings.KeyPartitions = 1
	a := &testAssigner{
		view:  &fakeView{members: []membership.Member{{ID: self, FailureDomain: "bg-south-1"}}},
		host:  &fakeHost{logs: map[model.PartitionID]*partition.Log{}},
		clock: time.Unix(0, 0),
	}
	a.assigner = newAssigner(settings, store, a.view, nil, a.host, event.Discard{})
	a.now = func() time.Time { return a.clock }
	a.UpdateVMList([]platform.VM{})
	a.loadLayout(context.Background())
	return a
}

// advance advances the clock, reconciles once and waits for the moves. It reports whether
// the VM hosts the partition afterwards.
func (a *testAssigner) advance(d time.Duration) bool {
	a.clock = a.clock.Add(d)
	a.reconcile(context.Background())
	a.movesInFlight.Wait()
	return a.host.logs[testPartition] != nil
}

func member(id model.VMID, state membership.State) membership.Member {
	return membership.Member{ID: id, FailureDomain: "bg-south-1", State: state}
}

// vmPreferredOver returns a VM id that is the wanted owner of the partition when other is
// the only other live member.
func vmPreferredOver(t *testing.T, other model.VMID) model.VMID {
	t.Helper()
	for n := range 100 {
		id := model.VMID(fmt.Sprintf("vm-%d", n))
		members := []membership.Member{member(other, membership.Alive), member(id, membership.Alive)}
		if partition.AssignOwners([]partition.Info{{ID: testPartition}}, members)[testPartition] == id {
			return id
		}
	}
	t.Fatal("no VM id is preferred")
	return ""
}

// TestAssignerTakesOverFromDeadOwnerAtOnceAndWaitsForLiveOwner moves one partition through
// three owners: a takes it over without a previous owner, a releases it to b, and c takes
// it over from b, which is dead.
func TestAssignerTakesOverFromDeadOwnerAtOnceAndWaitsForLiveOwner(t *testing.T) {
	store := platform.NewHTTPStore(startHTTPServer(t, standin.NewStore(0, 0).Handler()).URL, time.Second)
	a := newTestAssigner(t, store, "vm-a")
	if a.advance(initialTakeoverDelay / 2) {
		t.Fatal("partition taken over before initialTakeoverDelay")
	}
	if !a.advance(initialTakeoverDelay) {
		t.Fatal("partition without an owner was not taken over")
	}
	id := vmPreferredOver(t, "vm-a")
	b := newTestAssigner(t, store, id)
	b.view.members = append(b.view.members, member("vm-a", membership.Alive))
	a.view.members = append(a.view.members, member(id, membership.Alive))
	if b.advance(initialTakeoverDelay) {
		t.Fatal("taken over from a live owner without delay")
	}
	if !a.advance(ownerChangeDelay / 2) {
		t.Fatal("released before the other VM was wanted for ownerChangeDelay")
	}
	if a.advance(ownerChangeDelay) {
		t.Fatal("not released to the wanted owner")
	}
	if !b.advance(takeoverRetryDelay) {
		t.Fatal("not taken over after its release")
	}
	c := newTestAssigner(t, store, "vm-a2")
	c.view.members = append(c.view.members, member(id, membership.Dead))
	if !c.advance(initialTakeoverDelay) {
		t.Fatal("not taken over from a dead owner")
	}
	if err := b.host.logs[testPartition].Append(context.Background(), [][]byte{{1}}); err == nil {
		t.Fatal("append by the previous owner succeeded after the takeover")
	}
}

// TestAssignerTakesOverFromLiveOwnerThatDoesNotRelease covers an owner that cannot release
// its partition because it cannot reach the store.
func TestAssignerTakesOverFromLiveOwnerThatDoesNotRelease(t *testing.T) {
	store := platform.NewHTTPStore(startHTTPServer(t, standin.NewStore(0, 0).Handler()).URL, time.Second)
	a := newTestAssigner(t, store, "vm-a")
	a.advance(initialTakeoverDelay)
	b := newTestAssigner(t, store, vmPreferredOver(t, "vm-a"))
	b.view.members = append(b.view.members, member("vm-a", membership.Alive))
	if b.advance(initialTakeoverDelay) {
		t.Fatal("taken over from a live owner without delay")
	}
	if b.advance(releaseGrace/2) || !b.advance(releaseGrace) {
		t.Fatal("want the takeover after releaseGrace, not before")
	}
}

func TestAssignerTakesOverNothingWhileLeaving(t *testing.T) {
	store := platform.NewHTTPStore(startHTTPServer(t, standin.NewStore(0, 0).Handler()).URL, time.Second)
	a := newTestAssigner(t, store, "vm-a")
	a.advance(initialTakeoverDelay)
	a.ReleaseAll(context.Background())
	if a.advance(time.Minute) {
		t.Fatal("leaving VM took a partition over")
	}
	record, err := partition.ReadOwnershipRecord(context.Background(), store, testPartition)
	if err != nil || !record.Released {
		t.Fatalf("record %+v, error %v; want it released", record, err)
	}
}

// TestAssignerKeepsPartitionsWithoutWantedOwner checks that the last VM serves its
// partitions until it stops, also while it is leaving.
func TestAssignerKeepsPartitionsWithoutWantedOwner(t *testing.T) {
	store := platform.NewHTTPStore(startHTTPServer(t, standin.NewStore(0, 0).Handler()).URL, time.Second)
	a := newTestAssigner(t, store, "vm-a")
	a.advance(initialTakeoverDelay)
	a.view.members = []membership.Member{member("vm-a", membership.Leaving), member("vm-b", membership.Dead)}
	if !a.advance(ownerChangeDelay) || !a.advance(2*ownerChangeDelay) {
		t.Fatal("the last VM released a partition that has no wanted owner")
	}
}
