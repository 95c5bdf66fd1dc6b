package node

import (
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/owner"
	"filbertcross/internal/pause"
	"filbertcross/internal/peer"
)

// Timing of following and of elections.
const (
	attachPollTime         = 500 * time.Millisecond // the owner answers a long poll after this, or with news
	attachTimeout          = attachPollTime + 500*time.Millisecond
	ownerWatchTime         = 700 * time.Millisecond // a follower without an answer looks at the owner's key so long
	storeTimeout           = 700 * time.Millisecond
	electionRetryDelay     = 100 * time.Millisecond
	minOwnershipTime       = 2 * time.Second        // a small owner gives way to a large follower, not at once so that there is an owner
	minElectionDelayGap    = 300 * time.Millisecond // a follower has to be so much larger, in terms of rank
	campaignJitter         = 30 * time.Millisecond  // random, so that not all campaign at once
	ownerLoadingRetryDelay = 40 * time.Millisecond  // of a follower whose owner loads what lasts, which takes about 100 ms
	ownerLoadingAttempts   = 12
)

// lead makes this VM the owner or a follower, until ctx is done.
func (n *Node) runElection(ctx context.Context) {
	for ctx.Err() == nil {
		if fence := n.takeoverFence.Swap(0); fence != 0 {
			n.campaign(ctx, fence, "the owner handed over")
			continue
		}
		round, cancel := context.WithCancel(ctx)
		n.setStopFollowing(cancel)
		n.electionRound(round)
		cancel()
	}
}

// leadRound follows the owner while it lasts, or contends for the authority.
func (n *Node) electionRound(ctx context.Context) {
	item, found, err := n.ownerItem(ctx)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		n.followThroughPeers(ctx)
		pause.For(ctx, electionRetryDelay)
	case !found:
		n.campaignAfterDelay(ctx, 0, "no VM has the authority")
	default:
		n.followRecordedOwner(ctx, item)
	}
}

// followItem follows the owner whose entry was read. A process that listens where an
// earlier one did has replaced it; where nobody listens, the owner is dead.
func (n *Node) followRecordedOwner(ctx context.Context, item fleet.Item) {
	rec, err := owner.ParseRecord(item.Value)
	if err != nil {
		n.opts.Events.Record(event.StoredEntryInvalid, item.Key, err)
		n.watchOwner(ctx, item.Revision)
		return
	}
	if rec.Address == n.opts.PeerAddress {
		n.campaignAfterDelay(ctx, item.Revision, "an earlier process of this VM had the authority")
		return
	}
	again := n.lostOwnerRevision == item.Revision
	for range ownerLoadingAttempts {
		switch n.followUnlessChanged(ctx, rec.Address, item.Revision, again) {
		case ownerDead:
			if connectionRefused(ctx, rec.Address) {
				n.campaignAfterDelay(ctx, item.Revision, "nobody listens at the owner's address")
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

// followKey follows the owner of a key. One that was lost a moment ago may be gone with its VM,
// and a call to it would hang: the first while, a change of the key ends it.
func (n *Node) followUnlessChanged(ctx context.Context, address string, revision int64, again bool) followResult {
	if again {
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

// refuses reports whether nobody listens at an address now. A refusal that the link to a peer
// remembers may be older than the record that is to be replaced.
func connectionRefused(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: storeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// watchOwner waits until the owner's key changes, for a while, and reports whether it did. The
// store's client ends a call at its deadline only, so a wait that is interrupted leaves it.
func (n *Node) watchOwner(ctx context.Context, revision int64) bool {
	changed := make(chan bool, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, ownerWatchTime+storeTimeout)
		defer cancel()
		changes, _, err := n.opts.Store.Watch(ctx, owner.Key, revision, ownerWatchTime)
		if err != nil {
			pause.For(ctx, electionRetryDelay)
		}
		changed <- len(changes) > 0
	}()
	select {
	case c := <-changed:
		return c
	case <-ctx.Done():
		return false
	}
}

func (n *Node) ownerItem(ctx context.Context) (fleet.Item, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, found, _, err := n.opts.Store.Get(ctx, owner.Key)
	return item, found, err
}

// contend campaigns after a while, so that not all VMs do, and a large one first.
func (n *Node) campaignAfterDelay(ctx context.Context, replace int64, why string) {
	if pause.For(ctx, n.opts.ElectionDelay+rand.N(campaignJitter)) {
		n.campaign(ctx, replace, why)
	}
}

// campaign tries to become the owner and is it until the authority ends.
func (n *Node) campaign(ctx context.Context, replace int64, why string) {
	if n.stopping.Load() {
		pause.For(ctx, electionRetryDelay)
		return
	}
	self := owner.Record{Node: n.opts.Name, Address: n.opts.PeerAddress, Incarnation: n.opts.Incarnation}
	authority, err := owner.Campaign(ctx, n.opts.Store, n.opts.Owner.Clock, n.opts.Owner.LeaseTTL, self, replace)
	if err != nil {
		n.opts.Events.Record(event.CampaignFailed, why, err)
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
		cancel() // the stop came during the election
	}
	o := owner.New(n.opts.Owner, authority)
	n.detach()
	n.currentOwner.Store(o)
	defer n.currentOwner.Store(nil)
	if conf := n.Configuration(); conf != nil {
		go o.SetConfiguration(ctx, conf)
	}
	go n.refreshConfiguration(ctx)
	if err := o.Run(ctx, why); err != nil && ctx.Err() == nil {
		pause.For(ctx, electionRetryDelay)
	}
}

func (n *Node) setResign(f context.CancelFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resign, n.electedAt = f, time.Now()
}

// yieldNow gives the authority up, if this VM has it.
func (n *Node) resignOwnership() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resign != nil {
		n.resign()
		n.resign = nil
	}
}

// following is how a time as a follower ended.
type followResult int

const (
	ownerLost    followResult = iota // it does not answer, or decides no more
	ownerLoading                     // it was elected a moment ago and does not decide yet
	ownerDead                        // nobody listened at its address
)

// follow polls the owner until it does not answer.
func (n *Node) follow(ctx context.Context, address string) followResult {
	defer n.detach()
	for known := false; ctx.Err() == nil; {
		reply, err := n.attach(ctx, address)
		if err != nil {
			var failure *peer.Error
			noListener := errors.As(err, &failure) && failure.NoListener
			if known {
				n.opts.Events.Record(event.OwnerLost, address, noListener, err)
			}
			switch {
			case noListener:
				return ownerDead
			case !known && failure != nil && failure.Code == peer.CodeNotOwner:
				return ownerLoading
			}
			return ownerLost
		}
		if !known {
			known = true
			n.opts.Events.Record(event.OwnerFound, address, address, reply.Fence)
		}
	}
	return ownerLost
}

// attach makes one long poll and takes its news.
func (n *Node) attach(ctx context.Context, address string) (attachResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	var reply attachResponse
	request := attachRequest{Name: n.opts.Name, Address: n.opts.PeerAddress, Configuration: n.configurations.version(), ElectionDelay: n.opts.ElectionDelay}
	if n.currentOwnerAddress() != address {
		request.Configuration = -1 // a first poll is answered at once
	}
	if err := n.opts.PeerClient.Call(ctx, address, methodAttach, request, &reply); err != nil {
		return reply, err
	}
	if len(reply.Configuration) > 0 {
		n.configurations.update(reply.Configuration, address)
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

// detach notes that this VM learns nothing from an owner.
func (n *Node) detach() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ownerAddress, n.attachedAt = "", time.Time{}
}

// followKnown finds the owner through other VMs when the store does not answer this one.
func (n *Node) followThroughPeers(ctx context.Context) {
	n.mu.Lock()
	peers := append(n.advisors.followers(), n.peers...) // those that followed this VM, and those that it heard of
	n.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range peers[:min(len(peers), maxQueriedPeers)] {
		if address == n.opts.PeerAddress {
			continue
		}
		var reply ownerResponse
		ask, cancel := context.WithTimeout(ctx, ownerCallTimeout)
		err := n.opts.PeerClient.Call(ask, address, methodOwner, struct{}{}, &reply)
		cancel()
		if err == nil && reply.Address != "" && reply.Address != n.opts.PeerAddress {
			n.follow(ctx, reply.Address)
			return
		}
	}
}

// askedPeers is how many VMs are asked for the owner in one round.
const maxQueriedPeers = 3

// followConfiguration reads the configuration from the store while this VM is the owner,
// or has no owner to learn it from.
func (n *Node) watchConfiguration(ctx context.Context) {
	after := int64(0)
	for ctx.Err() == nil {
		if n.recentlyAttached() {
			after = 0
			pause.For(ctx, attachedCheckInterval)
			continue
		}
		next, err := n.readConfiguration(ctx, after)
		if err != nil {
			after = 0
			pause.For(ctx, electionRetryDelay)
			continue
		}
		after = next
	}
}

// Timing of reading the configuration.
const (
	attachedCheckInterval = 250 * time.Millisecond
	attachmentMaxAge      = attachTimeout + 100*time.Millisecond
	// configFresh is how old the owner's own reading may be for others to rely on it. With the
	// long poll it leaves time to read the store within the 2 s in which a change has to be in
	// force.
	configMaxAge       = 900 * time.Millisecond
	configWatchTime    = 500 * time.Millisecond
	configWatchTimeout = configWatchTime + 300*time.Millisecond
)

func (n *Node) recentlyAttached() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentOwner.Load() == nil && time.Since(n.attachedAt) < attachmentMaxAge && n.configurations.version() > 0
}

// confirmConfiguration reads the configuration at once: followers rely on an owner only while
// its own reading is fresh.
func (n *Node) refreshConfiguration(ctx context.Context) {
	for range ownerLoadingAttempts {
		if _, err := n.readConfiguration(ctx, 0); err == nil || !pause.For(ctx, ownerLoadingRetryDelay) {
			return
		}
	}
}

// readConfiguration waits for a change after a revision, or reads what is there.
func (n *Node) readConfiguration(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, configWatchTimeout)
	defer cancel()
	prefix := n.opts.Owner.Codec.OperatorPrefix
	read := n.opts.Store.List
	if after > 0 {
		read = func(ctx context.Context, prefix string) ([]fleet.Item, int64, error) {
			return n.opts.Store.Watch(ctx, prefix, after, configWatchTime)
		}
	}
	items, next, err := read(ctx, prefix)
	if err != nil {
		return 0, err
	}
	n.configConfirmedAt.Store(int64(n.opts.Owner.Clock()))
	for _, item := range items {
		if !item.Deleted {
			n.applyOperatorEntry(ctx, item)
		}
	}
	if n.configurations.version() == 0 {
		pause.For(ctx, electionRetryDelay)
	}
	return max(next, after), nil
}

// takeOperators takes an entry that operators have written.
func (n *Node) applyOperatorEntry(ctx context.Context, item fleet.Item) {
	codec := n.opts.Owner.Codec
	switch {
	case item.Key == codec.ConfigKey:
		n.applyConfiguration(ctx, item.Value)
	case strings.HasPrefix(item.Key, codec.WavePrefix):
		if o := n.currentOwner.Load(); o != nil {
			o.SetWave(ctx, item)
		}
	}
}

func (n *Node) applyConfiguration(ctx context.Context, raw []byte) {
	if !n.configurations.update(raw, "store") {
		return
	}
	if o := n.currentOwner.Load(); o != nil {
		o.SetConfiguration(ctx, n.Configuration())
	}
}
