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
	retryInProgress = 500 * time.Millisecond // before a repeat asks again for the first run
	retryRefused    = time.Second            // before a refused request comes back
	stalledAfter    = time.Second            // a write out so long has new keys refused at once
	sweepEvery      = time.Minute
	snapshotShare   = 2 // a snapshot is taken when this part of the log is uncovered
)

// Errors of a host.
var (
	// ErrNotOwner says that this VM does not own the key's partition.
	ErrNotOwner = errors.New("ledger: partition is not owned here")
	// ErrUnknownRun says that the token is not the one of the key's run.
	ErrUnknownRun = errors.New("ledger: unknown run")
	// ErrBusy says that a record of the key is being logged; the call may be repeated.
	ErrBusy = errors.New("ledger: the key is being logged")
	errFull = errors.New("ledger: too many keys are kept")
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

func refused(cause error) error { return &RefusedError{RetryAfter: retryRefused, Cause: cause} }

// Host serves the key partitions that this VM owns. Safe for concurrent use.
type Host struct {
	limits   Limits
	gone     func(model.VMID) bool
	now      func() time.Time
	recorder event.Recorder

	background sync.WaitGroup // records and snapshots on their way to the log

	mu    sync.Mutex
	homes map[model.PartitionID]*home
}

// NewHost returns a host without partitions. gone tells whether a VM is known to
// be dead; now reads the wall clock.
func NewHost(limits Limits, gone func(model.VMID) bool, now func() time.Time, r event.Recorder) *Host {
	return &Host{limits: limits, gone: gone, now: now, recorder: r, homes: map[model.PartitionID]*home{}}
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

// home is one key partition.
type home struct {
	id   model.PartitionID
	host *Host
	log  Log

	gate         sync.RWMutex // held for reading from an append until it is applied
	snapshotting atomic.Bool

	mu     sync.Mutex // guards the fields below
	table  *table
	busy   map[keyID]*BeginRequest // keys with a record being logged; nil value: a finish
	tokens int64
	swept  time.Time
}

// Open starts serving a partition from what its log holds.
func (h *Host) Open(id model.PartitionID, log Log, replay partition.Replay) error {
	t, err := restoreTable(h.limits, replay.Snapshot, replay.Records)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.homes[id] = &home{
		id: id, host: h, log: log, table: t, busy: map[keyID]*BeginRequest{}, tokens: log.Epoch() << 32,
	}
	return nil
}

// Close stops serving a partition; calls that are out end by their append.
func (h *Host) Close(id model.PartitionID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.homes, id)
}

// Flush waits for the records that are being logged, as before a graceful stop
// releases the partitions. No call may begin meanwhile.
func (h *Host) Flush() { h.background.Wait() }

func (h *Host) home(id model.PartitionID) (*home, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.homes[id]
	if p == nil {
		return nil, ErrNotOwner
	}
	return p, nil
}

// Begin answers for a key of an owned partition. Run is returned only once the key
// is logged. Its errors are ErrNotOwner or of type *RefusedError: the request must
// not be sent.
func (h *Host) Begin(ctx context.Context, id model.PartitionID, r BeginRequest) (BeginResult, error) {
	p, err := h.home(id)
	if err != nil {
		return BeginResult{}, err
	}
	result, known, err := p.claim(r)
	if err != nil {
		h.recorder.Record(event.LedgerRefused, id, r.Branch, r.Key, err)
		return BeginResult{}, refused(err)
	}
	if known {
		if result.State == MayHaveRun {
			h.recorder.Record(event.LedgerUncertain, id, r.Branch, r.Key)
		}
		return result, nil
	}
	err = p.logBegin(ctx, r, result.Token)
	if deposed(err) {
		return BeginResult{}, ErrNotOwner
	}
	if err != nil {
		h.recorder.Record(event.LedgerRefused, id, r.Branch, r.Key, err)
		return BeginResult{}, refused(err)
	}
	return result, nil
}

// deposed reports whether a record was refused since another VM owns the partition.
func deposed(err error) bool {
	return errors.Is(err, partition.ErrOwnershipLost) && !errors.Is(err, partition.ErrOutcomeUnknown)
}

// claim answers from the state, or reserves a free key with a new token.
func (p *home) claim(r BeginRequest) (result BeginResult, known bool, err error) {
	now := p.host.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	id := keyID{r.Branch, r.Key}
	if other, ok := p.busy[id]; ok {
		return whileBusy(other, r)
	}
	if result, known = p.table.lookup(now, r, p.host.gone); known {
		return result, true, nil
	}
	switch {
	case p.log.Stalled(stalledAfter):
		return BeginResult{}, false, errors.New("ledger: the store does not answer")
	case len(p.table.keys)+len(p.busy) >= p.table.limits.MaxKeys:
		return BeginResult{}, false, errFull
	}
	p.tokens++
	p.busy[id] = &r
	return BeginResult{State: Granted, Token: p.tokens}, false, nil
}

// whileBusy answers for a key of which a record is being logged. other is the one
// that began, or nil while the run's end is logged.
func whileBusy(other *BeginRequest, r BeginRequest) (BeginResult, bool, error) {
	switch {
	case other != nil && other.Fingerprint != r.Fingerprint:
		return BeginResult{State: Mismatch}, true, nil
	case other != nil && r.RunID != "" && other.RunID == r.RunID:
		return BeginResult{}, false, ErrBusy // the same sender's lost call
	}
	return BeginResult{State: InProgress, RetryAfter: retryInProgress}, true, nil
}

func (p *home) sweep(now time.Time) {
	if now.Sub(p.swept) >= sweepEvery {
		p.swept = now
		p.table.sweep(now)
	}
}

// logBegin logs a claimed key. If the caller leaves before the log answers, the
// key is freed again once it is logged: its request is not sent.
func (p *home) logBegin(ctx context.Context, r BeginRequest, token int64) error {
	id := keyID{r.Branch, r.Key}
	b := &begun{
		Branch: r.Branch, Key: r.Key, Fingerprint: r.Fingerprint, Token: token, Run: r.RunID,
		VM: r.VM, Deadline: r.Deadline, At: p.host.now(),
	}
	done := make(chan error, 1)
	var logged, left bool // guarded by p.mu; whichever is first decides
	p.host.background.Go(func() {
		err := p.append(id, record{Begun: b}, func(err error) {
			logged = !left
			if left && err == nil {
				p.busy[id] = nil // no repeat is answered before the key is free
			}
		})
		done <- err
		if !logged && err == nil {
			f := &finished{Branch: r.Branch, Key: r.Key, Token: token, Verdict: verdict.NotRun, At: p.host.now()}
			_ = p.append(id, record{Finished: f}, nil)
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

// append logs a record of a key marked busy, applies it, and unmarks the key. then
// runs before others see the new state.
func (p *home) append(id keyID, r record, then func(error)) error {
	p.gate.RLock()
	err := p.log.Append(context.Background(), [][]byte{mustEncode(r)})
	p.mu.Lock()
	delete(p.busy, id)
	if err == nil {
		p.table.apply(r)
	}
	if then != nil {
		then(err)
	}
	p.mu.Unlock()
	p.gate.RUnlock()
	p.snapshotIfDue(errors.Is(err, partition.ErrLogFull))
	return err
}

// Finish records the outcome of a run. Errors: ErrNotOwner, ErrUnknownRun, ErrBusy
// and those of partition.Log.Append but ErrDeposed; after an error the key stays as it was, and
// Finish may be called again.
func (h *Host) Finish(ctx context.Context, id model.PartitionID, r FinishRequest) error {
	p, err := h.home(id)
	if err != nil {
		return err
	}
	return p.finish(ctx, r)
}

func (p *home) finish(ctx context.Context, r FinishRequest) error {
	id := keyID{r.Branch, r.Key}
	if done, err := p.claimFinish(id, &r); done || err != nil {
		return err
	}
	f := &finished{Branch: r.Branch, Key: r.Key, Token: r.Token, Verdict: r.Verdict, At: p.host.now()}
	if r.Verdict == verdict.Done && r.Response != nil && r.Response.size() <= p.table.limits.MaxResponseBytes {
		f.Answer = r.Response
	}
	done := make(chan error, 1)
	p.host.background.Go(func() { done <- p.append(id, record{Finished: f}, nil) })
	select {
	case err := <-done:
		if deposed(err) {
			return ErrNotOwner
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// claimFinish marks the key busy and fills in the token of a run that is named; done
// says that the run is finished already.
func (p *home) claimFinish(id keyID, r *FinishRequest) (done bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.busy[id]; ok {
		return false, ErrBusy
	}
	k := p.table.keys[id]
	if k != nil && r.RunID != "" && k.Begun.Run == r.RunID {
		r.Token = k.Begun.Token
	}
	switch {
	case k == nil || k.Begun.Token != r.Token:
		return false, ErrUnknownRun
	case k.Phase != phaseSending:
		return true, nil
	}
	p.busy[id] = nil
	return false, nil
}

// snapshotIfDue takes a snapshot on a goroutine of its own. New records wait for
// the state to be encoded, not for the store.
func (p *home) snapshotIfDue(full bool) {
	entries, limit := p.log.EntriesSinceSnapshot()
	if !full && entries < limit/snapshotShare || !p.snapshotting.CompareAndSwap(false, true) {
		return
	}
	p.host.background.Go(func() {
		defer p.snapshotting.Store(false)
		p.gate.Lock()
		p.mu.Lock()
		data := p.table.encode(p.host.now())
		p.mu.Unlock()
		through := p.log.Position()
		p.gate.Unlock()
		_ = p.log.Snapshot(context.Background(), data, through)
	})
}
