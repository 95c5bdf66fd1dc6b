package node

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/fleet"
	"filbertcross/internal/pause"
)

// Timing of reading the configuration from the store.
const (
	attachedCheckInterval = 250 * time.Millisecond
	attachmentMaxAge      = attachTimeout + 100*time.Millisecond
	// configMaxAge is the maximum age of the owner's last read of the configuration for which
	// followers of earlier releases rely on it. Together with the long poll it leaves time to read
	// the store within the 2 s in which a change must become active.
	configMaxAge = 900 * time.Millisecond
	// followedConfigMaxAge is the same for followers that know the age. They read the store beyond it,
	// but keep following: an owner that is busy with a large configuration still decides.
	followedConfigMaxAge  = configMaxAge + attachPollTime
	configWatchTime       = 500 * time.Millisecond
	configConfirmTime     = time.Millisecond                       // shortest long poll
	configResponseTimeout = configWatchTime + 300*time.Millisecond // of the first byte of a response
)

// watchConfiguration watches the configuration in the store while this VM is the owner, or has no
// owner to receive it from.
func (n *Node) watchConfiguration(ctx context.Context) {
	wait := configWatchTime
	for ctx.Err() == nil {
		if n.ownerProvidesConfiguration() {
			pause.For(ctx, attachedCheckInterval)
			continue
		}
		select {
		case <-n.configReadSuperseded: // an earlier read, which has ended
		default:
		}
		read := make(chan configurationRead, 1)
		go func(wait time.Duration) {
			changed, err := n.readConfiguration(ctx, wait)
			read <- configurationRead{changed, err}
		}(wait)
		select {
		case r := <-read:
			wait = configWatchTime
			switch {
			case r.err != nil:
				pause.For(ctx, electionRetryDelay)
			case r.changed:
				wait = configConfirmTime // the response may have taken long to arrive
			}
			if r.err == nil {
				n.confirmConfiguration()
			}
		case <-n.configReadSuperseded:
			wait = configConfirmTime
		case <-ctx.Done():
		}
	}
}

// configurationRead is the result of a read of the store.
type configurationRead struct {
	changed bool // the operators' entries
	err     error
}

// supersedeConfigurationRead makes watchConfiguration start a new read instead of waiting for the
// one in progress, which may be receiving a large configuration that is no longer needed.
func (n *Node) supersedeConfigurationRead() {
	select {
	case n.configReadSuperseded <- struct{}{}:
	default:
	}
}

// ownerProvidesConfiguration reports whether this VM receives the configuration from an owner: it is
// attached to one, and has the version that the owner announced or receives it without a stall.
func (n *Node) ownerProvidesConfiguration() bool {
	active, announced := n.configurations.version(), n.transfer.announced()
	if n.currentOwner.Load() != nil || active == 0 && announced == 0 || n.transfer.stalled(active) {
		return false
	}
	if n.opts.Owner.Clock()-time.Duration(n.ownerReadAt.Load()) > followedConfigMaxAge {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.attachedAt) < attachmentMaxAge
}

// RefreshConfiguration implements owner.ConfigurationSource. After an election it also lets followers
// rely on this VM, as they do so only while its last read is recent.
func (n *Node) RefreshConfiguration(ctx context.Context) (*fleet.Configuration, error) {
	if _, err := n.readConfiguration(ctx, configConfirmTime); err != nil {
		return nil, err
	}
	n.confirmConfiguration()
	return n.Configuration(), nil
}

// readConfiguration waits up to wait for changes of the operators' entries after the revision up to
// which this VM has them, and applies them. Without such a revision it lists all entries. It reports
// whether there were any.
func (n *Node) readConfiguration(ctx context.Context, wait time.Duration) (changed bool, err error) {
	start, sent := time.Now(), n.opts.Owner.Clock()
	after := n.operatorRevision.Load()
	items, next, err := n.readOperatorEntries(ctx, after, wait)
	if errors.Is(err, fleet.ErrCompacted) {
		after = 0
		items, next, err = n.readOperatorEntries(ctx, 0, wait)
	}
	n.storeReads.observe(start, n.configurations.version(), err)
	if err != nil {
		return false, err
	}
	applied := n.operatorRevision.Load() // a read that was superseded may end after a later one
	for _, item := range items {
		if !item.Deleted && item.Revision > applied {
			n.applyOperatorEntry(ctx, item)
		}
	}
	n.advanceOperatorRevision(next)
	n.confirmNewest(n.readReflects(sent, wait, after == 0 || len(items) > 0))
	if n.configurations.version() == 0 {
		pause.For(ctx, electionRetryDelay)
	}
	return len(items) > 0, nil
}

// readOperatorEntries lists the operators' entries, or watches the changes after a revision other
// than 0, and returns the revision to continue after.
func (n *Node) readOperatorEntries(ctx context.Context, after int64, wait time.Duration) ([]fleet.Item, int64, error) {
	ctx = fleet.WithResponseTimeout(ctx, fleet.ResponseTimeout(ctx, configResponseTimeout))
	prefix := n.opts.Owner.Codec.OperatorPrefix
	if after == 0 {
		return n.opts.Store.List(ctx, prefix)
	}
	return n.opts.Store.Watch(ctx, prefix, after, wait)
}

// confirmConfiguration records that a read of the store has just ended. A read that was superseded
// confirms nothing, as its response may be old.
func (n *Node) confirmConfiguration() { n.configConfirmedAt.Store(int64(n.opts.Owner.Clock())) }

// advanceOperatorRevision records the revision of the store up to which this VM has the configuration.
func (n *Node) advanceOperatorRevision(revision int64) {
	for {
		current := n.operatorRevision.Load()
		if revision <= current || n.operatorRevision.CompareAndSwap(current, revision) {
			return
		}
	}
}

// applyOperatorEntry applies an entry that operators have written: the configuration or, at the
// owner, a maintenance wave.
func (n *Node) applyOperatorEntry(ctx context.Context, item fleet.Item) {
	codec := n.opts.Owner.Codec
	switch {
	case item.Key == codec.ConfigKey:
		n.activateConfiguration(ctx, item.Value, sourceStore)
	case strings.HasPrefix(item.Key, codec.WavePrefix):
		if o := n.currentOwner.Load(); o != nil {
			o.SetWave(ctx, item)
		}
	}
}

// activateConfiguration activates a configuration from a source if it is valid and newer, and passes
// it to the owner if this VM is the owner. It reports whether it did.
func (n *Node) activateConfiguration(ctx context.Context, raw []byte, source string) bool {
	if !n.configurations.update(raw, source) {
		return false
	}
	if o := n.currentOwner.Load(); o != nil {
		o.SetConfiguration(ctx, n.Configuration())
	}
	return true
}
