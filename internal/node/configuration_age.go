package node

import "time"

// confirmNewest records that the active configuration was the newest of the store at a reading of
// the owner's clock, which also counts the time while the machine was suspended. The caller must
// have activated what the store had then.
func (n *Node) confirmNewest(at time.Duration) {
	for {
		current := n.configNewestAt.Load()
		if int64(at) <= current || n.configNewestAt.CompareAndSwap(current, int64(at)) {
			return
		}
	}
}

// ConfigurationAge implements entry.ClusterView. It returns the time since the active configuration
// was last known to be the newest, and the time since boot before that was known.
func (n *Node) ConfigurationAge() time.Duration {
	return n.opts.Owner.Clock() - time.Duration(n.configNewestAt.Load())
}

// readReflects returns a reading of the owner's clock at which the store had what a read returned
// that began at start and waited up to wait for changes. A response without changes was sent at
// the end of the wait; one with changes as soon as there were any.
func (n *Node) readReflects(start, wait time.Duration, changed bool) time.Duration {
	if changed || n.opts.Owner.Clock() < start+wait {
		return start
	}
	return start + wait
}

// confirmAnnounced applies what the owner's response to a poll, sent at the given reading of the
// owner's clock, says about the age of the configuration. The owner's state is at least as recent
// as the poll's arrival plus the time that the owner held it.
func (n *Node) confirmAnnounced(sent time.Duration, reply attachResponse) {
	if reply.ConfigurationVersion == 0 {
		return
	}
	age := reply.ConfigurationAge
	if age == 0 { // an earlier release, which serves polls only up to this age
		age = configMaxAge
	}
	readAt := sent + reply.Held - age
	n.ownerReadAt.Store(int64(readAt))
	if reply.ConfigurationVersion <= n.configurations.version() {
		n.confirmNewest(readAt)
	}
}
