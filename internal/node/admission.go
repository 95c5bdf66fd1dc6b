package node

import (
	"context"
	"time"

	"filbertcross/internal/admission"
	"filbertcross/internal/dispatch"
	"filbertcross/internal/fleet"
	"filbertcross/internal/owner"
	"filbertcross/internal/pause"
)

// AdmitSubmission implements entry.ClusterView.
func (n *Node) AdmitSubmission(stream admission.Stream) (retryAfter time.Duration, admitted bool) {
	return n.gate.Arrive(stream, n.opts.Owner.Clock())
}

// partsOfLimits returns the parts of a VM, named by its peer address, of the limits of the overdue
// streams whose accounts send more than their rates.
func (n *Node) partsOfLimits(address string, load owner.Load) map[admission.Stream]admission.Limit {
	conf := n.Configuration()
	if conf == nil || conf.Accounts == nil || len(load.Overdue) == 0 {
		return nil
	}
	limitOf := func(account string) admission.Limit {
		a, _ := conf.Accounts.ByName(account)
		return n.opts.Owner.Dispatch.RateBurst.Limit(a.Weight)
	}
	return n.divider.Parts(address, load.Overdue, limitOf, n.opts.Owner.Clock())
}

// AdmitMemory implements entry.ClusterView.
func (n *Node) AdmitMemory(sub *fleet.Submission) bool {
	return n.room.Take(dispatch.SubmissionBytes(sub))
}

// partOfRoom returns the part of each VM of the memory that this VM, the owner, has left for submissions.
func (n *Node) partOfRoom(load owner.Load) admission.Room {
	return admission.PartOfRoom(n.opts.SubmissionMemory, load.HeldBytes, len(n.advisors.followers())+1)
}

// limitOwnCallers does for the callers of this VM, while it is the owner, what polls do for followers.
func (n *Node) limitOwnCallers(ctx context.Context, o *owner.Owner) {
	for pause.For(ctx, attachPollTime) {
		n.divider.Report(n.opts.PeerAddress, n.gate.TakeArrivals(), n.opts.Owner.Clock())
		if load, err := o.Load(ctx); err == nil {
			n.gate.SetLimits(n.partsOfLimits(n.opts.PeerAddress, load), n.opts.Owner.Clock())
			n.room.Set(n.partOfRoom(load))
		}
	}
}
