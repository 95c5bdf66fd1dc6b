package membership

import (
	"maps"
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"

	"filbertcross/internal/model"
)

// version numbers a VM's digests from 1; 0 stands for none.
type version uint64

// keptDigests is how many own digests are kept to make deltas from.
const maxRetainedDigests = 32

// digestDelta turns the digest Base into the digest Version. With Base 0 it is whole.
type digestDelta struct {
	Base       version                         `cbor:"1,keyasint,omitempty"`
	Version    version                         `cbor:"2,keyasint"`
	Revision   int64                           `cbor:"3,keyasint,omitempty"`
	FreeSlots  *mapDelta[int]                  `cbor:"4,keyasint,omitempty"`
	Queued     *mapDelta[int]                  `cbor:"5,keyasint,omitempty"`
	Partitions *mapDelta[wirePartitionSummary] `cbor:"6,keyasint,omitempty"`
}

// mapDelta holds the entries of a map that differ.
type mapDelta[V comparable] struct {
	Set     map[string]V `cbor:"1,keyasint,omitempty"`
	Deleted []string     `cbor:"2,keyasint,omitempty"`
}

// wireTenancy is a Tenancy without field names.
type wirePartitionSummary struct {
	_       struct{} `cbor:",toarray"`
	Epoch   int64
	Free    model.Resources
	Waiting int
}

func toWirePartitions(p map[model.PartitionID]PartitionSummary) map[model.PartitionID]wirePartitionSummary {
	wire := make(map[model.PartitionID]wirePartitionSummary, len(p))
	for id, t := range p {
		wire[id] = wirePartitionSummary{Epoch: t.Epoch, Free: t.Free, Waiting: t.Waiting}
	}
	return wire
}

func fromWirePartitions(wire map[model.PartitionID]wirePartitionSummary) map[model.PartitionID]PartitionSummary {
	p := make(map[model.PartitionID]PartitionSummary, len(wire))
	for id, t := range wire {
		p[id] = PartitionSummary{Epoch: t.Epoch, Free: t.Free, Waiting: t.Waiting}
	}
	return p
}

// encodeDelta returns nothing for no delta.
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

// decodeDelta returns nil for what cannot be read; the sender repeats it.
func decodeDelta(data []byte) *digestDelta {
	var d digestDelta
	if len(data) == 0 || cbor.Unmarshal(data, &d) != nil {
		return nil
	}
	return &d
}

// diffMap returns nil when the maps are equal.
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

// applyMap returns a changed copy.
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

// ownDigests numbers this VM's digests and makes deltas for peers that hold an
// older one. Used by one goroutine at a time.
type digestHistory struct {
	current             version
	partitionsUpdatedAt time.Duration              // when the partitions' amounts were last taken
	retained            [maxRetainedDigests]Digest // by version modulo keptDigests
}

// partitionRefresh is how often the amounts in partitions' summaries are told anew.
const partitionSummaryInterval = time.Second

// record takes the present digest; one that equals the last keeps its number.
// Partitions that are gained or lost are told at once, their amounts once for each
// partitionRefresh.
func (o *digestHistory) record(now time.Duration, d Digest) {
	last := o.retained[o.current%maxRetainedDigests]
	if now-o.partitionsUpdatedAt < partitionSummaryInterval && sameOwnership(last.Partitions, d.Partitions) {
		d.Partitions = last.Partitions
	} else {
		o.partitionsUpdatedAt = now
	}
	if o.current > 0 && reflect.DeepEqual(last, d) {
		return
	}
	o.current++
	o.retained[o.current%maxRetainedDigests] = cloneDigest(d)
}

// sameOwnership compares partitions and epochs.
func sameOwnership(a, b map[model.PartitionID]PartitionSummary) bool {
	return maps.EqualFunc(a, b, func(x, y PartitionSummary) bool { return x.Epoch == y.Epoch })
}

func cloneDigest(d Digest) Digest {
	d.FreeSlots = maps.Clone(d.FreeSlots)
	d.Queued = maps.Clone(d.Queued)
	d.Partitions = maps.Clone(d.Partitions)
	return d
}

// deltaSince returns what a peer lacks that holds the version, or nil.
func (o *digestHistory) deltaSince(held version) *digestDelta {
	if held == o.current {
		return nil
	}
	var from Digest
	if held > o.current || o.current-held >= maxRetainedDigests {
		held = 0
	}
	if held > 0 {
		from = o.retained[held%maxRetainedDigests]
	}
	to := o.retained[o.current%maxRetainedDigests]
	return &digestDelta{
		Base:       held,
		Version:    o.current,
		Revision:   to.Revision,
		FreeSlots:  diffMap(from.FreeSlots, to.FreeSlots),
		Queued:     diffMap(from.Queued, to.Queued),
		Partitions: diffMap(toWirePartitions(from.Partitions), toWirePartitions(to.Partitions)),
	}
}

// heldDigest is a peer's digest as last received.
type receivedDigest struct {
	version version
	digest  Digest
}

// applyDelta takes a delta if it starts from the held version or is whole and newer. A
// delta that does not fit is dropped: the next message's acknowledgement makes
// the peer send a fitting one.
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
