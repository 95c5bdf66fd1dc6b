package rollout

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"filbertcross/internal/event"
	"filbertcross/internal/platform"
	"filbertcross/internal/sheet"
)

// ErrNotAccepted marks errors of Apply after which the sheet is not accepted and
// never will be by that call.
var ErrNotAccepted = errors.New("rollout: the sheet was not accepted")

// Accepted says which revision a sheet became.
type Accepted struct {
	Revision int64
	Changes  sheet.Changes // against the revision before
}

// ConflictError says that another operator's change came first. The sheet is not accepted.
type ConflictError struct {
	Base     int64
	Revision int64         // accepted meanwhile
	Changes  sheet.Changes // what the others changed since Base
	Known    bool          // false: Base is too old to tell what was changed
}

// Error names what the other operator changed.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("rollout: the sheet starts from revision %d, but revision %d is accepted", e.Base, e.Revision)
	if !e.Known {
		return text
	}
	return text + "; meanwhile:\n" + e.Changes.String()
}

// Is matches ErrNotAccepted.
func (e *ConflictError) Is(target error) bool { return target == ErrNotAccepted }

// UncertainError says that the store's answer stayed lost: the sheet may be accepted
// now or later as Revision. Applying the same sheet again is safe.
type UncertainError struct {
	Revision int64
	Cause    error
}

// Error tells what to do.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("rollout: the sheet may be accepted as revision %d (%v); look at the status or apply it again", e.Revision, e.Cause)
}

// Unwrap returns the store's error.
func (e *UncertainError) Unwrap() error { return e.Cause }

// Apply makes the sheet the revision after base. Errors are *ConflictError,
// *UncertainError, or marked with ErrNotAccepted. A sheet equal to the newest
// revision is accepted as that one, so that a repeat after a lost answer succeeds.
func (r *Rollout) Apply(ctx context.Context, base int64, s sheet.Sheet) (Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	s.Sort()
	contents, err := split(s)
	if err != nil {
		return Accepted{}, errors.Mark(err, ErrNotAccepted)
	}
	stored, err := r.newest(ctx)
	if err != nil {
		return Accepted{}, errors.Mark(err, ErrNotAccepted)
	}
	old, err := r.load(ctx, stored)
	if err != nil {
		return Accepted{}, errors.Mark(err, ErrNotAccepted)
	}
	changes := sheet.Diff(old, s)
	switch {
	case stored.Revision < base:
		err := errors.Newf("rollout: the store shows revision %d, before the base %d", stored.Revision, base)
		return Accepted{}, errors.Mark(err, ErrNotAccepted)
	case stored.Revision > 0 && len(changes) == 0:
		return r.acceptedBefore(ctx, stored)
	case stored.Revision != base:
		return Accepted{}, r.conflict(base, stored.Revision, old)
	}
	next, fresh, err := r.writeParts(ctx, stored.head, contents)
	if err != nil {
		r.records.remove(ctx, fresh)
		return Accepted{}, errors.Mark(err, ErrNotAccepted)
	}
	if err := r.commit(ctx, stored, next); err != nil {
		return Accepted{}, r.notCommitted(ctx, err, base, next, fresh)
	}
	r.recorder.Record(event.ConfigurationAccepted, next.Revision, len(changes), len(fresh))
	if err := r.source.put(next, byKey(next.Parts, contents), "this VM"); err != nil {
		return Accepted{}, err
	}
	r.records.remove(ctx, stored.Retired)
	if next.Revision%sweepRevisions == 0 {
		r.records.sweep(ctx, slices.Concat(next.Parts, next.Retired), time.Now())
	}
	return Accepted{Revision: next.Revision, Changes: changes}, nil
}

// acceptedBefore is for a sheet that equals what was read as the newest revision.
func (r *Rollout) acceptedBefore(ctx context.Context, stored storedHead) (Accepted, error) {
	if err := r.records.confirm(ctx, &stored); err != nil {
		return Accepted{}, errors.Mark(err, ErrNotAccepted)
	}
	return Accepted{Revision: stored.Revision}, nil
}

func byKey(refs []partRef, contents map[int]content) map[string]content {
	keyed := make(map[string]content, len(refs))
	for _, ref := range refs {
		keyed[ref.key()] = contents[ref.Group]
	}
	return keyed
}

// newest reads the head; one older than what is in force here comes from a store
// that lags.
func (r *Rollout) newest(ctx context.Context) (storedHead, error) {
	stored, err := r.records.read(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		stored, err = storedHead{}, nil
	}
	if err == nil && stored.Revision < r.source.Revision() {
		return storedHead{}, errors.Newf("rollout: the store shows revision %d behind revision %d in force", stored.Revision, r.source.Revision())
	}
	return stored, err
}

// writeParts writes the parts that differ from the head's. It returns the next head
// and, also with an error, the parts that may have been written.
func (r *Rollout) writeParts(ctx context.Context, h head, contents map[int]content) (head, []partRef, error) {
	stamp := uuid.Must(uuid.NewV7()).String()
	same := map[int]partRef{}
	for _, ref := range h.Parts {
		same[ref.Group] = ref
	}
	var parts, fresh []partRef
	var mu sync.Mutex
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(r.records.parallel)
	for _, g := range slices.Sorted(maps.Keys(contents)) {
		ref := partRef{Group: g, Hash: contents[g].hash(), Stamp: stamp}
		if old, ok := same[g]; ok && old.Hash == ref.Hash {
			parts = append(parts, old)
			continue
		}
		group.Go(func() error {
			revision, err := r.records.writePart(groupCtx, ref, contents[g])
			ref.Revision = revision
			mu.Lock()
			defer mu.Unlock()
			fresh = append(fresh, ref)
			return err
		})
	}
	err := group.Wait()
	parts = append(parts, fresh...)
	slices.SortFunc(parts, func(a, b partRef) int { return a.Group - b.Group })
	return h.next(parts, stamp), fresh, err
}

// errSuperseded says that another head took the place.
var errSuperseded = errors.New("rollout: superseded")

// errOpen marks the error of a head whose write may take effect later.
var errOpen = errors.New("rollout: outcome open")

// commit swaps the head. A lost answer is settled by repeating the same write: it
// either takes effect or conflicts, and after a conflict the stamps tell who won.
func (r *Rollout) commit(ctx context.Context, from storedHead, next head) error {
	open, refused := false, 0
	value := encode(next)
	err := r.records.retry(ctx, func() (bool, error) {
		_, err := r.records.swap(ctx, headKey, value, from.revision)
		switch {
		case err == nil:
			return true, nil
		case !errors.Is(err, platform.ErrConflict):
			refused++
			open = open || !errors.Is(err, platform.ErrUnavailable)
			return !open && refused >= refusedTries, err
		}
		found, err := r.records.read(ctx)
		if err != nil || found.revision <= from.revision {
			open = true
			return false, errors.CombineErrors(err, platform.ErrConflict)
		}
		own, known := found.wrote(next.stamp(), next.Revision)
		switch {
		case own:
			return true, nil
		case !known:
			return true, errors.Mark(platform.ErrUncertain, errOpen)
		case found.Revision == from.Revision: // confirmed by a starting VM, not changed
			open = false
			from.revision = found.revision
			return false, platform.ErrConflict
		default:
			open = false
			return true, errSuperseded
		}
	})
	if err != nil && open {
		return errors.Mark(err, errOpen)
	}
	return err
}

// notCommitted turns commit's error into Apply's.
func (r *Rollout) notCommitted(ctx context.Context, err error, base int64, next head, fresh []partRef) error {
	if errors.Is(err, errOpen) {
		r.recorder.Record(event.ConfigurationWriteUncertain, next.Revision, next.stamp())
		return &UncertainError{Revision: next.Revision, Cause: err}
	}
	r.records.remove(ctx, fresh)
	if !errors.Is(err, errSuperseded) {
		return errors.Mark(err, ErrNotAccepted)
	}
	stored, readErr := r.newest(ctx)
	if readErr != nil {
		return &ConflictError{Base: base, Revision: next.Revision}
	}
	current, readErr := r.load(ctx, stored)
	if readErr != nil {
		return &ConflictError{Base: base, Revision: stored.Revision}
	}
	return r.conflict(base, stored.Revision, current)
}

// conflict explains what was changed since base.
func (r *Rollout) conflict(base, revision int64, current sheet.Sheet) error {
	r.recorder.Record(event.ConfigurationConflict, base, revision)
	e := &ConflictError{Base: base, Revision: revision}
	if old, ok := r.source.at(base); ok {
		e.Changes, e.Known = sheet.Diff(old, current), true
	}
	if base == 0 {
		e.Changes, e.Known = sheet.Diff(sheet.Sheet{}, current), true
	}
	return e
}
