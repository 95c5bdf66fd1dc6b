package partition

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"filbertcross/internal/platform"
)

// snapshotPartBytes is the size of a snapshot's part; a smaller snapshot is one write.
const snapshotPartBytes = platform.MaxValueBytes - 64<<10

// Snapshot stores data as the state after the entry at through and frees the
// slots before it. A deposed owner's snapshot never replaces a newer one.
func (l *Log) Snapshot(ctx context.Context, data []byte, through int64) error {
	return l.writeSnapshot(ctx, data, snapshotHeader{Seq: through})
}

// compact frees the ring of a log whose owners never came to a snapshot.
func (l *Log) compact(ctx context.Context, r Replay) error {
	data := encode(compactedLog{Snapshot: r.Snapshot, Records: r.Records})
	return l.writeSnapshot(ctx, data, snapshotHeader{Seq: l.seq, Compacted: true})
}

func (l *Log) writeSnapshot(ctx context.Context, data []byte, head snapshotHeader) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	if err := l.closedErr(); err != nil {
		return err
	}
	head.Epoch, head.Stamp = l.epoch, uuid.NewString()
	if len(data) <= snapshotPartBytes {
		head.Inline = data
	} else if err := l.writeParts(ctx, &head, data); err != nil {
		return err
	}
	if err := l.writeHead(ctx, head); err != nil {
		return err
	}
	l.mu.Lock()
	l.snapshotSeq = max(l.snapshotSeq, head.Seq)
	l.mu.Unlock()
	return l.deleteStaleParts(ctx, head)
}

func (l *Log) writeParts(ctx context.Context, head *snapshotHeader, data []byte) error {
	same := func([]byte) bool { return true } // the key carries the stamp
	for ; len(data) > 0; head.Parts++ {
		n := min(len(data), snapshotPartBytes)
		key := partKey(l.opts.Partition, head.Stamp, head.Parts)
		if _, err := casUntilResolved(ctx, l.store, l.opts.Sleep, key, data[:n], 0, same); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// writeHead swaps the head in, also over one that a former owner still wrote.
func (l *Log) writeHead(ctx context.Context, head snapshotHeader) error {
	own := func(value []byte) bool {
		found, err := decode[snapshotHeader](value)
		return err == nil && found.Stamp == head.Stamp
	}
	key := snapshotKey(l.opts.Partition)
	for {
		s, err := casUntilResolved(ctx, l.store, l.opts.Sleep, key, encode(head), l.snapshot.Revision, own)
		if err == nil {
			l.snapshot = platform.Entry{Key: key, Revision: s.Revision}
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
		other, err := decode[snapshotHeader](s.Found.Value)
		if err != nil {
			return err
		}
		if other.Epoch > head.Epoch || other.Seq > head.Seq {
			l.close(ErrOwnershipLost)
			return ErrOwnershipLost
		}
		l.snapshot = s.Found
	}
}

// deleteStaleParts deletes the parts of other snapshots, should there be any.
func (l *Log) deleteStaleParts(ctx context.Context, head snapshotHeader) error {
	if head.Parts == 0 && !l.snapshotInParts {
		return nil
	}
	parts, err := l.store.List(ctx, partPrefix(l.opts.Partition))
	if err != nil {
		return err
	}
	keep := partPrefix(l.opts.Partition) + head.Stamp + "/"
	for _, p := range parts {
		if strings.HasPrefix(p.Key, keep) {
			continue
		}
		err := l.store.Delete(ctx, p.Key, p.Revision)
		if err != nil && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	l.snapshotInParts = head.Parts > 0
	return nil
}

// readSnapshot returns the newest snapshot's head and data; a zero head says there is none.
func (l *Log) readSnapshot(ctx context.Context) (snapshotHeader, []byte, error) {
	for {
		e, err := l.store.Get(ctx, snapshotKey(l.opts.Partition))
		if errors.Is(err, platform.ErrNotFound) {
			return snapshotHeader{}, nil, nil
		}
		if err != nil {
			return snapshotHeader{}, nil, err
		}
		head, err := decode[snapshotHeader](e.Value)
		if err != nil {
			return snapshotHeader{}, nil, err
		}
		data, err := l.readParts(ctx, head)
		if errors.Is(err, platform.ErrNotFound) {
			continue // a newer snapshot replaced it
		}
		l.snapshot, l.snapshotSeq, l.snapshotInParts = e, head.Seq, head.Parts > 0
		return head, data, err
	}
}

func (l *Log) readParts(ctx context.Context, head snapshotHeader) ([]byte, error) {
	data := head.Inline
	for n := range head.Parts {
		part, err := l.store.Get(ctx, partKey(l.opts.Partition, head.Stamp, n))
		if err != nil {
			return nil, err
		}
		data = append(data, part.Value...)
	}
	return data, nil
}
