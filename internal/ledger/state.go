package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"filbertcross/internal/model"
	"filbertcross/internal/verdict"
)

// Limits bound a key partition's state. Keys are never dropped before Retain is
// over, so that no request of a kept key runs twice: at MaxKeys new keys are refused.
// Recorded answers are dropped earlier, the oldest first: their keys then answer
// MayHaveRun.
type Limits struct {
	Retention             time.Duration // of a key after its last change or its request's deadline
	MaxKeys               int
	MaxResponseBytes      int // of one recorded answer
	MaxTotalResponseBytes int // of all recorded answers
}

// DefaultLimits returns the limits for production.
func DefaultLimits() Limits {
	return Limits{Retention: 24 * time.Hour, MaxKeys: 20_000, MaxResponseBytes: 64 << 10, MaxTotalResponseBytes: 4 << 20}
}

// keyID is an idempotency key of a branch.
type keyID struct {
	branch model.BranchID
	key    string
}

// phase is how far the run of a key has come, as the log says.
type phase int

const (
	phaseSending phase = iota
	phaseDone
	phaseUncertain
)

// record is one entry of a key partition's log: exactly one field is set.
type record struct {
	Begun    *beginRecord  `cbor:"1,keyasint,omitempty"`
	Finished *finishRecord `cbor:"2,keyasint,omitempty"`
}

// beginRecord is logged before the request of a key is sent.
type beginRecord struct {
	Branch      model.BranchID `cbor:"1,keyasint"`
	Key         string         `cbor:"2,keyasint"`
	Fingerprint Fingerprint    `cbor:"3,keyasint"`
	Token       int64          `cbor:"4,keyasint"`
	RunID       string         `cbor:"5,keyasint"`
	VM          model.VMID     `cbor:"6,keyasint"`
	Deadline    time.Time      `cbor:"7,keyasint"`
	At          time.Time      `cbor:"8,keyasint"`
}

// finishRecord is logged when the outcome of a run is known.
type finishRecord struct {
	Branch   model.BranchID  `cbor:"1,keyasint"`
	Key      string          `cbor:"2,keyasint"`
	Token    int64           `cbor:"3,keyasint"`
	Verdict  verdict.Verdict `cbor:"4,keyasint"`
	Response *Response       `cbor:"5,keyasint"`
	At       time.Time       `cbor:"6,keyasint"`
}

// keyState is a key as the log says.
type keyState struct {
	Begun    beginRecord `cbor:"1,keyasint"`
	Phase    phase       `cbor:"2,keyasint"`
	Response *Response   `cbor:"3,keyasint"` // nil after phaseDone: too large, or dropped
	Changed  time.Time   `cbor:"4,keyasint"`
}

// keyTable is a key partition's state. It is pure; its host's lock guards it.
type keyTable struct {
	limits        Limits
	keys          map[keyID]*keyState
	responseBytes int            // of the recorded answers
	recorded      []*beginRecord // of recorded answers, in the order of recording
}

func newKeyTable(limits Limits) *keyTable {
	return &keyTable{limits: limits, keys: map[keyID]*keyState{}}
}

// restoreKeyTable rebuilds the state from a snapshot and the records behind it.
func restoreKeyTable(limits Limits, snapshot []byte, records [][]byte) (*keyTable, error) {
	t := newKeyTable(limits)
	var saved []*keyState
	if snapshot != nil {
		if err := cbor.Unmarshal(snapshot, &saved); err != nil {
			return nil, errors.Wrap(err, "ledger: snapshot")
		}
	}
	for _, k := range saved {
		t.keys[keyID{k.Begun.Branch, k.Begun.Key}] = k
		t.retainResponse(k)
	}
	for _, b := range records {
		var r record
		if err := cbor.Unmarshal(b, &r); err != nil {
			return nil, errors.Wrap(err, "ledger: record")
		}
		t.apply(r)
	}
	return t, nil
}

// encodeSnapshot returns the state as a snapshot, without the keys that have expired.
func (t *keyTable) encodeSnapshot(now time.Time) []byte {
	var kept []*keyState
	for _, k := range t.keys {
		if !t.expired(k, now) {
			kept = append(kept, k)
		}
	}
	slices.SortFunc(kept, func(a, b *keyState) int {
		return cmp.Or(a.Changed.Compare(b.Changed), cmp.Compare(a.Begun.Token, b.Begun.Token))
	})
	return mustEncode(kept)
}

func mustEncode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode %T", v))
	}
	return b
}

// apply takes a durable record in. A finish of another run than the key's changes nothing.
func (t *keyTable) apply(r record) {
	switch {
	case r.Begun != nil:
		t.remove(keyID{r.Begun.Branch, r.Begun.Key})
		t.keys[keyID{r.Begun.Branch, r.Begun.Key}] = &keyState{Begun: *r.Begun, Changed: r.Begun.At}
	case r.Finished != nil:
		t.applyFinished(*r.Finished)
	}
}

func (t *keyTable) applyFinished(f finishRecord) {
	id := keyID{f.Branch, f.Key}
	k := t.keys[id]
	if k == nil || k.Begun.Token != f.Token || k.Phase != phaseSending {
		return
	}
	k.Changed = f.At
	switch f.Verdict {
	case verdict.NotRun:
		t.remove(id)
	case verdict.Done:
		k.Phase, k.Response = phaseDone, f.Response
		t.retainResponse(k)
	default:
		k.Phase = phaseUncertain
	}
}

// retainResponse counts a recorded answer and drops the oldest ones beyond the limit.
func (t *keyTable) retainResponse(k *keyState) {
	if k.Response == nil {
		return
	}
	t.responseBytes += k.Response.size()
	t.recorded = append(t.recorded, &k.Begun)
	for t.responseBytes > t.limits.MaxTotalResponseBytes && len(t.recorded) > 0 {
		b := t.recorded[0]
		t.recorded = t.recorded[1:]
		if first := t.keys[keyID{b.Branch, b.Key}]; first != nil && &first.Begun == b {
			t.dropResponse(first)
		}
	}
}

func (t *keyTable) dropResponse(k *keyState) {
	if k.Response != nil {
		t.responseBytes -= k.Response.size()
		k.Response = nil
	}
}

func (t *keyTable) remove(id keyID) {
	if k := t.keys[id]; k != nil {
		t.dropResponse(k)
		delete(t.keys, id)
	}
}

// expired counts from the deadline while the request may still be sent.
func (t *keyTable) expired(k *keyState, now time.Time) bool {
	since := k.Changed
	if k.Begun.Deadline.After(since) {
		since = k.Begun.Deadline
	}
	return now.Sub(since) > t.limits.Retention
}

// removeExpired forgets the expired keys.
func (t *keyTable) removeExpired(now time.Time) {
	for id, k := range t.keys {
		if t.expired(k, now) {
			t.remove(id)
		}
	}
}

// size counts the bytes of an answer roughly.
func (a *Response) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// lookup says what a repeat of a key gets; false says that the key is free.
func (t *keyTable) lookup(now time.Time, r BeginRequest, gone func(model.VMID) bool) (BeginResult, bool) {
	k := t.keys[keyID{r.Branch, r.Key}]
	switch {
	case k == nil || t.expired(k, now):
		return BeginResult{}, false
	case k.Begun.Fingerprint != r.Fingerprint:
		return BeginResult{State: Mismatch}, true
	case k.Phase == phaseDone && k.Response != nil:
		return BeginResult{State: Recorded, Response: k.Response}, true
	case k.Phase != phaseSending:
		return BeginResult{State: MayHaveRun}, true
	case r.RunID != "" && k.Begun.RunID == r.RunID:
		return BeginResult{State: Granted, Token: k.Begun.Token}, true
	case now.After(k.Begun.Deadline) || gone(k.Begun.VM):
		return BeginResult{State: MayHaveRun}, true
	}
	return BeginResult{State: InProgress, RetryAfter: inProgressRetryAfter}, true
}
