package node

import (
	"context"
	"math/rand/v2"
	"time"

	"filbertcross/internal/owner"
)

// Ended implements owner.Predecessor. Another process at the address proves that the earlier
// one is dead.
func (n *Node) PreviousOwnerStopped(ctx context.Context, earlier owner.Record, fence int64) (time.Duration, bool) {
	if earlier.Address == n.opts.PeerAddress {
		if earlier.Incarnation != n.opts.Incarnation {
			return n.started, true
		}
		return n.opts.Owner.Clock(), true // this process leads one term after the other
	}
	var reply stepDownResponse
	if err := n.opts.PeerClient.Call(ctx, earlier.Address, methodStepDown, stepDownRequest{Fence: fence}, &reply); err != nil {
		return 0, false // asked again; without an answer leases run out
	}
	return n.opts.Owner.Clock(), reply.Stopped || reply.Incarnation != earlier.Incarnation
}

// serveEnd answers a successor. A process that is being elected right now grants nothing before
// the record of workers names it, which the successor's key prevents.
func (n *Node) serveStepDown(ctx context.Context, r stepDownRequest) (stepDownResponse, error) {
	reply := stepDownResponse{Incarnation: n.opts.Incarnation, Stopped: true}
	if o := n.currentOwner.Load(); o != nil {
		reply.Stopped = o.StepDown(ctx, r.Fence)
	}
	return reply, nil
}

// Find implements owner.Successors: the largest of a few VMs.
func (n *Node) FindSuccessor(ctx context.Context, fence int64) (string, bool) {
	peers := n.advisors.followers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), maxTakeoverCandidates)]
	type offer struct {
		address string
		answer  takeoverCheckResponse
	}
	offers := make(chan offer, len(peers))
	for _, address := range peers {
		go func() {
			var reply takeoverCheckResponse
			if err := n.opts.PeerClient.Call(ctx, address, methodTakeoverCheck, takeoverRequest{Fence: fence}, &reply); err != nil {
				reply.CanTakeOver = false // it cannot take over when this VM does not reach it
			}
			offers <- offer{address, reply}
		}()
	}
	var best *offer
	for range peers {
		select {
		case o := <-offers:
			if o.answer.CanTakeOver && (best == nil || o.answer.ElectionDelay < best.answer.ElectionDelay) {
				best = &o
			}
		case <-ctx.Done():
		}
	}
	if best == nil {
		return "", false
	}
	return best.address, true
}

// offeredPeers is how many VMs are asked at once whether they could take over.
const maxTakeoverCandidates = 5

// Elect implements owner.Successors.
func (n *Node) RequestTakeover(ctx context.Context, address string, fence int64) error {
	return n.opts.PeerClient.Call(ctx, address, methodTakeover, takeoverRequest{Fence: fence}, nil)
}

// serveOffer tells an owner whether the store answers this VM and has the owner's key.
func (n *Node) serveTakeoverCheck(ctx context.Context, r takeoverRequest) (takeoverCheckResponse, error) {
	if n.stopping.Load() {
		return takeoverCheckResponse{}, nil
	}
	item, found, err := n.ownerItem(ctx)
	return takeoverCheckResponse{CanTakeOver: err == nil && found && item.Revision == r.Fence, ElectionDelay: n.opts.ElectionDelay}, nil
}

// serveTake makes this VM replace an owner that has ended.
func (n *Node) serveTakeover(_ context.Context, r takeoverRequest) (struct{}, error) {
	n.takeoverFence.Store(r.Fence)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopFollowing != nil && n.currentOwner.Load() == nil {
		n.stopFollowing()
	}
	return struct{}{}, nil
}

// setFollowing notes how to interrupt this VM's time as a follower.
func (n *Node) setStopFollowing(interrupt context.CancelFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopFollowing = interrupt
}
