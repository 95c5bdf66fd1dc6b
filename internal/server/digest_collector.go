package server

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"filbertcross/internal/backend"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
)

// digestInterval is the time between collections of the digest.
const digestInterval = 50 * time.Millisecond

// digestCollector collects the digest that this VM sends in its heartbeats. Components
// are stored in its fields as they are built. Digest must not call components, because
// they read this VM's own membership entry while they hold their locks; it returns the
// digest that Run collected last. Safe for concurrent use.
type digestCollector struct {
	latest           atomic.Pointer[membership.Digest]
	source           atomic.Pointer[model.ConfigurationSource]
	backends         atomic.Pointer[backend.Manager]
	workerPartitions atomic.Pointer[map[model.PartitionID]membership.PartitionSummary]
	keyPartitions    atomic.Pointer[func() map[model.PartitionID]membership.PartitionSummary]
}

func newDigestCollector() *digestCollector {
	d := &digestCollector{}
	d.latest.Store(&membership.Digest{})
	return d
}

// Digest returns the digest collected last; its maps are not modified
// afterwards, and callers must not modify them.
func (d *digestCollector) Digest() membership.Digest { return *d.latest.Load() }

// Run collects the digest every digestInterval until ctx is done.
func (d *digestCollector) Run(ctx context.Context) error {
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	for {
		digest := d.collect()
		d.latest.Store(&digest)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *digestCollector) collect() membership.Digest {
	var digest membership.Digest
	if source := d.source.Load(); source != nil {
		if configuration := (*source).Active(); configuration != nil {
			digest.Revision = configuration.Revision
		}
	}
	if backends := d.backends.Load(); backends != nil {
		digest.FreeSlots = backends.FreeSlots()
		digest.Queued = backends.Queued()
	}
	digest.Partitions = map[model.PartitionID]membership.PartitionSummary{}
	if workers := d.workerPartitions.Load(); workers != nil {
		maps.Copy(digest.Partitions, *workers)
	}
	if keys := d.keyPartitions.Load(); keys != nil {
		maps.Copy(digest.Partitions, (*keys)())
	}
	return digest
}
