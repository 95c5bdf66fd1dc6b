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
	attachWait     = 500 * time.Millisecond // the owner answers a long poll after this, or with news
	attachTimeout  = attachWait + 500*time.Millisecond
	ownerWatch     = 700 * time.Millisecond // a follower without an answer looks at the owner's key so long
	storeTimeout   = 700 * time.Millisecond
	leadRetry      = 100 * time.Millisecond
	yieldAfter     = 2 * time.Second        // a small owner gives way to a large follower, not at once so that there is an owner
	yieldFor       = 300 * time.Millisecond // a follower has to be so much larger, in terms of rank
	campaignSpread = 30 * time.Millisecond  // random, so that not all campaign at once
	unreadyRetry   = 40 * time.Millisecond  // of a follower whose owner loads what lasts, which takes about 100 ms
	unreadyTries   = 12
)

// lead makes this VM the owner or a follower, until ctx is done.
func (n *Node) lead(ctx context.Context) {
	for ctx.Err() == nil {
		if fence := n.offered.Swap(0); fence != 0 {
			n.campaign(ctx, fence, "the owner handed over")
			continue
		}
		round, cancel := context.WithCancel(ctx)
		n.setFollowing(cancel)
		n.leadRound(round)
		cancel()
	}
}

// leadRound follows the owner while it lasts, or contends for the authority.
func (n *Node) leadRound(ctx context.Context) {
	item, found, err := n.ownerItem(ctx)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		n.followKnown(ctx)
		pause.For(ctx, leadRetry)
	case !found:
		n.contend(ctx, 0, "no VM has the authority")
	default:
		n.followItem(ctx, item)
	}
}

// followItem follows the owner whose entry was read. A process that listens where an
// earlier one did has replaced it; where nobody listens, the owner is dead.
func (n *Node) followItem(ctx context.Context, item fleet.Item) {
	rec, err := owner.ParseRecord(item.Value)
	if err != nil {
		n.opts.Events.Record(event.StoredEntryInvalid, item.Key, err)
		n.watchOwner(ctx, item.Revision)
		return
	}
	if rec.Address == n.opts.PeerAddress {
		n.contend(ctx, item.Revision, "an earlier process of this VM had the authority")
		return
	}
	again := n.lostKey == item.Revision
	for range unreadyTries {
		switch n.followKey(ctx, rec.Address, item.Revision, again) {
		case ownerDead:
			if refuses(ctx, rec.Address) {
				n.contend(ctx, item.Revision, "nobody listens at the owner's address")
				return
			}
		case ownerUnready:
			if pause.For(ctx, unreadyRetry) {
				continue
			}
		}
		break
	}
	n.lostKey = item.Revision
	n.watchOwner(ctx, item.Revision)
}

// followKey follows the owner of a key. One that was lost a moment ago may be gone with its VM,
// and a call to it would hang: the first while, a change of the key ends it.
func (n *Node) followKey(ctx context.Context, address string, revision int64, again bool) following {
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
func refuses(ctx context.Context, address string) bool {
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
		ctx, cancel := context.WithTimeout(ctx, ownerWatch+storeTimeout)
		defer cancel()
		changes, _, err := n.opts.Store.Watch(ctx, owner.Key, revision, ownerWatch)
		if err != nil {
			pause.For(ctx, leadRetry)
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
func (n *Node) contend(ctx context.Context, replace int64, why string) {
	if pause.For(ctx, n.opts.ElectionDelay+rand.N(campaignSpread)) {
		n.campaign(ctx, replace, why)
	}
}

// campaign tries to become the owner and is it until the authority ends.
func (n *Node) campaign(ctx context.Context, replace int64, why string) {
	if n.stopping.Load() {
		pause.For(ctx, leadRetry)
		return
	}
	self := owner.Record{Node: n.opts.Name, Address: n.opts.PeerAddress, Incarnation: n.opts.Incarnation}
	authority, err := owner.Campaign(ctx, n.opts.Store, n.opts.Owner.Clock, n.opts.Owner.LeaseTTL, self, replace)
	if err != nil {
		n.opts.Events.Record(event.CampaignFailed, why, err)
		if !errors.Is(err, owner.ErrAlreadyOwned) {
			pause.For(ctx, leadRetry)
		}
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.setYield(cancel)
	defer n.setYield(nil)
	if n.stopping.Load() {
		cancel() // the stop came during the election
	}
	o := owner.New(n.opts.Owner, authority)
	n.detach()
	n.current.Store(o)
	defer n.current.Store(nil)
	if conf := n.Configuration(); conf != nil {
		go o.SetConfiguration(ctx, conf)
	}
	go n.confirmConfiguration(ctx)
	if err := o.Run(ctx, why); err != nil && ctx.Err() == nil {
		pause.For(ctx, leadRetry)
	}
}

func (n *Node) setYield(f context.CancelFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.yield, n.elected = f, time.Now()
}

// yieldNow gives the authority up, if this VM has it.
func (n *Node) yieldNow() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.yield != nil {
		n.yield()
		n.yield = nil
	}
}

// following is how a time as a follower ended.
type following int

const (
	ownerLost    following = iota // it does not answer, or decides no more
	ownerUnready                  // it was elected a moment ago and does not decide yet
	ownerDead                     // nobody listened at its address
)

// follow polls the owner until it does not answer.
func (n *Node) follow(ctx context.Context, address string) following {
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
				return ownerUnready
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
func (n *Node) attach(ctx context.Context, address string) (attachAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	var reply attachAnswer
	request := attachRequest{Name: n.opts.Name, Address: n.opts.PeerAddress, Configuration: n.configs.version(), Rank: n.opts.ElectionDelay}
	if n.ownerAddress() != address {
		request.Configuration = -1 // a first poll is answered at once
	}
	if err := n.opts.PeerClient.Call(ctx, address, methodAttach, request, &reply); err != nil {
		return reply, err
	}
	if len(reply.Configuration) > 0 {
		n.configs.offer(reply.Configuration, address)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.ownerAt, n.lastOwner, n.attached = address, address, now
	n.waiting, n.waitingAt = reply.Waiting, now
	if len(reply.Peers) > 0 {
		n.peers = reply.Peers
	}
	return reply, nil
}

// detach notes that this VM learns nothing from an owner.
func (n *Node) detach() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ownerAt, n.attached = "", time.Time{}
}

// followKnown finds the owner through other VMs when the store does not answer this one.
func (n *Node) followKnown(ctx context.Context) {
	n.mu.Lock()
	peers := append(n.advisors.peers(), n.peers...) // those that followed this VM, and those that it heard of
	n.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range peers[:min(len(peers), askedPeers)] {
		if address == n.opts.PeerAddress {
			continue
		}
		var reply ownerAnswer
		ask, cancel := context.WithTimeout(ctx, stateTimeout)
		err := n.opts.PeerClient.Call(ask, address, methodOwner, struct{}{}, &reply)
		cancel()
		if err == nil && reply.Address != "" && reply.Address != n.opts.PeerAddress {
			n.follow(ctx, reply.Address)
			return
		}
	}
}

// askedPeers is how many VMs are asked for the owner in one round.
const askedPeers = 3

// followConfiguration reads the configuration from the store while this VM is the owner,
// or has no owner to learn it from.
func (n *Node) followConfiguration(ctx context.Context) {
	after := int64(0)
	for ctx.Err() == nil {
		if n.attachedLately() {
			after = 0
			pause.For(ctx, attachedCheck)
			continue
		}
		next, err := n.readConfiguration(ctx, after)
		if err != nil {
			after = 0
			pause.For(ctx, leadRetry)
			continue
		}
		after = next
	}
}

// Timing of reading the configuration.
const (
	attachedCheck = 250 * time.Millisecond
	attachedAge   = attachTimeout + 100*time.Millisecond
	// configFresh is how old the owner's own reading may be for others to rely on it. With the
	// long poll it leaves time to read the store within the 2 s in which a change has to be in
	// force.
	configFresh     = 900 * time.Millisecond
	configWatch     = 500 * time.Millisecond
	configWatchTime = configWatch + 300*time.Millisecond
)

func (n *Node) attachedLately() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current.Load() == nil && time.Since(n.attached) < attachedAge && n.configs.version() > 0
}

// confirmConfiguration reads the configuration at once: followers rely on an owner only while
// its own reading is fresh.
func (n *Node) confirmConfiguration(ctx context.Context) {
	for range unreadyTries {
		if _, err := n.readConfiguration(ctx, 0); err == nil || !pause.For(ctx, unreadyRetry) {
			return
		}
	}
}

// readConfiguration waits for a change after a revision, or reads what is there.
func (n *Node) readConfiguration(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, configWatchTime)
	defer cancel()
	prefix := n.opts.Owner.Codec.OperatorPrefix
	read := n.opts.Store.List
	if after > 0 {
		read = func(ctx context.Context, prefix string) ([]fleet.Item, int64, error) {
			return n.opts.Store.Watch(ctx, prefix, after, configWatch)
		}
	}
	items, next, err := read(ctx, prefix)
	if err != nil {
		return 0, err
	}
	n.confirmed.Store(int64(n.opts.Owner.Clock()))
	for _, item := range items {
		if !item.Deleted {
			n.takeOperators(ctx, item)
		}
	}
	if n.configs.version() == 0 {
		pause.For(ctx, leadRetry)
	}
	return max(next, after), nil
}

// takeOperators takes an entry that operators have written.
func (n *Node) takeOperators(ctx context.Context, item fleet.Item) {
	codec := n.opts.Owner.Codec
	switch {
	case item.Key == codec.ConfigKey:
		n.takeConfiguration(ctx, item.Value)
	case strings.HasPrefix(item.Key, codec.WavePrefix):
		if o := n.current.Load(); o != nil {
			o.SetWave(ctx, item)
		}
	}
}

func (n *Node) takeConfiguration(ctx context.Context, raw []byte) {
	if !n.configs.offer(raw, "store") {
		return
	}
	if o := n.current.Load(); o != nil {
		o.SetConfiguration(ctx, n.Configuration())
	}
}
