package partition

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Horizon returns the time on Options.Clock that no lease of this epoch may outlast.
func (l *Log) Horizon() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.horizon
}

// ConfirmOwnership reads the partition's record and, if it still carries the own epoch,
// moves the horizon to the lead after the moment before the read. It costs the
// store one read and no write.
func (l *Log) ConfirmOwnership(ctx context.Context) error {
	l.recordMu.Lock()
	defer l.recordMu.Unlock()
	if err := l.closedErr(); err != nil {
		return err
	}
	noted := l.opts.Clock()
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
	l.horizon = noted.Add(l.opts.Lead)
	return nil
}

// ClearPriorLead notes in the record that no lease of an earlier epoch can be left, so
// that the next owner need not wait for them. The caller has waited
// Replay.PreviousLead and the drift margin since Replay.TakenAt.
func (l *Log) ClearPriorLead(ctx context.Context) error {
	return l.updateRecord(ctx, func(r *OwnershipRecord) { r.PriorLead = 0 })
}

// Release gives the partition up. The caller has stopped granting leases; appends
// are refused from now on, and the write that is out is waited for within ctx.
// Another VM may then take over without waiting for this one to be declared dead.
func (l *Log) Release(ctx context.Context) error {
	l.close(ErrOwnershipLost)
	l.waitFlushDone(ctx)
	l.cancel()
	return l.updateRecord(ctx, func(r *OwnershipRecord) { r.Released = true })
}

func (l *Log) waitFlushDone(ctx context.Context) {
	l.mu.Lock()
	flushing, idle := l.flushing, l.flushDone
	l.mu.Unlock()
	if !flushing {
		return
	}
	select {
	case <-idle:
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
