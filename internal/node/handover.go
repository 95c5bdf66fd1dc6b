package node

import (
	"context"
	"math/rand/v2"
	"time"

	"filbertcross/internal/owner"
)

// PreviousOwnerStopped implements owner.PreviousOwnerClient. A process with another incarnation at
// the address proves that the previous owner's process is dead.
func (n *Node) PreviousOwnerStopped(ctx context.Context, previous owner.Record, fence int64) (time.Duration, bool) {
	if previous.Address == n.opts.PeerAddress {
		if previous.Incarnation != n.opts.Incarnation {
			return n.started, true
		}
		return n.opts.Owner.Clock(), true // the terms of one process as the owner do not overlap
	}
	var reply stepDownResponse
	if err := n.opts.PeerClient.Call(ctx, previous.Address, methodStepDown, stepDownRequest{Fence: fence}, &reply); err != nil {
		return 0, false // the caller retries; without a response the leases expire
	}
	return n.opts.Owner.Clock(), reply.Stopped || reply.Incarnation != previous.Incarnation
}

// serveStepDown handles the request of a successor. A VM whose own election is still in progress
// responds that it has stopped: it grants no leases before the workers record names it as the
// owner, and the successor's key prevents that write.
func (n *Node) serveStepDown(ctx context.Context, r stepDownRequest) (stepDownResponse, error) {
	reply := stepDownResponse{Incarnation: n.opts.Incarnation, Stopped: true}
	if o := n.currentOwner.Load(); o != nil {
		reply.Stopped = o.StepDown(ctx, r.Fence)
	}
	return reply, nil
}

// FindSuccessor implements owner.SuccessorClient. Of the followers that can take over it returns
// the one with the shortest election delay, that is the largest. It queries the largest ones and
// a few others, as the store may not answer the former.
func (n *Node) FindSuccessor(ctx context.Context, keyRevision int64) (string, bool) {
	peers := takeoverCandidates(n.advisors.followersByElectionDelay())
	type candidate struct {
		address  string
		response takeoverCheckResponse
	}
	candidates := make(chan candidate, len(peers))
	for _, address := range peers {
		go func() {
			var reply takeoverCheckResponse
			if err := n.opts.PeerClient.Call(ctx, address, methodTakeoverCheck, takeoverRequest{KeyRevision: keyRevision}, &reply); err != nil {
				reply.CanTakeOver = false // this VM cannot request its takeover
			}
			candidates <- candidate{address, reply}
		}()
	}
	var best *candidate
	for range peers {
		select {
		case c := <-candidates:
			if c.response.CanTakeOver && (best == nil || c.response.ElectionDelay < best.response.ElectionDelay) {
				best = &c
			}
		case <-ctx.Done():
		}
	}
	if best == nil {
		return "", false
	}
	return best.address, true
}

// Numbers of VMs queried at once whether they could take over.
const (
	largeTakeoverCandidates = 5 // with the shortest election delays
	otherTakeoverCandidates = 3 // random
)

// takeoverCandidates selects the VMs to query from followers, which are sorted by election delay.
func takeoverCandidates(followers []string) []string {
	n := min(len(followers), largeTakeoverCandidates)
	large, others := followers[:n], followers[n:]
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(large, others[:min(len(others), otherTakeoverCandidates)]...)
}

// RequestTakeover implements owner.SuccessorClient.
func (n *Node) RequestTakeover(ctx context.Context, address string, keyRevision int64) error {
	return n.opts.PeerClient.Call(ctx, address, methodTakeover, takeoverRequest{KeyRevision: keyRevision}, nil)
}

// serveTakeoverCheck reports whether this VM could take over: the store answers it and has the
// key of the requesting owner.
func (n *Node) serveTakeoverCheck(ctx context.Context, r takeoverRequest) (takeoverCheckResponse, error) {
	if n.stopping.Load() {
		return takeoverCheckResponse{}, nil
	}
	item, found, err := n.ownerItem(ctx)
	return takeoverCheckResponse{CanTakeOver: err == nil && found && item.Revision == r.KeyRevision, ElectionDelay: n.opts.ElectionDelay}, nil
}

// serveTakeover makes this VM campaign to replace an owner that has ended.
func (n *Node) serveTakeover(_ context.Context, r takeoverRequest) (struct{}, error) {
	n.takeoverRevision.Store(r.KeyRevision)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopFollowing != nil && n.currentOwner.Load() == nil {
		n.stopFollowing()
	}
	return struct{}{}, nil
}

// setStopFollowing sets the function that interrupts the current election round of this VM.
func (n *Node) setStopFollowing(stop context.CancelFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopFollowing = stop
}
