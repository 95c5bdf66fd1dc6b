package server

import (
	"context"
	"sync"
	"testing"
	"time"

	"filbertcross/internal/membership"
	"filbertcross/internal/model"
)

// TestDigestDoesNotCallThePartsBack: a part that asks for this VM's entry under
// its own lock must not be called from there, or it waits for itself.
func TestDigestDoesNotCallComponents(t *testing.T) {
	d := newDigestCollector()
	var componentLock sync.Mutex
	digests := func() map[model.PartitionID]membership.Tenancy {
		componentLock.Lock()
		defer componentLock.Unlock()
		return map[model.PartitionID]membership.Tenancy{"k-0": {Epoch: 7}}
	}
	d.keyPartitions.Store(&digests)
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
		t.Errorf("digest %+v lacks the partition", digest)
	}
}
