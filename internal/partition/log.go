package partition

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"filbertcross/internal/platform"
)

// Limits of a log.
const (
	// MaxBatchBytes bounds the records of one entry; it stays below the store's value size.
	MaxBatchBytes = platform.MaxValueBytes - 64<<10
	// sealReserveDivisor reserves one slot in this many for seals.
	sealReserveDivisor = 8
	// recordOverheadBytes bounds the framing of one record in an entry.
	recordOverheadBytes = 9
)

// Log is a partition's write-ahead log under one epoch. It is safe for concurrent use.
type Log struct {
	opts   Options
	store  platform.Store
	ctx    context.Context // context of the flush goroutine's writes
	cancel context.CancelFunc

	mu           sync.Mutex // guards the fields below
	queue        []*batch
	flushing     bool
	flushDone    chan struct{} // closed when the current flush goroutine ends
	closeErr     error         // set once; then all appends are rejected with it
	seq          int64         // last entry known to be in the log
	snapshotSeq  int64         // last entry covered by the newest known snapshot
	horizon      time.Time
	writeStarted time.Time // start of the write in flight; zero: none

	// Used by the single flush goroutine, and by TakeOver before it starts.
	slotRevisions map[int64]platform.Revision // revision of the entry in each slot
	lastWrite     time.Time

	epoch          int64      // set by TakeOver, constant afterwards
	recordMu       sync.Mutex // serializes reads and writes of the ownership record
	record         OwnershipRecord
	recordRevision platform.Revision

	snapshotMu      sync.Mutex     // serializes snapshots
	snapshot        platform.Entry // the header as last read or written
	snapshotInParts bool           // the data of that snapshot is stored in parts
}

// batch holds the records of one Append, which are committed atomically.
type batch struct {
	records [][]byte
	bytes   int
	done    chan error
}

// Epoch returns the epoch under which this log was taken over.
func (l *Log) Epoch() int64 { return l.epoch }

// Lead returns the lead of this epoch's leases.
func (l *Log) Lead() time.Duration { return l.opts.Lead }

// Position returns the sequence number of the last entry known to be durable.
func (l *Log) Position() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seq
}

// EntriesSinceSnapshot returns the number of entries that no snapshot covers, and the
// number at which appends fail with ErrLogFull.
func (l *Log) EntriesSinceSnapshot() (entries, limit int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seq - l.snapshotSeq, l.opts.LogSlots - l.opts.LogSlots/sealReserveDivisor
}

// Stalled reports whether the write in flight has taken longer than d.
func (l *Log) Stalled(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.writeStarted.IsZero() && l.opts.Clock().Sub(l.writeStarted) > d
}

// Append commits the records atomically. Appends that arrive while a write is in flight
// are committed together by the next write, in order of arrival. Append returns nil only
// when the records are durable. All errors except ErrOutcomeUnknown mean that nothing
// took effect: platform.ErrUnavailable, ErrOwnershipLost, ErrLogFull, ErrBatchTooLarge.
// ctx bounds only the wait of this caller; a batch whose caller has stopped waiting may
// still be committed.
func (l *Log) Append(ctx context.Context, records [][]byte) error {
	b := &batch{records: records, done: make(chan error, 1)}
	for _, r := range records {
		b.bytes += len(r) + recordOverheadBytes
	}
	if b.bytes > MaxBatchBytes {
		return ErrBatchTooLarge
	}
	if err := l.enqueue(b); err != nil {
		return err
	}
	select {
	case err := <-b.done:
		return err
	case <-ctx.Done():
		return errors.Mark(errors.Wrap(ctx.Err(), "append"), ErrOutcomeUnknown)
	}
}

func (l *Log) enqueue(b *batch) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeErr != nil {
		return l.closeErr
	}
	l.queue = append(l.queue, b)
	if !l.flushing {
		l.flushing = true
		l.flushDone = make(chan struct{})
		go l.flush()
	}
	return nil
}

// flush commits the queue, one write at a time, until the queue is empty.
func (l *Log) flush() {
	for {
		group := l.nextGroup()
		if group == nil {
			return
		}
		err := l.commit(group)
		for _, b := range group {
			b.done <- err
		}
	}
}

// nextGroup dequeues as many batches as fit into one entry. Nil means that the queue is
// empty and the flush goroutine ends.
func (l *Log) nextGroup() []*batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, bytes := 0, 0
	for n < len(l.queue) && bytes+l.queue[n].bytes <= MaxBatchBytes {
		bytes += l.queue[n].bytes
		n++
	}
	if n == 0 {
		l.flushing = false
		close(l.flushDone)
		return nil
	}
	group := l.queue[:n:n]
	l.queue = l.queue[n:]
	return group
}

func (l *Log) commit(group []*batch) error {
	if err := l.closedErr(); err != nil {
		return err
	}
	if entries, limit := l.EntriesSinceSnapshot(); entries >= limit {
		return ErrLogFull
	}
	var e logEntry
	for _, b := range group {
		e.Records = append(e.Records, b.records...)
	}
	l.waitWriteInterval(l.ctx)
	l.setWriteStarted(l.opts.Clock())
	found, err := l.writeEntry(l.ctx, e)
	l.setWriteStarted(time.Time{})
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	l.close(ErrOwnershipLost)
	other, err := decode[logEntry](found.Value)
	if err != nil || other.Seq != l.Position()+1 {
		// The ring has wrapped around: this write may have been in the slot before.
		return errors.Mark(errors.New("partition: slot was overwritten"), ErrOutcomeUnknown)
	}
	return ErrOwnershipLost
}

func (l *Log) setWriteStarted(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writeStarted = since
}

func (l *Log) waitWriteInterval(ctx context.Context) {
	if l.opts.MinWriteInterval == 0 {
		return
	}
	if remaining := l.opts.MinWriteInterval - l.opts.Clock().Sub(l.lastWrite); remaining > 0 {
		_ = l.opts.Sleep(ctx, remaining)
	}
	l.lastWrite = l.opts.Clock()
}

// writeEntry writes e into the next slot under this log's epoch. On platform.ErrConflict
// it returns the entry found in the slot.
func (l *Log) writeEntry(ctx context.Context, e logEntry) (platform.Entry, error) {
	e.Seq = l.Position() + 1
	e.Epoch = l.epoch
	e.Stamp = uuid.NewString()
	slot := e.Seq % l.opts.LogSlots
	isOwn := func(value []byte) bool {
		found, err := decode[logEntry](value)
		return err == nil && found.Stamp == e.Stamp
	}
	key := slotKey(l.opts.Partition, slot)
	s, err := casUntilResolved(ctx, l.store, l.opts.Sleep, key, encode(e), l.slotRevisions[slot], isOwn)
	if err != nil {
		return s.Found, err
	}
	l.slotRevisions[slot] = s.Revision
	l.mu.Lock()
	l.seq = e.Seq
	l.mu.Unlock()
	return platform.Entry{}, nil
}

// Close stops the log on this VM without writing to the store, as on process exit.
// Appends in flight return ErrOutcomeUnknown.
func (l *Log) Close() {
	l.close(ErrOwnershipLost)
	l.cancel()
}

func (l *Log) close(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeErr == nil {
		l.closeErr = err
	}
}

func (l *Log) closedErr() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closeErr
}
