package partition

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
)

// DefaultLogSlots is the number of slots of a partition's log.
const DefaultLogSlots = 512

// Options configure a takeover and the log's writes.
type Options struct {
	Partition model.PartitionID
	VM        model.VMID
	Address   string        // address of this VM's peer link
	Lead      time.Duration // from a confirmation of ownership to the new horizon
	LogSlots  int64         // number of log slots, the same for all owners of a partition; 0: DefaultLogSlots
	// MinWriteInterval is the minimum time between two writes of the log; it limits the
	// load on the store.
	MinWriteInterval time.Duration
	// Clock reads this VM's monotonic clock; nil: time.Now.
	Clock func() time.Time
	// Sleep waits for d or until ctx ends; nil: a timer.
	Sleep func(ctx context.Context, d time.Duration) error
}

func (o Options) withDefaults() Options {
	if o.LogSlots == 0 {
		o.LogSlots = DefaultLogSlots
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Sleep == nil {
		o.Sleep = sleep
	}
	return o
}

// Replay is what a takeover reads from the log.
type Replay struct {
	Snapshot      []byte     // nil: there is none
	Records       [][]byte   // records after the snapshot, in order
	PreviousEpoch int64      // 0: the partition is new
	PreviousOwner model.VMID // empty: the partition is new
	// PreviousLead bounds the leases of all earlier epochs: except for clock drift, they
	// have expired by TakenOverAt plus PreviousLead.
	PreviousLead time.Duration
	TakenOverAt  time.Time // when the write of the new epoch was acknowledged, by Options.Clock
	Position     int64     // log position of the replayed state
}

// ReadOwnershipRecord returns the partition's ownership record, or platform.ErrNotFound.
func ReadOwnershipRecord(ctx context.Context, store platform.Store, id model.PartitionID) (OwnershipRecord, error) {
	e, err := store.Get(ctx, recordKey(id))
	if err != nil {
		return OwnershipRecord{}, err
	}
	return decode[OwnershipRecord](e.Value)
}

// TakeOver raises the partition's epoch, seals the log after the last entry of the
// previous owner and returns what the log contains. ErrOwnershipLost means that another
// VM took over the partition at the same time.
func TakeOver(ctx context.Context, store platform.Store, o Options) (*Log, Replay, error) {
	l := newLog(store, o.withDefaults())
	replay, err := l.takeOver(ctx)
	if err != nil {
		l.Close()
		return nil, Replay{}, err
	}
	return l, replay, nil
}

func newLog(store platform.Store, o Options) *Log {
	l := &Log{opts: o, store: store, slotRevisions: map[int64]platform.Revision{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

func (l *Log) takeOver(ctx context.Context) (Replay, error) {
	replay, err := l.raiseEpoch(ctx)
	if err != nil {
		return Replay{}, err
	}
	if err := l.readLog(ctx, &replay); err != nil {
		return Replay{}, err
	}
	if l.seq+1-l.snapshotSeq > l.opts.LogSlots {
		if err := l.compact(ctx, replay); err != nil {
			return Replay{}, err
		}
	}
	err = l.seal(ctx, &replay)
	replay.Position = l.seq
	return replay, err
}

func (l *Log) raiseEpoch(ctx context.Context) (Replay, error) {
	key := recordKey(l.opts.Partition)
	var previous OwnershipRecord
	current, err := l.store.Get(ctx, key)
	switch {
	case err == nil:
		if previous, err = decode[OwnershipRecord](current.Value); err != nil {
			return Replay{}, err
		}
	case !errors.Is(err, platform.ErrNotFound):
		return Replay{}, err
	}
	l.record = OwnershipRecord{
		VM: l.opts.VM, Address: l.opts.Address, Lead: l.opts.Lead,
		Epoch: previous.Epoch + 1, PriorLead: previous.maxLead(), Stamp: uuid.NewString(),
	}
	l.epoch = l.record.Epoch
	writeStarted := l.opts.Clock()
	if err := l.writeRecord(ctx, l.record, current.Revision); err != nil {
		return Replay{}, err
	}
	l.horizon = writeStarted.Add(l.opts.Lead)
	return Replay{
		PreviousEpoch: previous.Epoch,
		PreviousOwner: previous.VM,
		PreviousLead:  previous.maxLead(),
		TakenOverAt:   l.opts.Clock(),
	}, nil
}

// writeRecord replaces the ownership record. A conflict returns ErrOwnershipLost.
func (l *Log) writeRecord(ctx context.Context, r OwnershipRecord, expected platform.Revision) error {
	isOwn := func(value []byte) bool {
		found, err := decode[OwnershipRecord](value)
		return err == nil && found.Stamp == r.Stamp
	}
	s, err := casUntilResolved(ctx, l.store, l.opts.Sleep, recordKey(l.opts.Partition), encode(r), expected, isOwn)
	if errors.Is(err, platform.ErrConflict) {
		return ErrOwnershipLost
	}
	if err != nil {
		return err
	}
	l.record, l.recordRevision = r, s.Revision
	return nil
}

// readLog loads the snapshot and the entries after it. It lists the log before it reads
// the snapshot, so that it can't miss an entry that is overwritten in between.
func (l *Log) readLog(ctx context.Context, replay *Replay) error {
	for {
		slots, err := l.store.List(ctx, logPrefix(l.opts.Partition))
		if err != nil {
			return err
		}
		header, data, err := l.readSnapshot(ctx)
		if err != nil {
			return err
		}
		complete, err := l.readEntries(slots, header.Seq, replay)
		if err != nil {
			return err
		}
		if !complete {
			continue
		}
		if !header.Compacted {
			replay.Snapshot = data
			return nil
		}
		c, err := decode[compactedLog](data)
		replay.Snapshot = c.Snapshot
		replay.Records = append(c.Records, replay.Records...)
		return err
	}
}

// readEntries collects the entries after seq, in order. It returns false if the list is
// older than the snapshot.
func (l *Log) readEntries(slots []platform.Entry, seq int64, replay *Replay) (bool, error) {
	bySeq := map[int64]logEntry{}
	newest := int64(0)
	for _, s := range slots {
		e, err := decode[logEntry](s.Value)
		if err != nil {
			return false, err
		}
		bySeq[e.Seq] = e
		l.slotRevisions[e.Seq%l.opts.LogSlots] = s.Revision
		newest = max(newest, e.Seq)
	}
	if newest < seq {
		return false, nil
	}
	l.seq = seq
	replay.Records = nil
	for e, ok := bySeq[l.seq+1]; ok; e, ok = bySeq[l.seq+1] {
		if err := l.replayEntry(e, replay); err != nil {
			return false, err
		}
	}
	return true, nil
}

func (l *Log) replayEntry(e logEntry, replay *Replay) error {
	if e.Epoch > l.epoch {
		return ErrOwnershipLost
	}
	l.seq = e.Seq
	replay.Records = append(replay.Records, e.Records...)
	return nil
}

// seal writes the first entry of this log's epoch. If the previous owner has written
// entries in the meantime, seal replays them and writes after them.
func (l *Log) seal(ctx context.Context, replay *Replay) error {
	for {
		found, err := l.writeEntry(ctx, logEntry{Seal: true})
		if err == nil {
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
		e, err := decode[logEntry](found.Value)
		if err != nil {
			return err
		}
		if e.Seq != l.seq+1 {
			return ErrOwnershipLost
		}
		if err := l.replayEntry(e, replay); err != nil {
			return err
		}
		l.slotRevisions[e.Seq%l.opts.LogSlots] = found.Revision
		if l.seq+1-l.snapshotSeq > l.opts.LogSlots {
			return ErrLogFull // the next takeover compacts the log
		}
	}
}
