package partition

import (
	"context"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/proptest"
)

// Partitions are assigned only to live VMs, first to those of the partition's own failure
// domain, and the loss of a VM moves only the partitions of that VM.
func TestAssignOwnersPrefersOwnDomainAndMovesOnlyLostVM(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		var members []membership.Member
		for i := range rapid.IntRange(2, 9).Draw(t, "vms") {
			members = append(members, membership.Member{ID: model.VMID(fmt.Sprintf("vm%d", i)),
				FailureDomain: model.FailureDomain(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "domain")))})
		}
		layout := Layout{Domains: []Domain{{"0", 4}, {"1", 4}, {"2", 4}}, KeyPartitions: 8}
		before := AssignOwners(layout.Partitions(), members)
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "lost")
		members[lost].State = membership.Dead
		after := AssignOwners(layout.Partitions(), members)
		for _, p := range layout.Partitions() {
			checkOwner(t, p, members, after[p.ID])
			if before[p.ID] != members[lost].ID && before[p.ID] != after[p.ID] {
				t.Fatalf("%s moved from %s to %s", p.ID, before[p.ID], after[p.ID])
			}
		}
	})
}

func checkOwner(t *rapid.T, p Info, members []membership.Member, owner model.VMID) {
	atHome, ownersDomain := false, model.FailureDomain("none")
	for _, m := range members {
		if m.State != membership.Alive {
			continue
		}
		atHome = atHome || m.FailureDomain == p.FailureDomain
		if m.ID == owner {
			ownersDomain = m.FailureDomain
		}
	}
	if ownersDomain == "none" || atHome && ownersDomain != p.FailureDomain {
		t.Fatalf("%s of domain %q is owned by %s of %q", p.ID, p.FailureDomain, owner, ownersDomain)
	}
}

// VMs that create the layout concurrently agree on it, a lost answer changes nothing, and
// a failure domain added later moves neither keys nor workers.
func TestConcurrentLayoutCreationAgreesAndGrowthMovesNothing(t *testing.T) {
	store := newFakeStore()
	ctx := context.Background()
	worker := func(domain, rack string) platform.VM {
		return platform.VM{Role: platform.RoleWorker, FailureDomain: model.FailureDomain(domain), Rack: rack}
	}
	var other Layout
	store.interruptAfter = 1
	store.interrupt = func() { other, _ = LoadLayout(ctx, store, []platform.VM{worker("a", "r1")}, 4) }
	first, err := LoadLayout(ctx, store, []platform.VM{worker("a", "r1"), worker("a", "r2")}, 16)
	if err != nil || !reflect.DeepEqual(first, other) {
		t.Fatalf("layouts %+v and %+v, error %v", first, other, err)
	}
	store.faultPlan = []fault{noFault, answerLost}
	grown, err := LoadLayout(ctx, store, []platform.VM{worker("b", "r3")}, 16)
	if err != nil || len(grown.Domains) != 2 {
		t.Fatalf("layout with a new domain: %+v, error %v", grown, err)
	}
	for i := range 100 {
		key := fmt.Sprint(i)
		before, _ := first.HomePartition("b", key)
		after, _ := grown.HomePartition("b", key)
		if before != after || first.KeyPartition("b", key) != grown.KeyPartition("b", key) {
			t.Fatalf("key %s moved", key)
		}
	}
}
