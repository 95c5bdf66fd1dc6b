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
func TestDigestDoesNotCallThePartsBack(t *testing.T) {
	d := newDigester()
	var part sync.Mutex
	tenancies := func() map[model.PartitionID]membership.PartitionSummary {
		part.Lock()
		defer part.Unlock()
		return map[model.PartitionID]membership.PartitionSummary{"k-0": {Epoch: 7}}
	}
	d.keys.Store(&tenancies)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = d.Run(ctx) }()
	for d.Digest().Partitions["k-0"].Epoch != 7 {
		time.Sleep(time.Millisecond)
	}
	part.Lock()
	defer part.Unlock()
	answered := make(chan membership.Digest)
	go func() { answered <- d.Digest() }()
	if digest := <-answered; digest.Partitions["k-0"].Epoch != 7 {
		t.Errorf("digest %+v lacks the partition", digest)
	}
}
