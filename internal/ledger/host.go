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

// Times of a host.
const (
	inProgressRetryAfter = 500 * time.Millisecond // before a repeat asks again for the first run
	refusedRetryAfter    = time.Second            // before a refused request comes back
	appendStallTimeout   = time.Second            // a write out so long has new keys refused at once
	sweepInterval        = time.Minute
	snapshotLogDivisor   = 2 // a snapshot is taken when this part of the log is uncovered
)

// Errors of a host.
var (
	// ErrNotOwner says that this VM does not own the key's partition.
	ErrNotOwner = errors.New("ledger: partition is not owned here")
	// ErrUnknownRun says that the token is not the one of the key's run.
	ErrUnknownRun = errors.New("ledger: unknown run")
	// ErrBusy says that a record of the key is being logged; the call may be repeated.
	ErrBusy        = errors.New("ledger: the key is being logged")
	errTooManyKeys = errors.New("ledger: too many keys are kept")
)

// RefusedError says that a request must not be sent: its key could not be logged.
type RefusedError struct {
	RetryAfter time.Duration
	Cause      error
}

// Error returns the cause.
func (e *RefusedError) Error() string { return "ledger: not run: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

func newRefusedError(cause error) error {
	return &RefusedError{RetryAfter: refusedRetryAfter, Cause: cause}
}

// Host serves the key partitions that this VM owns. Safe for concurrent use.
type Host struct {
	limits   Limits
	isDead   func(model.VMID) bool
	now      func() time.Time
	recorder event.Recorder

	inFlight sync.WaitGroup // records and snapshots on their way to the log

	mu         sync.Mutex
	partitions map[model.PartitionID]*keyPartition
}

// NewHost returns a host without partitions. gone tells whether a VM is known to
// be dead; now reads the wall clock.
func NewHost(limits Limits, gone func(model.VMID) bool, now func() time.Time, r event.Recorder) *Host {
	return &Host{limits: limits, isDead: gone, now: now, recorder: r, partitions: map[model.PartitionID]*keyPartition{}}
}

// Log is what a host needs of a partition.Log.
type Log interface {
	Epoch() int64
	Append(ctx context.Context, records [][]byte) error
	Stalled(d time.Duration) bool
	Position() int64
	EntriesSinceSnapshot() (entries, limit int64)
	Snapshot(ctx context.Context, data []byte, through int64) error
}

var _ Log = (*partition.Log)(nil)

// keyPartition is one key partition.
type keyPartition struct {
	id   model.PartitionID
	host *Host
	log  Log

	snapshotMu   sync.RWMutex // held for reading from an append until it is applied
	snapshotting atomic.Bool

	mu        sync.Mutex // guards the fields below
	table     *keyTable
	pending   map[keyID]*BeginRequest // keys with a record being logged; nil value: a finish
	lastToken int64
	sweptAt   time.Time
}

// Open starts serving a partition from what its log holds.
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

// Close stops serving a partition; calls that are out end by their append.
func (h *Host) Close(id model.PartitionID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.partitions, id)
}

// Flush waits for the records that are being logged, as before a graceful stop
// releases the partitions. No call may begin meanwhile.
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

// Begin answers for a key of an owned partition. Run is returned only once the key
// is logged. Its errors are ErrNotOwner or of type *RefusedError: the request must
// not be sent.
func (h *Host) Begin(ctx context.Context, id model.PartitionID, r BeginRequest) (BeginResult, error) {
	p, err := h.ownedPartition(id)
	if err != nil {
		return BeginResult{}, err
	}
	result, known, err := p.claim(r)
	if err != nil {
		h.recorder.Record(event.LedgerRefused, id, r.Branch, r.Key, err)
		return BeginResult{}, newRefusedError(err)
	}
	if known {
		if result.State == MayHaveRun {
			h.recorder.Record(event.LedgerUncertain, id, r.Branch, r.Key)
		}
		return result, nil
	}
	err = p.logBegin(ctx, r, result.Token)
	if ownershipLost(err) {
		return BeginResult{}, ErrNotOwner
	}
	if err != nil {
		h.recorder.Record(event.LedgerRefused, id, r.Branch, r.Key, err)
		return BeginResult{}, newRefusedError(err)
	}
	return result, nil
}

// ownershipLost reports whether a record was refused since another VM owns the partition.
func ownershipLost(err error) bool {
	return errors.Is(err, partition.ErrOwnershipLost) && !errors.Is(err, partition.ErrOutcomeUnknown)
}

// claim answers from the state, or reserves a free key with a new token.
func (p *keyPartition) claim(r BeginRequest) (result BeginResult, known bool, err error) {
	now := p.host.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	id := keyID{r.Branch, r.Key}
	if other, ok := p.pending[id]; ok {
		return pendingResult(other, r)
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

// pendingResult answers for a key of which a record is being logged. other is the one
// that began, or nil while the run's end is logged.
func pendingResult(other *BeginRequest, r BeginRequest) (BeginResult, bool, error) {
	switch {
	case other != nil && other.Fingerprint != r.Fingerprint:
		return BeginResult{State: Mismatch}, true, nil
	case other != nil && r.RunID != "" && other.RunID == r.RunID:
		return BeginResult{}, false, ErrBusy // the same sender's lost call
	}
	return BeginResult{State: InProgress, RetryAfter: inProgressRetryAfter}, true, nil
}

func (p *keyPartition) sweep(now time.Time) {
	if now.Sub(p.sweptAt) >= sweepInterval {
		p.sweptAt = now
		p.table.removeExpired(now)
	}
}

// logBegin logs a claimed key. If the caller leaves before the log answers, the
// key is freed again once it is logged: its request is not sent.
func (p *keyPartition) logBegin(ctx context.Context, r BeginRequest, token int64) error {
	id := keyID{r.Branch, r.Key}
	b := &beginRecord{
		Branch: r.Branch, Key: r.Key, Fingerprint: r.Fingerprint, Token: token, RunID: r.RunID,
		VM: r.VM, Deadline: r.Deadline, At: p.host.now(),
	}
	done := make(chan error, 1)
	var logged, left bool // guarded by p.mu; whichever is first decides
	p.host.inFlight.Go(func() {
		err := p.appendRecord(id, record{Begun: b}, func(err error) {
			logged = !left
			if left && err == nil {
				p.pending[id] = nil // no repeat is answered before the key is free
			}
		})
		done <- err
		if !logged && err == nil {
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
	left = !logged
	gone := left
	p.mu.Unlock()
	if gone {
		return ctx.Err()
	}
	return <-done
}

// appendRecord logs a record of a key marked busy, applies it, and unmarks the key. then
// runs before others see the new state.
func (p *keyPartition) appendRecord(id keyID, r record, then func(error)) error {
	p.snapshotMu.RLock()
	err := p.log.Append(context.Background(), [][]byte{mustEncode(r)})
	p.mu.Lock()
	delete(p.pending, id)
	if err == nil {
		p.table.apply(r)
	}
	if then != nil {
		then(err)
	}
	p.mu.Unlock()
	p.snapshotMu.RUnlock()
	p.snapshotIfDue(errors.Is(err, partition.ErrLogFull))
	return err
}

// Finish records the outcome of a run. Errors: ErrNotOwner, ErrUnknownRun, ErrBusy
// and those of partition.Log.Append but ErrDeposed; after an error the key stays as it was, and
// Finish may be called again.
func (h *Host) Finish(ctx context.Context, id model.PartitionID, r FinishRequest) error {
	p, err := h.ownedPartition(id)
	if err != nil {
		return err
	}
	return p.finish(ctx, r)
}

func (p *keyPartition) finish(ctx context.Context, r FinishRequest) error {
	id := keyID{r.Branch, r.Key}
	if done, err := p.claimFinish(id, &r); done || err != nil {
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

// claimFinish marks the key busy and fills in the token of a run that is named; done
// says that the run is finished already.
func (p *keyPartition) claimFinish(id keyID, r *FinishRequest) (done bool, err error) {
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

// snapshotIfDue takes a snapshot on a goroutine of its own. New records wait for
// the state to be encoded, not for the store.
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
