package backend

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"filbertcross/internal/membership"
	"filbertcross/internal/model"
)

// Ownership says which VM owns each backend server's slots: the rendezvous
// choice among the VMs of the server's failure domain, or among all if there are
// none. VMs with the same view agree, and one VM's end moves its servers only.
type Ownership struct {
	all      *rendezvous.Rendezvous
	byDomain map[model.FailureDomain]*rendezvous.Rendezvous
	count    int
}

// NewOwnership returns the ownership among the members that may own: the live
// and the suspected ones, which keep what they own.
func NewOwnership(members []membership.Member) *Ownership {
	members = slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool {
		return m.State == membership.Dead || m.State == membership.Leaving
	})
	slices.SortFunc(members, func(a, b membership.Member) int { return cmp.Compare(a.ID, b.ID) })
	o := &Ownership{byDomain: make(map[model.FailureDomain]*rendezvous.Rendezvous), count: len(members)}
	if len(members) == 0 {
		return o
	}
	ids := make(map[model.FailureDomain][]string)
	var all []string
	for _, m := range members {
		all = append(all, string(m.ID))
		ids[m.FailureDomain] = append(ids[m.FailureDomain], string(m.ID))
	}
	o.all = rendezvous.New(all, xxhash.Sum64String)
	for domain, names := range ids {
		o.byDomain[domain] = rendezvous.New(names, xxhash.Sum64String)
	}
	return o
}

// Owner returns the VM that owns the server's slots, or "" if there is none.
func (o *Ownership) Owner(s Server) model.VMID {
	if o.count == 0 {
		return ""
	}
	if domain, ok := o.byDomain[s.FailureDomain]; ok {
		return model.VMID(domain.Lookup(string(s.ID)))
	}
	return model.VMID(o.all.Lookup(string(s.ID)))
}

// Members returns the number of VMs that may own servers.
func (o *Ownership) Members() int { return o.count }
