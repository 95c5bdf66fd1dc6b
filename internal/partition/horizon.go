package partition

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Horizon returns the time on Options.Clock after which no lease of this epoch is valid.
func (l *Log) Horizon() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.horizon
}

// ConfirmOwnership reads the ownership record and, if it still has this log's epoch,
// moves the horizon to one lead after the time before the read. It costs the store one
// read and no write.
func (l *Log) ConfirmOwnership(ctx context.Context) error {
	l.recordMu.Lock()
	defer l.recordMu.Unlock()
	if err := l.closedErr(); err != nil {
		return err
	}
	readStarted := l.opts.Clock()
	e, err := l.store.Get(ctx, recordKey(l.opts.Partition))
	if err != nil {
		return err
	}
	current, err := decode[OwnershipRecord](e.Value)
	if err != nil {
		return err
	}
	if current.Epoch != l.epoch {
		l.close(ErrOwnershipLost)
		return ErrOwnershipLost
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeErr != nil {
		return l.closeErr
	}
	l.horizon = readStarted.Add(l.opts.Lead)
	return nil
}

// ClearPriorLead records that all leases of earlier epochs have expired, so that the next
// owner need not wait for them. The caller must have waited Replay.PreviousLead plus the
// drift margin since Replay.TakenOverAt.
func (l *Log) ClearPriorLead(ctx context.Context) error {
	return l.updateRecord(ctx, func(r *OwnershipRecord) { r.PriorLead = 0 })
}

// Release marks the partition as released in its ownership record. The caller must have stopped granting
// leases. Later appends fail, and the write in flight is awaited within ctx. Another VM
// can then take over without waiting until this one is declared dead.
func (l *Log) Release(ctx context.Context) error {
	l.close(ErrOwnershipLost)
	l.waitFlushDone(ctx)
	l.cancel()
	return l.updateRecord(ctx, func(r *OwnershipRecord) { r.Released = true })
}

func (l *Log) waitFlushDone(ctx context.Context) {
	l.mu.Lock()
	flushing, done := l.flushing, l.flushDone
	l.mu.Unlock()
	if !flushing {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (l *Log) updateRecord(ctx context.Context, change func(*OwnershipRecord)) error {
	l.recordMu.Lock()
	defer l.recordMu.Unlock()
	r := l.record
	change(&r)
	r.Stamp = uuid.NewString()
	err := l.writeRecord(ctx, r, l.recordRevision)
	if errors.Is(err, ErrOwnershipLost) {
		l.close(ErrOwnershipLost)
	}
	return err
}
