package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
	"filbertcross/internal/partition"
	"filbertcross/internal/verdict"
)

// Timing and snapshot settings of a Host.
const (
	inProgressRetryAfter = 500 * time.Millisecond // delay before a duplicate request is retried while the first one runs
	rejectedRetryAfter   = time.Second            // delay before a rejected request is retried
	appendStallTimeout   = time.Second            // new keys are rejected at once while an append takes longer
	sweepInterval        = time.Minute
	snapshotLogDivisor   = 2 // a snapshot is due when 1/snapshotLogDivisor of the log's capacity is not covered by one
)

// Errors of Host.
var (
	// ErrNotOwner reports that this VM does not own the key's partition.
	ErrNotOwner = errors.New("ledger: partition is not owned here")
	// ErrUnknownRun reports that the key has no run with the given token.
	ErrUnknownRun = errors.New("ledger: unknown run")
	// ErrBusy reports that a record of the key is being logged; the call may be retried.
	ErrBusy        = errors.New("ledger: the key is being logged")
	errTooManyKeys = errors.New("ledger: too many keys are kept")
)

// RejectedError reports that the key of a request could not be logged, so that the
// request must not be sent. It may be retried after RetryAfter.
type RejectedError struct {
	RetryAfter time.Duration
	Cause      error
}

// Error returns the message of the cause, prefixed with the outcome "not run".
func (e *RejectedError) Error() string { return "ledger: not run: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error { return e.Cause }

func newRejectedError(cause error) error {
	return &RejectedError{RetryAfter: rejectedRetryAfter, Cause: cause}
}

// Host serves the key partitions that this VM owns. Safe for concurrent use.
type Host struct {
	limits   Limits
	isDead   func(model.VMID) bool
	now      func() time.Time
	recorder event.Recorder

	inFlight sync.WaitGroup // records and snapshots being written to the log

	mu         sync.Mutex
	partitions map[model.PartitionID]*keyPartition
}

// NewHost returns a Host without partitions. isDead reports whether a VM is known to be
// dead; now returns the wall clock.
func NewHost(limits Limits, isDead func(model.VMID) bool, now func() time.Time, r event.Recorder) *Host {
	return &Host{limits: limits, isDead: isDead, now: now, recorder: r, partitions: map[model.PartitionID]*keyPartition{}}
}

// Log is the part of partition.Log that Host uses.
type Log interface {
	Epoch() int64
	Append(ctx context.Context, records [][]byte) error
	Stalled(d time.Duration) bool
	Position() int64
	EntriesSinceSnapshot() (entries, limit int64)
	Snapshot(ctx context.Context, data []byte, through int64) error
}

var _ Log = (*partition.Log)(nil)

// keyPartition is an owned key partition.
type keyPartition struct {
	id   model.PartitionID
	host *Host
	log  Log

	snapshotMu   sync.RWMutex // read lock: from an append until it is applied; write lock: to encode a snapshot
	snapshotting atomic.Bool

	mu        sync.Mutex // guards the fields below
	table     *keyTable
	pending   map[keyID]*BeginRequest // keys with a record being logged; the value is nil for a finish
	lastToken int64
	sweptAt   time.Time
}

// Open starts serving a partition with the state replayed from its log. An error means
// that the snapshot or a record cannot be decoded.
func (h *Host) Open(id model.PartitionID, log Log, replay partition.Replay) error {
	t, err := restoreKeyTable(h.limits, replay.Snapshot, replay.Records)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partitions[id] = &keyPartition{
		id: id, host: h, log: log, table: t, pending: map[keyID]*BeginRequest{}, lastToken: log.Epoch() << 32,
	}
	return nil
}

// Close stops serving a partition. Calls in flight complete with the result of their
// append.
func (h *Host) Close(id model.PartitionID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.partitions, id)
}

// Flush waits until all records and snapshots in flight are written. A graceful stop calls
// it before it releases the partitions. No Begin or Finish may start during Flush.
func (h *Host) Flush() { h.inFlight.Wait() }

func (h *Host) ownedPartition(id model.PartitionID) (*keyPartition, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.partitions[id]
	if p == nil {
		return nil, ErrNotOwner
	}
	return p, nil
}

// Begin requests the right to send a request whose key belongs to partition id. It
// returns Granted only after the key is logged. Errors are ErrNotOwner or of type
// *RejectedError; the request must not be sent after either.
func (h *Host) Begin(ctx context.Context, id model.PartitionID, r BeginRequest) (BeginResult, error) {
	p, err := h.ownedPartition(id)
	if err != nil {
		return BeginResult{}, err
	}
	result, known, err := p.claim(r)
	if err != nil {
		h.recorder.Record(event.LedgerRequestRejected, id, r.Branch, r.Key, err)
		return BeginResult{}, newRejectedError(err)
	}
	if known {
		if result.State == MayHaveRun {
			h.recorder.Record(event.LedgerOutcomeUnknown, id, r.Branch, r.Key)
		}
		return result, nil
	}
	err = p.logBegin(ctx, r, result.Token)
	if ownershipLost(err) {
		return BeginResult{}, ErrNotOwner
	}
	if err != nil {
		h.recorder.Record(event.LedgerRequestRejected, id, r.Branch, r.Key, err)
		return BeginResult{}, newRejectedError(err)
	}
	return result, nil
}

// ownershipLost reports whether a record was certainly not logged because another VM
// owns the partition.
func ownershipLost(err error) bool {
	return errors.Is(err, partition.ErrOwnershipLost) && !errors.Is(err, partition.ErrOutcomeUnknown)
}

// claim returns the result for a known key, or reserves a free key under a new token.
func (p *keyPartition) claim(r BeginRequest) (result BeginResult, known bool, err error) {
	now := p.host.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	id := keyID{r.Branch, r.Key}
	if pending, ok := p.pending[id]; ok {
		return pendingResult(pending, r)
	}
	if result, known = p.table.lookup(now, r, p.host.isDead); known {
		return result, true, nil
	}
	switch {
	case p.log.Stalled(appendStallTimeout):
		return BeginResult{}, false, errors.New("ledger: the store does not answer")
	case len(p.table.keys)+len(p.pending) >= p.table.limits.MaxKeys:
		return BeginResult{}, false, errTooManyKeys
	}
	p.lastToken++
	p.pending[id] = &r
	return BeginResult{State: Granted, Token: p.lastToken}, false, nil
}

// pendingResult returns the result for a key with a record being logged. pending is the
// request whose begin is being logged, or nil while a finish is.
func pendingResult(pending *BeginRequest, r BeginRequest) (BeginResult, bool, error) {
	switch {
	case pending != nil && pending.Fingerprint != r.Fingerprint:
		return BeginResult{State: Mismatch}, true, nil
	case pending != nil && r.RunID != "" && pending.RunID == r.RunID:
		return BeginResult{}, false, ErrBusy // repeats a call whose response was lost
	}
	return BeginResult{State: InProgress, RetryAfter: inProgressRetryAfter}, true, nil
}

func (p *keyPartition) sweep(now time.Time) {
	if now.Sub(p.sweptAt) >= sweepInterval {
		p.sweptAt = now
		p.table.removeExpired(now)
	}
}

// logBegin logs a claimed key. If ctx is done before the append completes, the request
// is not sent, so the key is freed again once it is logged.
func (p *keyPartition) logBegin(ctx context.Context, r BeginRequest, token int64) error {
	id := keyID{r.Branch, r.Key}
	b := &beginRecord{
		Branch: r.Branch, Key: r.Key, Fingerprint: r.Fingerprint, Token: token, RunID: r.RunID,
		VM: r.VM, Deadline: r.Deadline, At: p.host.now(),
	}
	done := make(chan error, 1)
	// Guarded by p.mu; at most one is set, by whichever happens first.
	var completed, canceled bool
	p.host.inFlight.Go(func() {
		err := p.appendRecord(id, record{Begun: b}, func(err error) {
			completed = !canceled
			if canceled && err == nil {
				p.pending[id] = nil // blocks duplicates until the key is freed
			}
		})
		done <- err
		if !completed && err == nil {
			f := &finishRecord{Branch: r.Branch, Key: r.Key, Token: token, Verdict: verdict.NotRun, At: p.host.now()}
			_ = p.appendRecord(id, record{Finished: f}, nil)
		}
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	p.mu.Lock()
	canceled = !completed
	abandoned := canceled
	p.mu.Unlock()
	if abandoned {
		return ctx.Err()
	}
	return <-done
}

// appendRecord logs a record of a pending key, applies it and removes the key from
// pending. onDone, if not nil, receives the result while p.mu is still held, before other
// calls can observe the new state.
func (p *keyPartition) appendRecord(id keyID, r record, onDone func(error)) error {
	p.snapshotMu.RLock()
	err := p.log.Append(context.Background(), [][]byte{mustEncode(r)})
	p.mu.Lock()
	delete(p.pending, id)
	if err == nil {
		p.table.apply(r)
	}
	if onDone != nil {
		onDone(err)
	}
	evicted := p.table.takeEvicted()
	p.mu.Unlock()
	p.snapshotMu.RUnlock()
	if evicted > 0 {
		p.host.recorder.Record(event.LedgerEvicted, p.id, evicted)
	}
	p.snapshotIfDue(errors.Is(err, partition.ErrLogFull))
	return err
}

// Finish records the outcome of a granted run. Errors are ErrNotOwner, ErrUnknownRun,
// ErrBusy, ctx.Err() and those of partition.Log.Append except ErrOwnershipLost, which is
// reported as ErrNotOwner. An error leaves the key's state on this VM unchanged, except
// that an append in flight when ctx ends may still be applied. Finish may be retried after
// an error.
func (h *Host) Finish(ctx context.Context, id model.PartitionID, r FinishRequest) error {
	p, err := h.ownedPartition(id)
	if err != nil {
		return err
	}
	return p.finish(ctx, r)
}

func (p *keyPartition) finish(ctx context.Context, r FinishRequest) error {
	id := keyID{r.Branch, r.Key}
	if finished, err := p.claimFinish(id, &r); finished || err != nil {
		return err
	}
	f := &finishRecord{Branch: r.Branch, Key: r.Key, Token: r.Token, Verdict: r.Verdict, At: p.host.now()}
	if r.Verdict == verdict.Done && r.Response != nil && r.Response.size() <= p.table.limits.MaxResponseBytes {
		f.Response = r.Response
	}
	done := make(chan error, 1)
	p.host.inFlight.Go(func() { done <- p.appendRecord(id, record{Finished: f}, nil) })
	select {
	case err := <-done:
		if ownershipLost(err) {
			return ErrNotOwner
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// claimFinish marks the key as pending and sets the token of a run that r identifies by
// its RunID. finished reports that the outcome of the run is already recorded.
func (p *keyPartition) claimFinish(id keyID, r *FinishRequest) (finished bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.pending[id]; ok {
		return false, ErrBusy
	}
	k := p.table.keys[id]
	if k != nil && r.RunID != "" && k.Begun.RunID == r.RunID {
		r.Token = k.Begun.Token
	}
	switch {
	case k == nil || k.Begun.Token != r.Token:
		return false, ErrUnknownRun
	case k.Phase != phaseSending:
		return true, nil
	}
	p.pending[id] = nil
	return false, nil
}

// snapshotIfDue writes a snapshot in a separate goroutine. Appends are blocked while the
// state is encoded, but not while the store writes it.
func (p *keyPartition) snapshotIfDue(full bool) {
	entries, limit := p.log.EntriesSinceSnapshot()
	if !full && entries < limit/snapshotLogDivisor || !p.snapshotting.CompareAndSwap(false, true) {
		return
	}
	p.host.inFlight.Go(func() {
		defer p.snapshotting.Store(false)
		p.snapshotMu.Lock()
		p.mu.Lock()
		data := p.table.encodeSnapshot(p.host.now())
		p.mu.Unlock()
		through := p.log.Position()
		p.snapshotMu.Unlock()
		_ = p.log.Snapshot(context.Background(), data, through)
	})
}
