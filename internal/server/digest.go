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

// digestInterval is the time between two gatherings of the digest.
const digestInterval = 50 * time.Millisecond

// digester gathers what this VM tells the others in its heartbeats. The parts
// are attached once they exist. Parts ask the membership for this VM's own entry
// while they hold their locks, so that Digest must not call them back: it returns
// what Run gathered last. Safe for concurrent use.
type digester struct {
	gathered atomic.Pointer[membership.Digest]
	source   atomic.Pointer[model.ConfigurationSource]
	backends atomic.Pointer[backend.Manager]
	workers  atomic.Pointer[map[model.PartitionID]membership.PartitionSummary] // of the worker partitions
	keys     atomic.Pointer[func() map[model.PartitionID]membership.PartitionSummary]
}

func newDigester() *digester {
	d := &digester{}
	d.gathered.Store(&membership.Digest{})
	return d
}

// Digest returns the digest gathered last; its maps are not changed afterwards.
func (d *digester) Digest() membership.Digest { return *d.gathered.Load() }

// Run gathers the digest until the context ends.
func (d *digester) Run(ctx context.Context) error {
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	for {
		digest := d.gather()
		d.gathered.Store(&digest)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *digester) gather() membership.Digest {
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
	if workers := d.workers.Load(); workers != nil {
		maps.Copy(digest.Partitions, *workers)
	}
	if keys := d.keys.Load(); keys != nil {
		maps.Copy(digest.Partitions, (*keys)())
	}
	return digest
}
