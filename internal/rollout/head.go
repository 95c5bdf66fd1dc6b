package rollout

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"filbertcross/internal/platform"
)

// Keys in the platform's store.
const (
	headKey    = "config/head"
	partPrefix = "config/parts/"
)

// maxRecentWriterIDs is the number of latest revisions whose writers a head records.
// Within it the outcome of a write whose response was lost can be determined.
const maxRecentWriterIDs = 32

// head is the record that makes a configuration accepted. It is written only by
// compare-and-swap, with the next revision or unchanged.
type head struct {
	Revision  int64     `cbor:"1,keyasint"`
	Parts     []partRef `cbor:"2,keyasint"` // ordered by group
	Retired   []partRef `cbor:"3,keyasint"` // parts of the previous revision that this one replaced
	WriterIDs []string  `cbor:"4,keyasint"` // of the writers of the latest revisions, this one's last
}

// partRef references a part. Parts are immutable and a key is never written twice. Only
// the head directly after one that references a part may reference it again.
type partRef struct {
	Group    int               `cbor:"1,keyasint"`
	Hash     string            `cbor:"2,keyasint"` // of the encoded part
	WriterID string            `cbor:"3,keyasint"` // makes the key unique
	Revision platform.Revision `cbor:"4,keyasint"` // of the key in the store, needed to delete it
}

func (r partRef) key() string { return partPrefix + r.Hash + "-" + r.WriterID }

// writerID returns the ID of the call of Apply that wrote this revision, or "".
func (h head) writerID() string {
	if len(h.WriterIDs) == 0 {
		return ""
	}
	return h.WriterIDs[len(h.WriterIDs)-1]
}

// isWrittenBy reports whether the writer wrote the revision. known is false if the
// revision is so old that its writer is no longer recorded.
func (h head) isWrittenBy(writerID string, revision int64) (own, known bool) {
	if h.Revision < revision {
		return false, true
	}
	i := int64(len(h.WriterIDs)-1) - (h.Revision - revision)
	if i < 0 {
		return false, false
	}
	return h.WriterIDs[i] == writerID, true
}

// next returns the head of the revision after h.
func (h head) next(parts []partRef, writerID string) head {
	writerIDs := append(slices.Clone(h.WriterIDs), writerID)
	return head{
		Revision:  h.Revision + 1,
		Parts:     parts,
		Retired:   slices.DeleteFunc(slices.Clone(h.Parts), func(r partRef) bool { return slices.Contains(parts, r) }),
		WriterIDs: writerIDs[max(0, len(writerIDs)-maxRecentWriterIDs):],
	}
}

// encoding is canonical, so that equal values have equal bytes.
var encoding = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic("rollout: " + err.Error())
	}
	return mode
}()

func encode(v any) []byte {
	data, err := encoding.Marshal(v)
	if err != nil {
		panic("rollout: encode: " + err.Error()) // cannot happen: all types are encodable
	}
	return data
}

func decodeHead(data []byte) (head, error) {
	var h head
	if err := cbor.Unmarshal(data, &h); err != nil {
		return head{}, errors.Wrap(err, "rollout: decode head")
	}
	return h, nil
}
