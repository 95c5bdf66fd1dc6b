package owner

import (
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"filbertcross/internal/dispatch"
	"filbertcross/internal/fleet"
)

// The project's keys in the store.
const (
	Key            = "fc/owner"
	workersKey     = "fc/workers"
	intakePrefix   = "fc/in/"   // watched by the owner: submissions and cancellations
	jobPrefix      = "fc/in/j/" // written by the VM that took the submission
	cancelPrefix   = "fc/in/c/"
	progressPrefix = "fc/st/" // written by the owner
	wavePrefix     = progressPrefix + "wave/"
	cancelValue    = "1"
)

// encoding keeps the fractions of a second, which the library's default drops.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// JobKey is where a submission lies.
func JobKey(id fleet.JobID) string { return jobPrefix + string(id) }

// CancelKey is where the cancellation of a submission lies.
func CancelKey(id fleet.JobID) string { return cancelPrefix + string(id) }

// ProgressKey is where a submission's progress lies.
func ProgressKey(id fleet.JobID) string { return progressPrefix + string(id) }

// waveKey is where the progress of a maintenance wave lies.
func waveKey(number int64) string { return wavePrefix + strconv.FormatInt(number, 10) }

// SubmissionTxn stores a submission unless one with its id is there.
func SubmissionTxn(s *fleet.Submission) (fleet.Txn, error) {
	value, err := encoding.Marshal(s)
	if err != nil {
		return fleet.Txn{}, err
	}
	return createTxn(JobKey(s.ID), value), nil
}

// CancelTxn stores a cancellation; it may come before the submission.
func CancelTxn(id fleet.JobID) fleet.Txn { return createTxn(CancelKey(id), []byte(cancelValue)) }

func createTxn(key string, value []byte) fleet.Txn {
	return fleet.Txn{If: []fleet.Condition{{Key: key}}, Set: []fleet.Write{{Key: key, Value: value}}}
}

// Record is the owner's entry under Key.
type Record struct {
	Node        string `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint"` // of its peer server
	Incarnation string `cbor:"3,keyasint"` // of its process
}

// fleetRecord is the entry under workersKey: who may have started runs, and where.
type workersRecord struct {
	Owner   Record                    `cbor:"1,keyasint"`
	Workers []dispatch.RecordedWorker `cbor:"2,keyasint"`
}

// ParseRecord reads an owner's entry.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	err := cbor.Unmarshal(value, &r)
	return r, err
}
