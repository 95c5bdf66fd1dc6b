package partition

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"filbertcross/internal/model"
)

// Errors of a partition's log. Callers test for them with errors.Is.
var (
	// ErrOwnershipLost means that a newer epoch owns the partition; the operation had no effect.
	ErrOwnershipLost = errors.New("partition: a newer epoch owns it")
	// ErrOutcomeUnknown means that the log was closed, or lost ownership, before the outcome
	// of a write was known; the write may have taken effect.
	ErrOutcomeUnknown = errors.New("partition: outcome of the write is not known")
	// ErrLogFull means that a snapshot is needed before the next append; the operation had
	// no effect.
	ErrLogFull = errors.New("partition: log is full until a snapshot is taken")
	// ErrBatchTooLarge means that one append exceeds MaxBatchBytes; the operation had no effect.
	ErrBatchTooLarge = errors.New("partition: batch exceeds the store's value size")
)

// OwnershipRecord is a partition's ownership record in the store. It changes only by
// compare-and-swap, and Epoch never decreases.
type OwnershipRecord struct {
	VM       model.VMID `cbor:"1,keyasint"`
	Address  string     `cbor:"2,keyasint"` // address of the owner's peer link
	Epoch    int64      `cbor:"3,keyasint"`
	Released bool       `cbor:"4,keyasint"` // the owner stopped granting leases and released the partition
	// Lead is the longest time that a lease of this epoch can last after the owner last
	// confirmed its ownership.
	Lead time.Duration `cbor:"5,keyasint"`
	// PriorLead is the longest lead among earlier epochs whose leases may not have expired
	// yet; zero once the owner has recorded that all have.
	PriorLead time.Duration `cbor:"6,keyasint"`
	Stamp     string        `cbor:"7,keyasint"` // unique id of the write
}

// maxLead bounds the leases granted by this epoch and by the earlier ones.
func (r OwnershipRecord) maxLead() time.Duration { return max(r.Lead, r.PriorLead) }

// logEntry is the content of one slot of the log's ring.
type logEntry struct {
	Seq     int64    `cbor:"1,keyasint"`
	Epoch   int64    `cbor:"2,keyasint"`
	Stamp   string   `cbor:"3,keyasint"`
	Seal    bool     `cbor:"4,keyasint"` // first entry of its epoch; has no records
	Records [][]byte `cbor:"5,keyasint"`
}

// snapshotHeader describes the newest snapshot. A small snapshot is stored in the header
// itself, a large one in parts that are written before the header.
type snapshotHeader struct {
	Seq    int64  `cbor:"1,keyasint"` // last entry that the snapshot covers
	Epoch  int64  `cbor:"2,keyasint"`
	Stamp  string `cbor:"3,keyasint"`
	Inline []byte `cbor:"4,keyasint"`
	Parts  int    `cbor:"5,keyasint"` // 0: the data is in Inline
	// Compacted means that the data is a compactedLog rather than an owner's state.
	Compacted bool `cbor:"6,keyasint"`
}

// compactedLog is a snapshot and the records after it, written by a takeover that found
// the ring full.
type compactedLog struct {
	Snapshot []byte   `cbor:"1,keyasint"`
	Records  [][]byte `cbor:"2,keyasint"`
}

func recordKey(id model.PartitionID) string { return fmt.Sprintf("partitions/%s/record", id) }

func logPrefix(id model.PartitionID) string { return fmt.Sprintf("partitions/%s/log/", id) }

func slotKey(id model.PartitionID, slot int64) string {
	return fmt.Sprintf("%s%06d", logPrefix(id), slot)
}

func snapshotKey(id model.PartitionID) string { return fmt.Sprintf("partitions/%s/snapshot", id) }

func partPrefix(id model.PartitionID) string { return fmt.Sprintf("partitions/%s/parts/", id) }

func partKey(id model.PartitionID, stamp string, n int) string {
	return fmt.Sprintf("%s%s/%04d", partPrefix(id), stamp, n)
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode %T", v))
	}
	return b
}

func decode[T any](b []byte) (T, error) {
	var v T
	err := cbor.Unmarshal(b, &v)
	return v, errors.Wrapf(err, "decode %T", v)
}
