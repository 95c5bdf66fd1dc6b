package node

import (
	"context"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/owner"
	"filbertcross/internal/pause"
	"filbertcross/internal/peer"
)

// Timing of following the owner and of elections.
const (
	attachPollTime         = 500 * time.Millisecond // after which the owner responds to a long poll without changes
	attachTimeout          = attachPollTime + 500*time.Millisecond
	ownerWatchTime         = 700 * time.Millisecond // long poll of the owner's key by a follower whose owner does not respond
	storeTimeout           = 700 * time.Millisecond
	electionRetryDelay     = 100 * time.Millisecond
	minOwnershipTime       = 2 * time.Second        // before a small owner resigns for a large follower, so that there is an owner meanwhile
	minElectionDelayGap    = 300 * time.Millisecond // by which the follower's election delay must be shorter
	campaignJitter         = 30 * time.Millisecond  // random, so that not all VMs campaign at once
	ownerLoadingRetryDelay = 40 * time.Millisecond  // while the new owner loads the stored state, which takes about 100 ms
	ownerLoadingAttempts   = 12

	// reacquisitionTime is how long a follower of a suspended owner leaves it the time to reacquire an
	// absent key: the owner's next renewal shows it the loss, and two store calls follow.
	reacquisitionTime      = 500 * time.Millisecond
	suspendedCheckInterval = 150 * time.Millisecond
)

// runElection keeps this VM either the owner or a follower until ctx is done.
func (n *Node) runElection(ctx context.Context) {
	for ctx.Err() == nil {
		if revision := n.takeoverRevision.Swap(0); revision != 0 {
			n.campaign(ctx, revision, "the owner handed over")
			continue
		}
		roundCtx, cancel := context.WithCancel(ctx)
		n.setStopFollowing(cancel)
		n.electionRound(roundCtx)
		cancel()
	}
}

// electionRound follows the current owner until it is lost, or campaigns if there is none.
func (n *Node) electionRound(ctx context.Context) {
	answers := n.storeAnswers.Next() // reads sent before the store answers again have no response
	var item fleet.Item
	var found bool
	var err error
	interrupted := !pause.WaitFor(ctx, answers, func() { item, found, err = n.ownerItem(ctx) })
	switch {
	case interrupted:
	case err != nil:
		n.followThroughPeers(ctx)
		pause.WaitFor(ctx, answers, func() { pause.For(ctx, electionRetryDelay) })
	case !found:
		n.campaignAfterDelay(ctx, 0, "no VM is the owner")
	default:
		n.followRecordedOwner(ctx, item)
	}
}

// followRecordedOwner follows the owner named by the item of the owner key. It campaigns to replace
// that owner if its address is this process's own, as only one process listens at an address, or
// if the address refuses connections, as the owner is dead then.
func (n *Node) followRecordedOwner(ctx context.Context, item fleet.Item) {
	record, err := owner.ParseRecord(item.Value)
	if err != nil {
		n.opts.Events.Record(event.StoredEntryInvalid, item.Key, err)
		n.watchOwner(ctx, item.Revision)
		return
	}
	if record.Address == n.opts.PeerAddress {
		n.campaignAfterDelay(ctx, item.Revision, "a previous process of this VM was the owner")
		return
	}
	recentlyLost := n.lostOwnerRevision == item.Revision
	for range ownerLoadingAttempts {
		switch n.followOwnerOfKey(ctx, record.Address, item.Revision, recentlyLost) {
		case ownerDead:
			if connectionRefused(ctx, record.Address) {
				n.campaignAfterDelay(ctx, item.Revision, "the owner's address refuses connections")
				return
			}
		case ownerLoading:
			if pause.For(ctx, ownerLoadingRetryDelay) {
				continue
			}
		}
		break
	}
	n.lostOwnerRevision = item.Revision
	n.watchOwner(ctx, item.Revision)
}

// followOwnerOfKey follows the owner at the address, whose key has the given revision. The VM of an
// owner that was lost recently may be down, and calls to it would hang. In that case following also
// ends when the key changes within the first watch.
func (n *Node) followOwnerOfKey(ctx context.Context, address string, revision int64, recentlyLost bool) followResult {
	if recentlyLost {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		go func() {
			if n.watchOwner(ctx, revision) {
				cancel()
			}
		}()
	}
	return n.follow(ctx, address)
}

// connectionRefused reports whether the address refuses a new connection. A refusal cached by the
// peer client may be older than the owner record that is to be replaced.
func connectionRefused(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: storeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// watchOwner waits until the owner's key changes or ownerWatchTime has passed, and reports whether
// it changed. It also ends when the store answers again, as the watch may have been sent before.
func (n *Node) watchOwner(ctx context.Context, revision int64) bool {
	var changed bool
	ended := pause.WaitFor(ctx, n.storeAnswers.Next(), func() {
		ctx, cancel := context.WithTimeout(ctx, ownerWatchTime+storeTimeout)
		defer cancel()
		items, _, err := n.opts.Store.Watch(ctx, owner.Key, revision, ownerWatchTime)
		if err != nil {
			pause.For(ctx, electionRetryDelay)
		}
		changed = len(items) > 0
	})
	return ended && changed
}

func (n *Node) ownerItem(ctx context.Context) (fleet.Item, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var item fleet.Item
	var found bool
	err := n.storeHealth.Observe(func() (err error) {
		item, found, _, err = n.opts.Store.Get(ctx, owner.Key)
		return err
	})
	return item, found, err
}

// campaignAfterDelay campaigns after this VM's election delay and a jitter, so that not all VMs
// campaign at once and larger ones are elected first.
func (n *Node) campaignAfterDelay(ctx context.Context, replace int64, reason string) {
	if pause.For(ctx, n.opts.ElectionDelay+rand.N(campaignJitter)) {
		n.campaign(ctx, replace, reason)
	}
}

// campaign tries to become the owner and runs the owner until ownership ends. replace is the
// revision of the owner key to be replaced; 0: the key is absent. reason is recorded in events.
func (n *Node) campaign(ctx context.Context, replace int64, reason string) {
	if n.stopping.Load() {
		pause.For(ctx, electionRetryDelay)
		return
	}
	record := owner.Record{Node: n.opts.Name, Address: n.opts.PeerAddress, Incarnation: n.opts.Incarnation}
	ownership, err := owner.Campaign(ctx, n.opts.Store, n.opts.Owner.Clock, n.opts.Owner.LeaseTTL, record, replace)
	if err != nil {
		n.opts.Events.Record(event.CampaignFailed, reason, err)
		if !errors.Is(err, owner.ErrAlreadyOwned) {
			pause.For(ctx, electionRetryDelay)
		}
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.setResign(cancel)
	defer n.setResign(nil)
	if n.stopping.Load() {
		cancel() // the process began to stop during the election
	}
	o := owner.New(n.opts.Owner, ownership)
	n.detach()
	n.currentOwner.Store(o)
	defer n.sender.Clear()
	defer n.currentOwner.Store(nil)
	if conf := n.Configuration(); conf != nil {
		go o.SetConfiguration(ctx, conf)
	}
	go n.limitOwnCallers(ctx, o)
	if err := o.Run(ctx, reason); err != nil && ctx.Err() == nil {
		pause.For(ctx, electionRetryDelay)
	}
}

// setResign sets the function that ends this VM's ownership; nil: it is not the owner.
func (n *Node) setResign(resign context.CancelFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resign, n.electedAt = resign, time.Now()
}

// resignOwnership gives up ownership if this VM has it. While the store does not answer, no
// successor can be elected, so this VM keeps renewing the leases of the workers until the
// deadline.
func (n *Node) resignOwnership(deadline time.Time) {
	for n.currentOwner.Load() != nil && time.Now().Before(deadline) {
		if _, _, err := n.ownerItem(context.Background()); err == nil {
			break
		}
		time.Sleep(electionRetryDelay)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resign != nil {
		n.resign()
		n.resign = nil
	}
}

// followResult is the reason why following an owner ended.
type followResult int

const (
	ownerLost    followResult = iota // it does not respond, or is no longer the owner
	ownerLoading                     // it was elected recently and still loads the stored state
	ownerDead                        // its address refused a connection
)

// follow polls the owner at the address until a poll fails.
func (n *Node) follow(ctx context.Context, address string) followResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer n.detach()
	suspended := newSuspendedOwnerWatch(n, cancel)
	for attached := false; ctx.Err() == nil; {
		sent := n.opts.Owner.Clock()
		reply, err := n.attach(ctx, address)
		if err != nil {
			var failure *peer.Error
			noListener := errors.As(err, &failure) && failure.NoListener
			if attached {
				n.opts.Events.Record(event.OwnerUnreachable, address, noListener, err)
			}
			switch {
			case noListener:
				return ownerDead
			case !attached && failure != nil && failure.Code == peer.CodeNotOwner:
				return ownerLoading
			}
			return ownerLost
		}
		if !attached {
			attached = true
			n.opts.Events.Record(event.OwnerFound, address, address, reply.Fence)
		}
		suspended.update(ctx, address, reply.Suspended)
		n.applyAnnouncement(ctx, address, reply)
		n.confirmAnnounced(sent, reply)
	}
	return ownerLost
}

// attach makes one long poll of the owner at the address and applies the response.
func (n *Node) attach(ctx context.Context, address string) (attachResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	var reply attachResponse
	request := attachRequest{
		Name: n.opts.Name, Address: n.opts.PeerAddress, ElectionDelay: n.opts.ElectionDelay,
		Configuration: max(n.configurations.version(), n.transfer.announced()), AcceptsChunks: true, JudgesAge: true, AcceptsSuspended: true,
		Arrivals: n.gate.TakeArrivals(),
	}
	if n.currentOwnerAddress() != address {
		request.Configuration = -1 // the first poll of an owner returns at once
	}
	if err := n.opts.PeerClient.Call(ctx, address, methodAttach, request, &reply); err != nil {
		return reply, err
	}
	n.gate.SetLimits(reply.Limits, n.opts.Owner.Clock())
	if reply.Room != nil {
		n.room.Set(*reply.Room)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.ownerAddress, n.lastOwner, n.attachedAt = address, address, now
	n.queueLengths, n.queueLengthsAt = reply.QueueLengths, now
	if len(reply.Peers) > 0 {
		n.peers = reply.Peers
	}
	return reply, nil
}

// detach records that this VM follows no owner.
func (n *Node) detach() {
	n.transfer.withdraw()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ownerAddress, n.attachedAt = "", time.Time{}
}

// followThroughPeers queries other VMs for the owner while the store does not answer this VM, and
// follows it.
func (n *Node) followThroughPeers(ctx context.Context) {
	n.mu.Lock()
	peers := append(n.advisors.followers(), n.peers...) // the followers of this VM, and the VMs listed by the last owner
	n.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range peers[:min(len(peers), maxQueriedPeers)] {
		if address == n.opts.PeerAddress {
			continue
		}
		var reply ownerResponse
		callCtx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
		err := n.opts.PeerClient.Call(callCtx, address, methodOwner, struct{}{}, &reply)
		cancel()
		if err == nil && reply.Address != "" && reply.Address != n.opts.PeerAddress {
			n.follow(ctx, reply.Address)
			return
		}
	}
}

// maxQueriedPeers is the number of VMs queried for the owner in one round.
const maxQueriedPeers = 3
