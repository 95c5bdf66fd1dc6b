package membership

import (
	"maps"
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"

	"filbertcross/internal/model"
)

// version numbers the digests of one process, starting at 1; 0 means no digest.
type version uint64

// maxRetainedDigests is the number of own digests retained as bases of deltas.
const maxRetainedDigests = 32

// digestDelta is the difference between the digests of versions Base and Version.
// With Base 0 it is a full digest.
type digestDelta struct {
	Base       version                         `cbor:"1,keyasint,omitempty"`
	Version    version                         `cbor:"2,keyasint"`
	Revision   int64                           `cbor:"3,keyasint,omitempty"`
	FreeSlots  *mapDelta[int]                  `cbor:"4,keyasint,omitempty"`
	Queued     *mapDelta[int]                  `cbor:"5,keyasint,omitempty"`
	Partitions *mapDelta[wirePartitionSummary] `cbor:"6,keyasint,omitempty"`
}

// mapDelta holds the added, changed and deleted entries of a map.
type mapDelta[V comparable] struct {
	Set     map[string]V `cbor:"1,keyasint,omitempty"`
	Deleted []string     `cbor:"2,keyasint,omitempty"`
}

// wirePartitionSummary encodes a PartitionSummary as an array to save the field names.
// The order of the fields is part of the wire format.
type wirePartitionSummary struct {
	_       struct{} `cbor:",toarray"`
	Epoch   int64
	Free    model.Resources
	Waiting int
}

func toWirePartitions(p map[model.PartitionID]PartitionSummary) map[model.PartitionID]wirePartitionSummary {
	wire := make(map[model.PartitionID]wirePartitionSummary, len(p))
	for id, s := range p {
		wire[id] = wirePartitionSummary{Epoch: s.Epoch, Free: s.Free, Waiting: s.Waiting}
	}
	return wire
}

func fromWirePartitions(wire map[model.PartitionID]wirePartitionSummary) map[model.PartitionID]PartitionSummary {
	p := make(map[model.PartitionID]PartitionSummary, len(wire))
	for id, s := range wire {
		p[id] = PartitionSummary{Epoch: s.Epoch, Free: s.Free, Waiting: s.Waiting}
	}
	return p
}

// encodeDelta returns nil for a nil delta.
func encodeDelta(d *digestDelta) []byte {
	if d == nil {
		return nil
	}
	data, err := cbor.Marshal(d)
	if err != nil {
		panic("membership: encode digest: " + err.Error()) // the types hold nothing that cannot be encoded
	}
	return data
}

// decodeDelta returns nil for empty or invalid data. The sender repeats a delta that is
// not acknowledged.
func decodeDelta(data []byte) *digestDelta {
	var d digestDelta
	if len(data) == 0 || cbor.Unmarshal(data, &d) != nil {
		return nil
	}
	return &d
}

// diffMap returns the changes that turn from into to, or nil if the maps are equal.
func diffMap[K ~string, V comparable](from, to map[K]V) *mapDelta[V] {
	var d mapDelta[V]
	for k, v := range to {
		if old, ok := from[k]; !ok || old != v {
			if d.Set == nil {
				d.Set = map[string]V{}
			}
			d.Set[string(k)] = v
		}
	}
	for k := range from {
		if _, ok := to[k]; !ok {
			d.Deleted = append(d.Deleted, string(k))
		}
	}
	if d.Set == nil && d.Deleted == nil {
		return nil
	}
	return &d
}

// applyMapDelta returns a changed copy of base, or base itself if d is nil.
func applyMapDelta[K ~string, V comparable](base map[K]V, d *mapDelta[V]) map[K]V {
	if d == nil {
		return base
	}
	changed := make(map[K]V, len(base)+len(d.Set))
	maps.Copy(changed, base)
	for k, v := range d.Set {
		changed[K(k)] = v
	}
	for _, k := range d.Deleted {
		delete(changed, K(k))
	}
	return changed
}

// digestHistory numbers this VM's digests and computes deltas for peers that have an
// older version. It is not safe for concurrent use.
type digestHistory struct {
	current             version
	partitionsUpdatedAt time.Duration              // when free resources and waiting tasks were last updated
	retained            [maxRetainedDigests]Digest // by version modulo maxRetainedDigests
}

// partitionSummaryInterval is the shortest time between updates of the free resources
// and waiting tasks in partition summaries.
const partitionSummaryInterval = time.Second

// record stores the current digest under a new version unless it equals the last one.
// A change of the owned partitions or their epochs is published at once, other changes
// of partition summaries at most once per partitionSummaryInterval.
func (h *digestHistory) record(now time.Duration, d Digest) {
	last := h.retained[h.current%maxRetainedDigests]
	if now-h.partitionsUpdatedAt < partitionSummaryInterval && sameOwnership(last.Partitions, d.Partitions) {
		d.Partitions = last.Partitions
	} else {
		h.partitionsUpdatedAt = now
	}
	if h.current > 0 && reflect.DeepEqual(last, d) {
		return
	}
	h.current++
	h.retained[h.current%maxRetainedDigests] = cloneDigest(d)
}

// sameOwnership reports whether both contain the same partitions in the same epochs.
func sameOwnership(a, b map[model.PartitionID]PartitionSummary) bool {
	return maps.EqualFunc(a, b, func(x, y PartitionSummary) bool { return x.Epoch == y.Epoch })
}

func cloneDigest(d Digest) Digest {
	d.FreeSlots = maps.Clone(d.FreeSlots)
	d.Queued = maps.Clone(d.Queued)
	d.Partitions = maps.Clone(d.Partitions)
	return d
}

// deltaSince returns the delta for a peer that has version base, or nil if that is the
// current one. A base that is no longer retained yields a full digest.
func (h *digestHistory) deltaSince(base version) *digestDelta {
	if base == h.current {
		return nil
	}
	var from Digest
	if base > h.current || h.current-base >= maxRetainedDigests {
		base = 0
	}
	if base > 0 {
		from = h.retained[base%maxRetainedDigests]
	}
	to := h.retained[h.current%maxRetainedDigests]
	return &digestDelta{
		Base:       base,
		Version:    h.current,
		Revision:   to.Revision,
		FreeSlots:  diffMap(from.FreeSlots, to.FreeSlots),
		Queued:     diffMap(from.Queued, to.Queued),
		Partitions: diffMap(toWirePartitions(from.Partitions), toWirePartitions(to.Partitions)),
	}
}

// receivedDigest is the newest digest received from a peer.
type receivedDigest struct {
	version version
	digest  Digest
}

// applyDelta applies a newer delta whose base is the current version or that is a full
// digest. Any other delta is dropped; the version acknowledged in the next message makes
// the peer send one that applies.
func (h *receivedDigest) applyDelta(d *digestDelta) {
	if d == nil || d.Version <= h.version || (d.Base != 0 && d.Base != h.version) {
		return
	}
	var base Digest
	if d.Base != 0 {
		base = h.digest
	}
	h.version = d.Version
	h.digest = Digest{
		Revision:   d.Revision,
		FreeSlots:  applyMapDelta(base.FreeSlots, d.FreeSlots),
		Queued:     applyMapDelta(base.Queued, d.Queued),
		Partitions: fromWirePartitions(applyMapDelta(toWirePartitions(base.Partitions), d.Partitions)),
	}
}
