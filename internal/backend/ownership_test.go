package backend

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/proptest"
)

// TestOwnership checks that VMs that see the same members and servers in any order
// compute the same owner of every server. The owner is in the server's failure
// domain if a VM is there, and the servers are split evenly among the VMs.
func TestOwnership(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		domain := rapid.Custom(func(t *rapid.T) model.FailureDomain {
			return model.FailureDomain(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "domain")))
		})
		state := rapid.SampledFrom([]membership.State{membership.Alive, membership.Suspect, membership.Dead, membership.Leaving})
		members, home := []membership.Member{}, map[model.VMID]model.FailureDomain{}
		inDomain := map[model.FailureDomain]int{}
		for i := range rapid.IntRange(1, 9).Draw(t, "vms") {
			m := membership.Member{ID: model.VMID(fmt.Sprint("vm", i)), FailureDomain: domain.Draw(t, "of vm"), State: state.Draw(t, "state")}
			members = append(members, m)
		}
		for _, states := range [][2]membership.State{{membership.Alive, membership.Suspect}, {membership.Leaving, membership.Leaving}} {
			for _, m := range members {
				if m.State == states[0] || m.State == states[1] {
					home[m.ID] = m.FailureDomain
					inDomain[m.FailureDomain]++
				}
			}
			if len(home) > 0 {
				break // leaving members own servers only if there are no others
			}
		}
		var servers []Server
		perDomain := map[model.FailureDomain]int{}
		for i := range rapid.IntRange(1, 30).Draw(t, "servers") {
			s := Server{ID: ServerID(fmt.Sprint("b", i)), FailureDomain: domain.Draw(t, "of server")}
			servers = append(servers, s)
			perDomain[s.FailureDomain]++
		}
		o := NewOwnership(members, servers)
		again := NewOwnership(rapid.Permutation(members).Draw(t, "members"), rapid.Permutation(servers).Draw(t, "order"))
		owned := map[model.VMID]int{}
		for _, s := range servers {
			proptest.CountStep()
			owner := o.Owner(s.ID)
			if again.Owner(s.ID) != owner {
				t.Fatalf("server %s is owned by %s and by %s", s.ID, owner, again.Owner(s.ID))
			}
			ownerDomain, eligible := home[owner]
			if eligible != (len(home) > 0) || (inDomain[s.FailureDomain] > 0 && ownerDomain != s.FailureDomain) {
				t.Fatalf("server %s in domain %s is owned by %q in domain %s", s.ID, s.FailureDomain, owner, ownerDomain)
			}
			if inDomain[s.FailureDomain] > 0 {
				owned[owner]++
			}
		}
		for vm, n := range owned {
			if vms := inDomain[home[vm]]; n > (perDomain[home[vm]]+vms-1)/vms {
				t.Fatalf("%s owns %d of %d servers among %d VMs", vm, n, perDomain[home[vm]], vms)
			}
		}
	})
}
