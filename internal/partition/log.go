package partition

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"filbertcross/internal/platform"
)

// Bounds of a log.
const (
	// MaxBatchBytes bounds the records of one entry, below the store's value size.
	MaxBatchBytes = platform.MaxValueBytes - 64<<10
	// sealReserveDivisor is the part of the ring that only seals may use, one in so many slots.
	sealReserveDivisor = 8
	// recordOverheadBytes bounds the framing bytes of one record in an entry.
	recordOverheadBytes = 9
)

// Log is a partition's write-ahead log under one epoch. Safe for concurrent use.
type Log struct {
	opts   Options
	store  platform.Store
	ctx    context.Context // of the flusher's writes
	cancel context.CancelFunc

	mu           sync.Mutex // guards the fields below
	queue        []*batch
	flushing     bool
	flushDone    chan struct{} // closed when the present flusher ends
	closeErr     error         // set once; no append is taken any more
	seq          int64         // of the last entry known to stand in the log
	snapshotSeq  int64         // by the newest snapshot known
	horizon      time.Time
	writeStarted time.Time // since when a write is out; zero: none

	// Used by the one flusher, and by TakeOver before it.
	slotRevisions map[int64]platform.Revision // of the entry that stands in each slot
	lastWrite     time.Time

	epoch          int64      // set by TakeOver, not changed after it
	recordMu       sync.Mutex // serialises reads and writes of the record
	record         OwnershipRecord
	recordRevision platform.Revision

	snapshotMu      sync.Mutex     // serialises snapshots
	snapshot        platform.Entry // the head as last seen
	snapshotInParts bool           // that snapshot is kept in parts
}

// batch is the records of one Append, committed all or none.
type batch struct {
	records [][]byte
	bytes   int
	done    chan error
}

// Epoch returns the epoch under which the log was taken over.
func (l *Log) Epoch() int64 { return l.epoch }

// Lead returns the lead of this epoch's leases.
func (l *Log) Lead() time.Duration { return l.opts.Lead }

// Position returns the sequence number of the last entry known to be durable.
func (l *Log) Position() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seq
}

// EntriesSinceSnapshot returns how many entries no snapshot covers, and how many may be.
func (l *Log) EntriesSinceSnapshot() (entries, limit int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seq - l.snapshotSeq, l.opts.LogSlots - l.opts.LogSlots/sealReserveDivisor
}

// Stalled reports whether a write has been out for longer than d.
func (l *Log) Stalled(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.writeStarted.IsZero() && l.opts.Clock().Sub(l.writeStarted) > d
}

// Append commits the records, all or none. Appends that come while a write is
// out are committed together by the next one, in the order they came. It returns
// nil only when the records are durable. Its errors say that nothing took effect
// (platform.ErrUnavailable, ErrDeposed, ErrLogFull, ErrTooLarge), but for
// ErrInDoubt. ctx bounds the wait of this caller; a batch whose caller left may
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

// flush commits the queue, one write out at a time, until it is empty.
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

// nextGroup takes as many batches as fit one entry; nil ends the flusher.
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
	if uncovered, limit := l.EntriesSinceSnapshot(); uncovered >= limit {
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
		// The ring went round: the own write may have stood here before.
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
	if rest := l.opts.MinWriteInterval - l.opts.Clock().Sub(l.lastWrite); rest > 0 {
		_ = l.opts.Sleep(ctx, rest)
	}
	l.lastWrite = l.opts.Clock()
}

// writeEntry puts e into the next slot under the own epoch. On platform.ErrConflict
// it returns what stands there.
func (l *Log) writeEntry(ctx context.Context, e logEntry) (platform.Entry, error) {
	e.Seq = l.Position() + 1
	e.Epoch = l.epoch
	e.Stamp = uuid.NewString()
	slot := e.Seq % l.opts.LogSlots
	own := func(value []byte) bool {
		found, err := decode[logEntry](value)
		return err == nil && found.Stamp == e.Stamp
	}
	key := slotKey(l.opts.Partition, slot)
	s, err := casUntilResolved(ctx, l.store, l.opts.Sleep, key, encode(e), l.slotRevisions[slot], own)
	if err != nil {
		return s.Found, err
	}
	l.slotRevisions[slot] = s.Revision
	l.mu.Lock()
	l.seq = e.Seq
	l.mu.Unlock()
	return platform.Entry{}, nil
}

// Close ends the log on this VM without a word to the store, as when the process
// stops. Appends that are out return ErrInDoubt.
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
