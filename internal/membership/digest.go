package membership

import (
	"maps"
	"reflect"
)

// version numbers a VM's digests from 1; 0 stands for none.
type version uint64

// keptDigests is how many own digests are kept to make deltas from.
const keptDigests = 32

// digestDelta turns the digest Base into the digest Version. With Base 0 it is whole.
type digestDelta struct {
	Base       version                    `json:"b,omitempty"`
	Version    version                    `json:"v"`
	Revision   int64                      `json:"r,omitempty"`
	FreeSlots  *mapDelta[string, int]     `json:"s,omitempty"`
	Queued     *mapDelta[string, int]     `json:"q,omitempty"`
	Partitions *mapDelta[string, Tenancy] `json:"p,omitempty"`
}

// mapDelta holds the entries of a map that differ.
type mapDelta[K comparable, V comparable] struct {
	Set  map[K]V `json:"s,omitempty"`
	Gone []K     `json:"g,omitempty"`
}

// diffMap returns nil when the maps are equal.
func diffMap[K ~string, V comparable](from, to map[K]V) *mapDelta[string, V] {
	var d mapDelta[string, V]
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
			d.Gone = append(d.Gone, string(k))
		}
	}
	if d.Set == nil && d.Gone == nil {
		return nil
	}
	return &d
}

// applyMap returns a changed copy.
func applyMap[K ~string, V comparable](base map[K]V, d *mapDelta[string, V]) map[K]V {
	if d == nil {
		return base
	}
	changed := make(map[K]V, len(base)+len(d.Set))
	maps.Copy(changed, base)
	for k, v := range d.Set {
		changed[K(k)] = v
	}
	for _, k := range d.Gone {
		delete(changed, K(k))
	}
	return changed
}

// ownDigests numbers this VM's digests and makes deltas for peers that hold an
// older one. Used by one goroutine at a time.
type ownDigests struct {
	current version
	kept    [keptDigests]Digest // by version modulo keptDigests
}

// update takes the present digest; one that equals the last keeps its number.
func (o *ownDigests) update(d Digest) {
	if o.current > 0 && reflect.DeepEqual(o.kept[o.current%keptDigests], d) {
		return
	}
	o.current++
	o.kept[o.current%keptDigests] = cloneDigest(d)
}

func cloneDigest(d Digest) Digest {
	d.FreeSlots = maps.Clone(d.FreeSlots)
	d.Queued = maps.Clone(d.Queued)
	d.Partitions = maps.Clone(d.Partitions)
	return d
}

// deltaSince returns what a peer lacks that holds the version, or nil.
func (o *ownDigests) deltaSince(held version) *digestDelta {
	if held == o.current {
		return nil
	}
	var from Digest
	if held > o.current || o.current-held >= keptDigests {
		held = 0
	}
	if held > 0 {
		from = o.kept[held%keptDigests]
	}
	to := o.kept[o.current%keptDigests]
	return &digestDelta{
		Base:       held,
		Version:    o.current,
		Revision:   to.Revision,
		FreeSlots:  diffMap(from.FreeSlots, to.FreeSlots),
		Queued:     diffMap(from.Queued, to.Queued),
		Partitions: diffMap(from.Partitions, to.Partitions),
	}
}

// heldDigest is a peer's digest as last received.
type heldDigest struct {
	version version
	digest  Digest
}

// apply takes a delta if it starts from the held version or is whole and newer. A
// delta that does not fit is dropped: the next message's acknowledgement makes
// the peer send a fitting one.
func (h *heldDigest) apply(d *digestDelta) {
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
		FreeSlots:  applyMap(base.FreeSlots, d.FreeSlots),
		Queued:     applyMap(base.Queued, d.Queued),
		Partitions: applyMap(base.Partitions, d.Partitions),
	}
}
