package server

import (
	"context"
	"sync"
	"testing"
	"time"

	"filbertcross/internal/membership"
	"filbertcross/internal/model"
)

// TestDigestDoesNotCallComponents guards against a deadlock: a component reads this VM's
// membership entry, and so the digest, while it holds its own lock. A call from Digest
// into the component would wait for that lock.
func TestDigestDoesNotCallComponents(t *testing.T) {
	d := newDigestCollector()
	var componentLock sync.Mutex
	summaries := func() map[model.PartitionID]membership.PartitionSummary {
		componentLock.Lock()
		defer componentLock.Unlock()
		return map[model.PartitionID]membership.PartitionSummary{"k-0": {Epoch: 7}}
	}
	d.keyPartitions.Store(&summaries)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = d.Run(ctx) }()
	for d.Digest().Partitions["k-0"].Epoch != 7 {
		time.Sleep(time.Millisecond)
	}
	componentLock.Lock()
	defer componentLock.Unlock()
	answered := make(chan membership.Digest)
	go func() { answered <- d.Digest() }()
	if digest := <-answered; digest.Partitions["k-0"].Epoch != 7 {
		t.Errorf("digest %+v does not contain the partition", digest)
	}
}
