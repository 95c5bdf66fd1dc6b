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

// fakeView is a membership whose members a test sets.
type fakeView struct{ members []membership.Member }

func (v *fakeView) Self() membership.Member      { return v.members[0] }
func (v *fakeView) Members() []membership.Member { return v.members }

// fakeHost remembers what it hosts.
type fakeHost struct {
	logs map[model.PartitionID]*partition.Log
}

func (h *fakeHost) Host(info partition.Info, log *partition.Log, _ partition.Replay) {
	h.logs[info.ID] = log
}

func (h *fakeHost) Withdraw(id model.PartitionID) (*partition.Log, bool) {
	log, ok := h.logs[id]
	delete(h.logs, id)
	return log, ok
}

func (h *fakeHost) Hosted() map[model.PartitionID]int64 {
	epochs := map[model.PartitionID]int64{}
	for id, log := range h.logs {
		epochs[id] = log.Epoch()
	}
	return epochs
}

// assignerRig is an assigner with a driven clock and one key partition.
type assignerRig struct {
	*assigner
	view *fakeView
	host *fakeHost
	time time.Time
}

const onlyPartition model.PartitionID = "k-0"

func newAssignerRig(t *testing.T, store platform.Store, self model.VMID) *assignerRig {
	t.Helper()
	settings := config.Default()
	settings.KeyPartitions = 1
	rig := &assignerRig{
		view: &fakeView{members: []membership.Member{{ID: self, FailureDomain: "bg-south-1"}}},
		host: &fakeHost{logs: map[model.PartitionID]*partition.Log{}},
		time: time.Unix(0, 0),
	}
	rig.assigner = newAssigner(settings, store, rig.view, nil, rig.host, event.Discard{})
	rig.now = func() time.Time { return rig.time }
	rig.SetList([]platform.VM{})
	rig.loadLayout(context.Background())
	return rig
}

// pass lets time pass and takes one step to its end; it reports whether the VM
// hosts the partition then.
func (r *assignerRig) pass(d time.Duration) bool {
	r.time = r.time.Add(d)
	r.step(context.Background())
	r.moves.Wait()
	return r.host.logs[onlyPartition] != nil
}

func member(id model.VMID, state membership.State) membership.Member {
	return membership.Member{ID: id, FailureDomain: "bg-south-1", State: state}
}

// wantedBesides returns an id that the partition prefers to other.
func wantedBesides(t *testing.T, other model.VMID) model.VMID {
	t.Helper()
	for n := range 100 {
		id := model.VMID(fmt.Sprintf("vm-%d", n))
		members := []membership.Member{member(other, membership.Alive), member(id, membership.Alive)}
		if partition.AssignOwners([]partition.Info{{ID: onlyPartition}}, members)[onlyPartition] == id {
			return id
		}
	}
	t.Fatal("no VM is preferred")
	return ""
}

// TestAssignerTakesFromTheDeadAtOnceAndWaitsForTheLiving follows one partition
// through its owners.
func TestAssignerTakesFromTheDeadAtOnceAndWaitsForTheLiving(t *testing.T) {
	store := platform.NewHTTPStore(serve(t, standin.NewStore(0, 0).Handler()).URL, time.Second)
	a := newAssignerRig(t, store, "vm-a")
	if a.pass(startDelay / 2) {
		t.Fatal("taken before the VM listened for the others")
	}
	if !a.pass(startDelay) {
		t.Fatal("a partition without an owner was not taken")
	}
	id := wantedBesides(t, "vm-a")
	b := newAssignerRig(t, store, id)
	b.view.members = append(b.view.members, member("vm-a", membership.Alive))
	a.view.members = append(a.view.members, member(id, membership.Alive))
	if b.pass(startDelay) {
		t.Fatal("taken from a live owner at once")
	}
	if !a.pass(wantedDelay / 2) {
		t.Fatal("released before the other VM was wanted for a while")
	}
	if a.pass(wantedDelay) {
		t.Fatal("not released to the wanted VM")
	}
	if !b.pass(takeoverRetry) {
		t.Fatal("not taken after its release")
	}
	c := newAssignerRig(t, store, "vm-a2")
	c.view.members = append(c.view.members, member(id, membership.Dead))
	if !c.pass(startDelay) {
		t.Fatal("not taken from a dead owner")
	}
	if err := b.host.logs[onlyPartition].Append(context.Background(), [][]byte{{1}}); err == nil {
		t.Fatal("the deposed owner could still append")
	}
}

// TestAssignerTakesFromALiveOwnerThatDoesNotLetGo: an owner that cannot reach the
// store cannot release.
func TestAssignerTakesFromALiveOwnerThatDoesNotLetGo(t *testing.T) {
	store := platform.NewHTTPStore(serve(t, standin.NewStore(0, 0).Handler()).URL, time.Second)
	a := newAssignerRig(t, store, "vm-a")
	a.pass(startDelay)
	b := newAssignerRig(t, store, wantedBesides(t, "vm-a"))
	b.view.members = append(b.view.members, member("vm-a", membership.Alive))
	if b.pass(startDelay) {
		t.Fatal("taken from a live owner at once")
	}
	if b.pass(releaseGrace/2) || !b.pass(releaseGrace) {
		t.Fatal("want it taken after the grace, not before")
	}
}

func TestAssignerTakesNothingWhileLeaving(t *testing.T) {
	store := platform.NewHTTPStore(serve(t, standin.NewStore(0, 0).Handler()).URL, time.Second)
	a := newAssignerRig(t, store, "vm-a")
	a.pass(startDelay)
	a.ReleaseAll(context.Background())
	if a.pass(time.Minute) {
		t.Fatal("a leaving VM took a partition")
	}
	record, err := partition.ReadOwnershipRecord(context.Background(), store, onlyPartition)
	if err != nil || !record.Released {
		t.Fatalf("record %+v, %v; want it released", record, err)
	}
}

// TestAssignerKeepsWhatNobodyElseWants: the last VM serves to its end.
func TestAssignerKeepsWhatNobodyElseWants(t *testing.T) {
	store := platform.NewHTTPStore(serve(t, standin.NewStore(0, 0).Handler()).URL, time.Second)
	a := newAssignerRig(t, store, "vm-a")
	a.pass(startDelay)
	a.view.members = []membership.Member{member("vm-a", membership.Leaving), member("vm-b", membership.Dead)}
	if !a.pass(wantedDelay) || !a.pass(2*wantedDelay) {
		t.Fatal("the last VM released a partition to nobody")
	}
}
