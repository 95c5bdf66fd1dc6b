package backend

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"filbertcross/internal/membership"
	"filbertcross/internal/model"
)

// Ownership maps each backend server to the VM that owns its slots. The owner is
// chosen by rendezvous hashing among the VMs in the server's failure domain, or
// among all VMs if that domain has none. VMs that already own an even split of
// the servers are skipped. VMs with the same view compute the same owners, and
// the loss of one VM moves few servers that it didn't own.
type Ownership struct {
	owners   map[ServerID]model.VMID
	eligible int
}

// NewOwnership assigns the servers to the members that may own servers.
func NewOwnership(members []membership.Member, servers []Server) *Ownership {
	members = eligibleOwners(members)
	o := &Ownership{owners: make(map[ServerID]model.VMID, len(servers)), eligible: len(members)}
	var all []string
	local := make(map[model.FailureDomain][]string)
	for _, m := range members {
		all = append(all, string(m.ID))
		local[m.FailureDomain] = append(local[m.FailureDomain], string(m.ID))
	}
	groups := make(map[model.FailureDomain][]Server)
	for _, s := range servers {
		group := s.FailureDomain
		if len(local[group]) == 0 {
			group = "" // assigned among all VMs
		}
		groups[group] = append(groups[group], s)
	}
	for group, groupServers := range groups {
		names := local[group]
		if len(names) == 0 {
			names = all
		}
		o.assign(names, groupServers)
	}
	return o
}

// eligibleOwners returns the alive and the suspect members; a suspect keeps its
// servers. If there are none, as when all VMs stop, it returns the leaving ones.
func eligibleOwners(members []membership.Member) []membership.Member {
	var staying, leaving []membership.Member
	for _, m := range members {
		switch m.State {
		case membership.Alive, membership.Suspect:
			staying = append(staying, m)
		case membership.Leaving:
			leaving = append(leaving, m)
		}
	}
	if len(staying) == 0 {
		return leaving
	}
	return staying
}

// assign gives each server to its first rendezvous choice among the VMs with free
// capacity.
func (o *Ownership) assign(names []string, servers []Server) {
	if len(names) == 0 {
		return
	}
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	capacity := (len(servers) + len(names) - 1) / len(names)
	count := make(map[string]int, len(names))
	choice := rendezvous.New(names, xxhash.Sum64String)
	for _, s := range servers {
		name := choice.Lookup(string(s.ID))
		o.owners[s.ID] = model.VMID(name)
		count[name]++
		if count[name] == capacity {
			names = slices.DeleteFunc(slices.Clone(names), func(full string) bool { return full == name })
			choice = rendezvous.New(names, xxhash.Sum64String)
		}
	}
}

// Owner returns the VM that owns the server's slots, or "" if there is none.
func (o *Ownership) Owner(id ServerID) model.VMID { return o.owners[id] }

// EligibleOwners returns the number of VMs that may own servers.
func (o *Ownership) EligibleOwners() int { return o.eligible }
