package owner

import (
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"filbertcross/internal/dispatch"
	"filbertcross/internal/fleet"
)

// Keys in the store.
const (
	Key            = "fc/owner"
	workersKey     = "fc/workers"
	settingsKey    = "fc/settings" // written by the owner
	intakePrefix   = "fc/in/"      // submissions and cancellations, watched by the owner
	jobPrefix      = "fc/in/j/"    // written by the VM that accepted the submission
	cancelPrefix   = "fc/in/c/"
	progressPrefix = "fc/st/" // written by the owner
	wavePrefix     = progressPrefix + "wave/"
	cancelValue    = "1"

	cancelSeparator = "/" // between id and account; ids have none
)

// encoding retains fractions of a second, which the library's default mode drops.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// JobKey returns the key of a submission.
func JobKey(id fleet.JobID) string { return jobPrefix + string(id) }

// CancelKey returns the key of the cancellation of a submission by an account; empty: none. Each
// account has a key of its own, so that none can take the place of another's cancellation.
func CancelKey(id fleet.JobID, account string) string {
	if account == "" {
		return cancelPrefix + string(id)
	}
	return cancelPrefix + string(id) + cancelSeparator + account
}

// parseCancelKey returns the submission and the account of a key made by CancelKey.
func parseCancelKey(key string) (fleet.JobID, string) {
	id, account, _ := strings.Cut(strings.TrimPrefix(key, cancelPrefix), cancelSeparator)
	return fleet.JobID(id), account
}

// ProgressKey returns the key of the progress of a submission.
func ProgressKey(id fleet.JobID) string { return progressPrefix + string(id) }

// waveKey returns the key of the progress of a maintenance wave.
func waveKey(number int64) string { return wavePrefix + strconv.FormatInt(number, 10) }

// SubmissionTxn returns the transaction that stores a submission on condition that its key is absent.
func SubmissionTxn(s *fleet.Submission) (fleet.Txn, error) {
	value, err := encoding.Marshal(s.Stored())
	if err != nil {
		return fleet.Txn{}, err
	}
	return createTxn(JobKey(s.ID), value), nil
}

// StoredAccount returns the account of an encoded submission; empty if it has none or cannot be
// decoded.
func StoredAccount(value []byte) string {
	var s fleet.Submission
	if err := cbor.Unmarshal(value, &s); err != nil {
		return ""
	}
	return s.Account
}

// CancelTxn returns the transaction that stores an account's cancellation on condition that its key
// is absent. It may be committed before the submission.
func CancelTxn(id fleet.JobID, account string) fleet.Txn {
	return createTxn(CancelKey(id, account), []byte(cancelValue))
}

func createTxn(key string, value []byte) fleet.Txn {
	return fleet.Txn{If: []fleet.Condition{{Key: key}}, Set: []fleet.Write{{Key: key, Value: value}}}
}

// Record is the owner's entry under Key.
type Record struct {
	Node        string `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint"` // of its peer server
	Incarnation string `cbor:"3,keyasint"` // of its process
}

// workersRecord is the entry under workersKey: the owner that may have started runs, and the
// workers on which it may have started them.
type workersRecord struct {
	Owner   Record                    `cbor:"1,keyasint"`
	Workers []dispatch.RecordedWorker `cbor:"2,keyasint"`
}

// ParseRecord decodes an owner record.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	err := cbor.Unmarshal(value, &r)
	return r, err
}
