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

// Limits bound the state of a key partition. A key is never evicted before its Retention
// expires, since its request could then run twice; new keys are rejected at MaxKeys
// instead. Recorded responses above MaxTotalResponseBytes are evicted oldest first; Begin
// then returns MayHaveRun for their keys.
type Limits struct {
	Retention             time.Duration // from the later of a key's last change and its request's deadline
	MaxKeys               int
	MaxResponseBytes      int // limit of one recorded response
	MaxTotalResponseBytes int // limit of all recorded responses
}

// DefaultLimits returns the limits of a key partition in production.
func DefaultLimits() Limits {
	return Limits{Retention: 24 * time.Hour, MaxKeys: 20_000, MaxResponseBytes: 64 << 10, MaxTotalResponseBytes: 4 << 20}
}

// keyID is an idempotency key of a branch.
type keyID struct {
	branch model.BranchID
	key    string
}

// phase is the progress of a key's run as recorded in the log.
type phase int

const (
	phaseSending   phase = iota // granted; no outcome is recorded
	phaseDone                   // executed
	phaseUncertain              // outcome unknown
)

// record is an entry in the log of a key partition; exactly one field is set.
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

// keyState is the state of a key as recorded in the log.
type keyState struct {
	Begun    beginRecord `cbor:"1,keyasint"`
	Phase    phase       `cbor:"2,keyasint"`
	Response *Response   `cbor:"3,keyasint"` // nil in phaseDone: too large, or evicted
	Changed  time.Time   `cbor:"4,keyasint"`
}

// keyTable is the state of a key partition. It performs no I/O and is guarded by
// keyPartition.mu.
type keyTable struct {
	limits        Limits
	keys          map[keyID]*keyState
	responseBytes int            // total size of the recorded responses
	recorded      []*beginRecord // keys with a recorded response, oldest first
	evicted       int            // responses evicted early since takeEvicted
}

func newKeyTable(limits Limits) *keyTable {
	return &keyTable{limits: limits, keys: map[keyID]*keyState{}}
}

// restoreKeyTable rebuilds the state from a snapshot and the records that follow it.
func restoreKeyTable(limits Limits, snapshot []byte, records [][]byte) (*keyTable, error) {
	t := newKeyTable(limits)
	var states []*keyState
	if snapshot != nil {
		if err := cbor.Unmarshal(snapshot, &states); err != nil {
			return nil, errors.Wrap(err, "ledger: decode snapshot")
		}
	}
	for _, k := range states {
		t.keys[keyID{k.Begun.Branch, k.Begun.Key}] = k
		t.retainResponse(k)
	}
	for _, b := range records {
		var r record
		if err := cbor.Unmarshal(b, &r); err != nil {
			return nil, errors.Wrap(err, "ledger: decode record")
		}
		t.apply(r)
	}
	return t, nil
}

// encodeSnapshot encodes the state without the expired keys.
func (t *keyTable) encodeSnapshot(now time.Time) []byte {
	var states []*keyState
	for _, k := range t.keys {
		if !t.expired(k, now) {
			states = append(states, k)
		}
	}
	slices.SortFunc(states, func(a, b *keyState) int {
		return cmp.Or(a.Changed.Compare(b.Changed), cmp.Compare(a.Begun.Token, b.Begun.Token))
	})
	return mustEncode(states)
}

func mustEncode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode %T", v))
	}
	return b
}

// apply applies a durable record. A finish is ignored if its run is not the key's current
// one.
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

// retainResponse accounts for a recorded response and evicts the oldest ones above
// MaxTotalResponseBytes.
func (t *keyTable) retainResponse(k *keyState) {
	if k.Response == nil {
		return
	}
	t.responseBytes += k.Response.size()
	t.recorded = append(t.recorded, &k.Begun)
	for t.responseBytes > t.limits.MaxTotalResponseBytes && len(t.recorded) > 0 {
		b := t.recorded[0]
		t.recorded = t.recorded[1:]
		if oldest := t.keys[keyID{b.Branch, b.Key}]; oldest != nil && &oldest.Begun == b {
			t.dropResponse(oldest)
			t.evicted++
		}
	}
}

// takeEvicted returns the number of responses that were evicted early since its last call.
func (t *keyTable) takeEvicted() int {
	n := t.evicted
	t.evicted = 0
	return n
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

// expired reports whether the retention of a key has expired. It starts no earlier than
// the request's deadline, since the request may be sent until then.
func (t *keyTable) expired(k *keyState, now time.Time) bool {
	since := k.Changed
	if k.Begun.Deadline.After(since) {
		since = k.Begun.Deadline
	}
	return now.Sub(since) > t.limits.Retention
}

func (t *keyTable) removeExpired(now time.Time) {
	for id, k := range t.keys {
		if t.expired(k, now) {
			t.remove(id)
		}
	}
}

// size returns the approximate size in bytes: body, header names and header values.
func (r *Response) size() int {
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// lookup returns the result of Begin for a known key; it returns false if the key is free.
// isDead reports whether a VM is known to be dead and so cannot send any more.
func (t *keyTable) lookup(now time.Time, r BeginRequest, isDead func(model.VMID) bool) (BeginResult, bool) {
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
	case now.After(k.Begun.Deadline) || isDead(k.Begun.VM):
		return BeginResult{State: MayHaveRun}, true
	}
	return BeginResult{State: InProgress, RetryAfter: inProgressRetryAfter}, true
}
