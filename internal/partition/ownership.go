package partition

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"filbertcross/internal/model"
)

// Errors of a partition's log. Callers test them with errors.Is.
var (
	// ErrOwnershipLost says a newer epoch owns the partition: what was asked did not take effect.
	ErrOwnershipLost = errors.New("partition: a newer epoch owns it")
	// ErrOutcomeUnknown says the log was closed or deposed before the outcome of a write
	// was known: it may have taken effect.
	ErrOutcomeUnknown = errors.New("partition: outcome of the write is not known")
	// ErrLogFull says a snapshot is due before more can be appended: nothing took effect.
	ErrLogFull = errors.New("partition: log is full until a snapshot is taken")
	// ErrBatchTooLarge says one append exceeds MaxBatchBytes: nothing took effect.
	ErrBatchTooLarge = errors.New("partition: batch exceeds the store's value size")
)

// OwnershipRecord is a partition's ownership record in the store. It changes only by
// compare-and-swap, and Epoch never falls.
type OwnershipRecord struct {
	VM       model.VMID `cbor:"1,keyasint"`
	Address  string     `cbor:"2,keyasint"` // of the owner's peer link
	Epoch    int64      `cbor:"3,keyasint"`
	Released bool       `cbor:"4,keyasint"` // the owner stopped granting and gave the partition up
	// Lead bounds how far a lease of this epoch outlasts the owner's last confirmation.
	Lead time.Duration `cbor:"5,keyasint"`
	// PriorLead is the longest lead of earlier epochs whose leases may not have
	// lapsed yet; zero once the owner has settled them.
	PriorLead time.Duration `cbor:"6,keyasint"`
	Stamp     string        `cbor:"7,keyasint"` // of the write, unique
}

// maxLead bounds the leases granted by this epoch and the ones before it.
func (r OwnershipRecord) maxLead() time.Duration { return max(r.Lead, r.PriorLead) }

// logEntry is one slot of the log's ring.
type logEntry struct {
	Seq     int64    `cbor:"1,keyasint"`
	Epoch   int64    `cbor:"2,keyasint"`
	Stamp   string   `cbor:"3,keyasint"`
	Seal    bool     `cbor:"4,keyasint"` // first entry of its epoch; carries no records
	Records [][]byte `cbor:"5,keyasint"`
}

// snapshotHeader names the newest snapshot. A small one is kept inside it, a large
// one in parts that were written before it.
type snapshotHeader struct {
	Seq    int64  `cbor:"1,keyasint"` // of the last entry that the snapshot covers
	Epoch  int64  `cbor:"2,keyasint"`
	Stamp  string `cbor:"3,keyasint"`
	Inline []byte `cbor:"4,keyasint"`
	Parts  int    `cbor:"5,keyasint"` // 0: inline
	// Compacted says that the data is a compacted replay, not an owner's state.
	Compacted bool `cbor:"6,keyasint"`
}

// compactedLog is a snapshot and the records behind it, written by a takeover that
// found the ring full.
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
