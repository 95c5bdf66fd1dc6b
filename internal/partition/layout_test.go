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

// The assignment goes to live VMs only, those of the partition's own failure
// domain first, and the loss of a VM moves no partition but its own.
func TestWanted(t *testing.T) {
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
			checkWanted(t, p, members, after[p.ID])
			if before[p.ID] != members[lost].ID && before[p.ID] != after[p.ID] {
				t.Fatalf("%s moved from %s to %s", p.ID, before[p.ID], after[p.ID])
			}
		}
	})
}

func checkWanted(t *rapid.T, p Info, members []membership.Member, owner model.VMID) {
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

// VMs that create the layout at the same time agree, a lost answer changes nothing,
// and a failure domain added later moves neither keys nor workers.
func TestLayoutIsAgreedAndOnlyGrows(t *testing.T) {
	store := newFakeStore()
	ctx := context.Background()
	worker := func(domain, rack string) platform.VM {
		return platform.VM{Role: platform.RoleWorker, FailureDomain: model.FailureDomain(domain), Rack: rack}
	}
	var other Layout
	store.interruptIn = 1
	store.interrupt = func() { other, _ = LoadLayout(ctx, store, []platform.VM{worker("a", "r1")}, 4) }
	first, err := LoadLayout(ctx, store, []platform.VM{worker("a", "r1"), worker("a", "r2")}, 16)
	if err != nil || !reflect.DeepEqual(first, other) {
		t.Fatalf("%+v and %+v, %v", first, other, err)
	}
	store.plan = []fault{none, answerLost}
	grown, err := LoadLayout(ctx, store, []platform.VM{worker("b", "r3")}, 16)
	if err != nil || len(grown.Domains) != 2 {
		t.Fatalf("%+v, %v", grown, err)
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
