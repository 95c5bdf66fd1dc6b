package partition

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"filbertcross/internal/platform"
)

// snapshotPartBytes is the size of one part of a snapshot. A snapshot that is no larger
// takes a single write.
const snapshotPartBytes = platform.MaxValueBytes - 64<<10

// Snapshot stores data as the state after entry through, and frees the slots up to that
// entry. A snapshot of a previous owner never replaces a newer one.
func (l *Log) Snapshot(ctx context.Context, data []byte, through int64) error {
	return l.writeSnapshot(ctx, data, snapshotHeader{Seq: through})
}

// compact frees the ring when no owner took a snapshot before the ring was full.
func (l *Log) compact(ctx context.Context, r Replay) error {
	data := encode(compactedLog{Snapshot: r.Snapshot, Records: r.Records})
	return l.writeSnapshot(ctx, data, snapshotHeader{Seq: l.seq, Compacted: true})
}

func (l *Log) writeSnapshot(ctx context.Context, data []byte, header snapshotHeader) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	if err := l.closedErr(); err != nil {
		return err
	}
	header.Epoch, header.Stamp = l.epoch, uuid.NewString()
	if len(data) <= snapshotPartBytes {
		header.Inline = data
	} else if err := l.writeParts(ctx, &header, data); err != nil {
		return err
	}
	if err := l.writeHeader(ctx, header); err != nil {
		return err
	}
	l.mu.Lock()
	l.snapshotSeq = max(l.snapshotSeq, header.Seq)
	l.mu.Unlock()
	return l.deleteStaleParts(ctx, header)
}

func (l *Log) writeParts(ctx context.Context, header *snapshotHeader, data []byte) error {
	anyValue := func([]byte) bool { return true } // the key contains the stamp, so any value found there is this one
	for ; len(data) > 0; header.Parts++ {
		n := min(len(data), snapshotPartBytes)
		key := partKey(l.opts.Partition, header.Stamp, header.Parts)
		if _, err := casUntilResolved(ctx, l.store, l.opts.Sleep, key, data[:n], 0, anyValue); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// writeHeader replaces the snapshot header, even if a previous owner wrote one in the
// meantime.
func (l *Log) writeHeader(ctx context.Context, header snapshotHeader) error {
	isOwn := func(value []byte) bool {
		found, err := decode[snapshotHeader](value)
		return err == nil && found.Stamp == header.Stamp
	}
	key := snapshotKey(l.opts.Partition)
	for {
		s, err := casUntilResolved(ctx, l.store, l.opts.Sleep, key, encode(header), l.snapshot.Revision, isOwn)
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
		if other.Epoch > header.Epoch || other.Seq > header.Seq {
			l.close(ErrOwnershipLost)
			return ErrOwnershipLost
		}
		l.snapshot = s.Found
	}
}

// deleteStaleParts deletes the parts of other snapshots, if there are any.
func (l *Log) deleteStaleParts(ctx context.Context, header snapshotHeader) error {
	if header.Parts == 0 && !l.snapshotInParts {
		return nil
	}
	parts, err := l.store.List(ctx, partPrefix(l.opts.Partition))
	if err != nil {
		return err
	}
	keepPrefix := partPrefix(l.opts.Partition) + header.Stamp + "/"
	for _, p := range parts {
		if strings.HasPrefix(p.Key, keepPrefix) {
			continue
		}
		err := l.store.Delete(ctx, p.Key, p.Revision)
		if err != nil && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	l.snapshotInParts = header.Parts > 0
	return nil
}

// readSnapshot returns the header and data of the newest snapshot. Without a snapshot
// the header is zero.
func (l *Log) readSnapshot(ctx context.Context) (snapshotHeader, []byte, error) {
	for {
		e, err := l.store.Get(ctx, snapshotKey(l.opts.Partition))
		if errors.Is(err, platform.ErrNotFound) {
			return snapshotHeader{}, nil, nil
		}
		if err != nil {
			return snapshotHeader{}, nil, err
		}
		header, err := decode[snapshotHeader](e.Value)
		if err != nil {
			return snapshotHeader{}, nil, err
		}
		data, err := l.readParts(ctx, header)
		if errors.Is(err, platform.ErrNotFound) {
			continue // replaced by a newer snapshot while being read
		}
		l.snapshot, l.snapshotSeq, l.snapshotInParts = e, header.Seq, header.Parts > 0
		return header, data, err
	}
}

func (l *Log) readParts(ctx context.Context, header snapshotHeader) ([]byte, error) {
	data := header.Inline
	for n := range header.Parts {
		part, err := l.store.Get(ctx, partKey(l.opts.Partition, header.Stamp, n))
		if err != nil {
			return nil, err
		}
		data = append(data, part.Value...)
	}
	return data, nil
}
