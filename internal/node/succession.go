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
	var reply endAnswer
	if err := n.opts.PeerClient.Call(ctx, earlier.Address, methodEnd, endRequest{Fence: fence}, &reply); err != nil {
		return 0, false // asked again; without an answer leases run out
	}
	return n.opts.Owner.Clock(), reply.Ended || reply.Incarnation != earlier.Incarnation
}

// serveEnd answers a successor. A process that is being elected right now grants nothing before
// the record of workers names it, which the successor's key prevents.
func (n *Node) serveEnd(ctx context.Context, r endRequest) (endAnswer, error) {
	reply := endAnswer{Incarnation: n.opts.Incarnation, Ended: true}
	if o := n.current.Load(); o != nil {
		reply.Ended = o.StepDown(ctx, r.Fence)
	}
	return reply, nil
}

// Find implements owner.Successors: the largest of a few VMs.
func (n *Node) FindSuccessor(ctx context.Context, fence int64) (string, bool) {
	peers := n.advisors.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), offeredPeers)]
	type offer struct {
		address string
		answer  offerAnswer
	}
	offers := make(chan offer, len(peers))
	for _, address := range peers {
		go func() {
			var reply offerAnswer
			if err := n.opts.PeerClient.Call(ctx, address, methodOffer, offerRequest{Fence: fence}, &reply); err != nil {
				reply.Able = false // it cannot take over when this VM does not reach it
			}
			offers <- offer{address, reply}
		}()
	}
	var best *offer
	for range peers {
		select {
		case o := <-offers:
			if o.answer.Able && (best == nil || o.answer.Rank < best.answer.Rank) {
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
const offeredPeers = 5

// Elect implements owner.Successors.
func (n *Node) RequestTakeover(ctx context.Context, address string, fence int64) error {
	return n.opts.PeerClient.Call(ctx, address, methodTake, offerRequest{Fence: fence}, nil)
}

// serveOffer tells an owner whether the store answers this VM and has the owner's key.
func (n *Node) serveOffer(ctx context.Context, r offerRequest) (offerAnswer, error) {
	if n.stopping.Load() {
		return offerAnswer{}, nil
	}
	item, found, err := n.ownerItem(ctx)
	return offerAnswer{Able: err == nil && found && item.Revision == r.Fence, Rank: n.opts.ElectionDelay}, nil
}

// serveTake makes this VM replace an owner that has ended.
func (n *Node) serveTake(_ context.Context, r offerRequest) (struct{}, error) {
	n.offered.Store(r.Fence)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.unfollow != nil && n.current.Load() == nil {
		n.unfollow()
	}
	return struct{}{}, nil
}

// setFollowing notes how to interrupt this VM's time as a follower.
func (n *Node) setFollowing(interrupt context.CancelFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unfollow = interrupt
}
