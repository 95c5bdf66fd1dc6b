package partition

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"filbertcross/internal/membership"
	"filbertcross/internal/model"
)

// Info describes a partition for the assignment.
type Info struct {
	ID            model.PartitionID
	FailureDomain model.FailureDomain // empty: a key partition, which any VM may own
}

// AssignOwners assigns each partition to a VM by rendezvous hashing over the live VMs; VMs
// of the partition's own failure domain come first. A suspect VM keeps its partitions,
// since it may only be slow. While no VM is live the result lacks partitions. All VMs that
// see the same members compute the same result.
func AssignOwners(partitions []Info, members []membership.Member) map[model.PartitionID]model.VMID {
	byDomain := map[model.FailureDomain][]string{}
	var all []string
	for _, m := range members {
		if m.State != membership.Alive && m.State != membership.Suspect {
			continue
		}
		byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], string(m.ID))
		all = append(all, string(m.ID))
	}
	everywhere := newHash(all)
	hashes := map[model.FailureDomain]*rendezvous.Rendezvous{}
	for domain, ids := range byDomain {
		hashes[domain] = newHash(ids)
	}
	wanted := make(map[model.PartitionID]model.VMID, len(partitions))
	for _, p := range partitions {
		hash := hashes[p.FailureDomain]
		if hash == nil {
			hash = everywhere
		}
		if vm := hash.Lookup(string(p.ID)); vm != "" {
			wanted[p.ID] = model.VMID(vm)
		}
	}
	return wanted
}

func newHash(ids []string) *rendezvous.Rendezvous {
	return rendezvous.New(ids, xxhash.Sum64String)
}
