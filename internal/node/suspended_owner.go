package node

import (
	"context"
	"sync/atomic"
	"time"

	"filbertcross/internal/owner"
	"filbertcross/internal/pause"
)

// suspendedOwnerWatch ends following a suspended owner once another VM is the owner or may become
// it. Until then a follower stays, as the owner keeps its state through an outage of the store and
// reacquires its key. The methods are for the goroutine that follows.
type suspendedOwnerWatch struct {
	node      *Node
	leave     context.CancelFunc // ends following
	suspended atomic.Bool
	running   atomic.Bool
}

func newSuspendedOwnerWatch(n *Node, leave context.CancelFunc) *suspendedOwnerWatch {
	return &suspendedOwnerWatch{node: n, leave: leave}
}

// update records whether the owner at the address is suspended, and starts to check its key if so.
func (w *suspendedOwnerWatch) update(ctx context.Context, address string, suspended bool) {
	w.suspended.Store(suspended)
	if suspended && w.running.CompareAndSwap(false, true) {
		go w.checkKey(ctx, address)
	}
}

// checkKey reads the owner key while the owner is suspended.
func (w *suspendedOwnerWatch) checkKey(ctx context.Context, address string) {
	defer w.running.Store(false)
	var absentSince time.Time
	for ; w.suspended.Load() && ctx.Err() == nil; pause.For(ctx, suspendedCheckInterval) {
		read := time.Now()
		item, found, err := w.node.ownerItem(ctx)
		switch {
		case err != nil:
		case found:
			absentSince = time.Time{}
			if record, err := owner.ParseRecord(item.Value); err != nil || record.Address != address {
				w.leave()
			}
		case absentSince.IsZero():
			absentSince = read
		case time.Since(absentSince) >= reacquisitionTime:
			w.leave()
		}
	}
}
