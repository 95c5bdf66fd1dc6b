package server

import (
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
)

// directory looks up partition owners in the members' digests. Safe for concurrent use.
type directory struct {
	view membership.View
}

// Owner returns the peer address of the VM that reports the partition with the highest
// epoch; local is true if that is this VM, ok is false if no VM that is not dead reports
// the partition.
func (d directory) Owner(p model.PartitionID) (address string, local, ok bool) {
	var best membership.Member
	epoch := int64(-1)
	for _, m := range d.view.Members() {
		summary, owns := m.Digest.Partitions[p]
		if owns && m.State != membership.Dead && summary.Epoch > epoch {
			best, epoch = m, summary.Epoch
		}
	}
	if epoch < 0 {
		return "", false, false
	}
	return best.Address, best.ID == d.view.Self().ID, true
}
