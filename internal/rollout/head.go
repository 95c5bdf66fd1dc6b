package rollout

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"filbertcross/internal/platform"
)

// Keys of the store.
const (
	headKey    = "config/head"
	partPrefix = "config/parts/"
)

// recentStamps is how many revisions back a lost answer can be settled.
const maxRecentWriterIDs = 32

// head is the record that makes a configuration accepted. It is only ever written
// by compare-and-swap, each time with the next revision or unchanged.
type head struct {
	Revision  int64     `cbor:"1,keyasint"`
	Parts     []partRef `cbor:"2,keyasint"` // by group
	Retired   []partRef `cbor:"3,keyasint"` // parts of the revision before that this one replaced
	WriterIDs []string  `cbor:"4,keyasint"` // of the writers of the newest revisions, this one's last
}

// partRef names a part. Parts are immutable; a key is never written twice, and only
// the next head after one that names it may name it again.
type partRef struct {
	Group    int               `cbor:"1,keyasint"`
	Hash     string            `cbor:"2,keyasint"` // of the content
	WriterID string            `cbor:"3,keyasint"` // of the writer; makes the key unique
	Revision platform.Revision `cbor:"4,keyasint"` // of the store, to delete it
}

func (r partRef) key() string { return partPrefix + r.Hash + "-" + r.WriterID }

// stamp is that of the head's own writer.
func (h head) writerID() string {
	if len(h.WriterIDs) == 0 {
		return ""
	}
	return h.WriterIDs[len(h.WriterIDs)-1]
}

// wrote tells whether the stamp's writer made the revision. known is false when the
// revision is too old to tell.
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

// next makes the head that follows h.
func (h head) next(parts []partRef, writerID string) head {
	stamps := append(slices.Clone(h.WriterIDs), writerID)
	return head{
		Revision:  h.Revision + 1,
		Parts:     parts,
		Retired:   slices.DeleteFunc(slices.Clone(h.Parts), func(r partRef) bool { return slices.Contains(parts, r) }),
		WriterIDs: stamps[max(0, len(stamps)-maxRecentWriterIDs):],
	}
}

// encoding writes maps and structs in one order only, so that equal values have
// equal bytes.
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
		panic("rollout: encode: " + err.Error()) // the types hold nothing that cannot be encoded
	}
	return data
}

func decodeHead(data []byte) (head, error) {
	var h head
	if err := cbor.Unmarshal(data, &h); err != nil {
		return head{}, errors.Wrap(err, "rollout: head")
	}
	return h, nil
}
