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
// none, passing over those that own their even part already. VMs with the same
// view agree, and one VM's end moves few servers besides its own.
type Ownership struct {
	owners   map[ServerID]model.VMID
	eligible int
}

// NewOwnership assigns the servers to the members that may own.
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
			group = "" // of all VMs
		}
		groups[group] = append(groups[group], s)
	}
	for group, some := range groups {
		names := local[group]
		if len(names) == 0 {
			names = all
		}
		o.assign(names, some)
	}
	return o
}

// eligibleOwners returns the live members and the suspected ones, which keep what they
// own; the leaving ones only if there is no other, as when all VMs stop.
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

// assign gives each server to its first choice among the VMs that have room.
func (o *Ownership) assign(names []string, servers []Server) {
	if len(names) == 0 {
		return
	}
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	room := (len(servers) + len(names) - 1) / len(names)
	count := make(map[string]int, len(names))
	choice := rendezvous.New(names, xxhash.Sum64String)
	for _, s := range servers {
		name := choice.Lookup(string(s.ID))
		o.owners[s.ID] = model.VMID(name)
		count[name]++
		if count[name] == room {
			names = slices.DeleteFunc(slices.Clone(names), func(full string) bool { return full == name })
			choice = rendezvous.New(names, xxhash.Sum64String)
		}
	}
}

// Owner returns the VM that owns the server's slots, or "" if there is none.
func (o *Ownership) Owner(id ServerID) model.VMID { return o.owners[id] }

// EligibleOwners returns the number of VMs that may own servers.
func (o *Ownership) EligibleOwners() int { return o.eligible }
