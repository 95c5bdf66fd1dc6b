package server

import (
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
)

// directory finds the owner of a partition in the members' digests. Safe for
// concurrent use.
type directory struct {
	view membership.View
}

// Owner returns the address of the peer link of the VM that says it owns the
// partition under the highest epoch. local is true if that is this VM.
func (d directory) Owner(p model.PartitionID) (address string, local, ok bool) {
	var best membership.Member
	epoch := int64(-1)
	for _, m := range d.view.Members() {
		tenancy, owns := m.Digest.Partitions[p]
		if owns && m.State != membership.Dead && tenancy.Epoch > epoch {
			best, epoch = m, tenancy.Epoch
		}
	}
	if epoch < 0 {
		return "", false, false
	}
	return best.Address, best.ID == d.view.Self().ID, true
}
