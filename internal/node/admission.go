package node

import (
	"context"
	"slices"
	"time"

	"filbertcross/internal/owner"
	"filbertcross/internal/pause"
)

// AdmitSubmission implements entry.ClusterView.
func (n *Node) AdmitSubmission(account string) (retryAfter time.Duration, admitted bool) {
	return n.gate.Arrive(account, n.opts.Owner.Clock())
}

// partsOfRates returns the parts of a VM, named by its peer address, of the rates of the accounts
// that send more than they may while capacity, or their quota, is short.
func (n *Node) partsOfRates(address string, load owner.Load) map[string]float64 {
	conf := n.Configuration()
	if conf == nil || conf.Accounts == nil || !load.ShortOfCapacity && len(load.ShortOfQuota) == 0 {
		return nil
	}
	rateOf := func(account string) float64 {
		if !load.ShortOfCapacity && !slices.Contains(load.ShortOfQuota, account) {
			return 0
		}
		a, _ := conf.Accounts.ByName(account)
		return a.Weight
	}
	return n.divider.Parts(address, rateOf, n.opts.Owner.Clock())
}

// limitOwnCallers does for the callers of this VM, while it is the owner, what polls do for followers.
func (n *Node) limitOwnCallers(ctx context.Context, o *owner.Owner) {
	for pause.For(ctx, attachPollTime) {
		n.divider.Report(n.opts.PeerAddress, n.gate.TakeArrivals(), n.opts.Owner.Clock())
		if load, err := o.Load(ctx); err == nil {
			n.gate.SetLimits(n.partsOfRates(n.opts.PeerAddress, load), n.opts.Owner.Clock())
		}
	}
}
