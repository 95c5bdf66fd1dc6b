package server

import (
	"maps"
	"sync/atomic"

	"filbertcross/internal/backend"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
)

// digester gathers what this VM tells the others in its heartbeats. The parts
// are attached once they exist; Digest is safe for concurrent use at any time.
type digester struct {
	source   atomic.Pointer[model.ConfigurationSource]
	backends atomic.Pointer[backend.Manager]
	workers  atomic.Pointer[map[model.PartitionID]membership.Tenancy] // of the worker partitions
	keys     atomic.Pointer[func() map[model.PartitionID]membership.Tenancy]
}

func newDigester() *digester { return &digester{} }

// Digest returns the present digest; its maps are not changed afterwards.
func (d *digester) Digest() membership.Digest {
	var digest membership.Digest
	if source := d.source.Load(); source != nil {
		if configuration := (*source).InForce(); configuration != nil {
			digest.Revision = configuration.Revision
		}
	}
	if backends := d.backends.Load(); backends != nil {
		digest.FreeSlots = backends.FreeSlots()
		digest.Queued = backends.Queued()
	}
	digest.Partitions = map[model.PartitionID]membership.Tenancy{}
	if workers := d.workers.Load(); workers != nil {
		maps.Copy(digest.Partitions, *workers)
	}
	if keys := d.keys.Load(); keys != nil {
		maps.Copy(digest.Partitions, (*keys)())
	}
	return digest
}
