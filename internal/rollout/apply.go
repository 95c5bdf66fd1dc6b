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

// ErrNotAccepted marks errors of Apply after which the sheet is not accepted and cannot
// become accepted through that call later.
var ErrNotAccepted = errors.New("rollout: the sheet was not accepted")

// Accepted is the result of a successful Apply.
type Accepted struct {
	Revision int64
	Changes  sheet.Changes // since the previous revision
}

// ConflictError means that another operator's change was accepted first. The sheet is not
// accepted.
type ConflictError struct {
	Base         int64
	Revision     int64         // accepted after Base
	Changes      sheet.Changes // accepted since Base
	ChangesKnown bool          // false: Base is too old to determine Changes
}

// Error returns the conflict with the changes of the other operators, if known.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("rollout: the sheet starts from revision %d, but revision %d is accepted", e.Base, e.Revision)
	if !e.ChangesKnown {
		return text
	}
	return text + "; meanwhile:\n" + e.Changes.String()
}

// Is matches ErrNotAccepted.
func (e *ConflictError) Is(target error) bool { return target == ErrNotAccepted }

// UncertainError means that the store's response was lost in all attempts: the sheet may
// be accepted now or later as Revision. Applying the same sheet again is safe.
type UncertainError struct {
	Revision int64
	Cause    error
}

// Error returns the cause and what the operator can do.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("rollout: the sheet may be accepted as revision %d (%v); look at the status or apply it again", e.Revision, e.Cause)
}

// Unwrap returns the cause, an error of the store.
func (e *UncertainError) Unwrap() error { return e.Cause }

// Apply writes the sheet as the revision after base. It takes at most applyTimeout. Errors
// are *ConflictError, *UncertainError, or marked with ErrNotAccepted; if the accepted sheet
// cannot be activated on this VM, the error is none of these. A sheet equal to the newest
// revision is accepted as that revision, so that a retry after a lost response succeeds.
func (r *Rollout) Apply(ctx context.Context, base int64, s sheet.Sheet) (Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	s.Sort()
	contents, err := splitSheet(s)
	if err != nil {
		return Accepted{}, errors.Mark(err, ErrNotAccepted)
	}
	stored, err := r.readNewest(ctx)
	if err != nil {
		return Accepted{}, errors.Mark(err, ErrNotAccepted)
	}
	old, err := r.loadSheet(ctx, stored)
	if err != nil {
		return Accepted{}, errors.Mark(err, ErrNotAccepted)
	}
	changes := sheet.Diff(old, s)
	switch {
	case stored.Revision < base:
		err := errors.Newf("rollout: the store shows revision %d, before the base %d", stored.Revision, base)
		return Accepted{}, errors.Mark(err, ErrNotAccepted)
	case stored.Revision > 0 && len(changes) == 0:
		return r.confirmAccepted(ctx, stored)
	case stored.Revision != base:
		return Accepted{}, r.newConflictError(base, stored.Revision, old)
	}
	next, fresh, err := r.writeParts(ctx, stored.head, contents)
	if err != nil {
		r.configStore.deleteParts(ctx, fresh)
		return Accepted{}, errors.Mark(err, ErrNotAccepted)
	}
	if err := r.commitHead(ctx, stored, next); err != nil {
		return Accepted{}, r.commitFailure(ctx, err, base, next, fresh)
	}
	r.recorder.Record(event.ConfigurationAccepted, next.Revision, len(changes), len(fresh))
	if err := r.source.activate(next, partsByKey(next.Parts, contents), "this VM"); err != nil {
		return Accepted{}, err
	}
	r.configStore.deleteParts(ctx, stored.Retired)
	if next.Revision%orphanSweepRevisions == 0 {
		r.configStore.deleteOrphanParts(ctx, slices.Concat(next.Parts, next.Retired), time.Now())
	}
	return Accepted{Revision: next.Revision, Changes: changes}, nil
}

// confirmAccepted accepts a sheet that equals the newest revision read, after confirming
// that this revision is the newest.
func (r *Rollout) confirmAccepted(ctx context.Context, stored storedHead) (Accepted, error) {
	if err := r.configStore.confirm(ctx, &stored); err != nil {
		return Accepted{}, errors.Mark(err, ErrNotAccepted)
	}
	return Accepted{Revision: stored.Revision}, nil
}

func partsByKey(refs []partRef, contents map[int]encodedPart) map[string]encodedPart {
	keyed := make(map[string]encodedPart, len(refs))
	for _, ref := range refs {
		keyed[ref.key()] = contents[ref.Group]
	}
	return keyed
}

// readNewest reads the head; without one it has revision 0. A head older than the active
// revision is a stale read and an error.
func (r *Rollout) readNewest(ctx context.Context) (storedHead, error) {
	stored, err := r.configStore.readHead(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		stored, err = storedHead{}, nil
	}
	if err == nil && stored.Revision < r.source.Revision() {
		return storedHead{}, errors.Newf("rollout: the store shows revision %d behind revision %d in force", stored.Revision, r.source.Revision())
	}
	return stored, err
}

// writeParts writes the parts that differ from those of h. It returns the next head and,
// also with an error, the parts that may have been written.
func (r *Rollout) writeParts(ctx context.Context, h head, contents map[int]encodedPart) (head, []partRef, error) {
	writerID := uuid.Must(uuid.NewV7()).String()
	previous := map[int]partRef{} // by group
	for _, ref := range h.Parts {
		previous[ref.Group] = ref
	}
	var parts, fresh []partRef
	var mu sync.Mutex
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(r.configStore.maxParallelWrites)
	for _, g := range slices.Sorted(maps.Keys(contents)) {
		ref := partRef{Group: g, Hash: contents[g].hash(), WriterID: writerID}
		if old, ok := previous[g]; ok && old.Hash == ref.Hash {
			parts = append(parts, old)
			continue
		}
		group.Go(func() error {
			revision, err := r.configStore.writePart(groupCtx, ref, contents[g])
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
	return h.next(parts, writerID), fresh, err
}

// errSuperseded means that another writer wrote the next revision.
var errSuperseded = errors.New("rollout: superseded")

// errOutcomeUnknown marks errors after which the write of a head may have taken effect or
// may still do so.
var errOutcomeUnknown = errors.New("rollout: outcome open")

// commitHead writes the next head by compare-and-swap. After a lost response it repeats the
// same write, which either takes effect or conflicts. After a conflict the writer IDs in
// the stored head show whether an earlier attempt took effect.
func (r *Rollout) commitHead(ctx context.Context, from storedHead, next head) error {
	outcomeUnknown, refusals := false, 0
	value := encode(next)
	err := r.configStore.retry(ctx, func() (bool, error) {
		_, err := r.configStore.writeIfRevision(ctx, headKey, value, from.revision)
		switch {
		case err == nil:
			return true, nil
		case !errors.Is(err, platform.ErrConflict):
			refusals++
			outcomeUnknown = outcomeUnknown || !errors.Is(err, platform.ErrUnavailable)
			return !outcomeUnknown && refusals >= maxRefusals, err
		}
		found, err := r.configStore.readHead(ctx)
		if err != nil || found.revision <= from.revision {
			outcomeUnknown = true
			return false, errors.CombineErrors(err, platform.ErrConflict)
		}
		own, known := found.isWrittenBy(next.writerID(), next.Revision)
		switch {
		case own:
			return true, nil
		case !known:
			return true, errors.Mark(platform.ErrUncertain, errOutcomeUnknown)
		case found.Revision == from.Revision: // a starting VM confirmed the head without changing it
			outcomeUnknown = false
			from.revision = found.revision
			return false, platform.ErrConflict
		default:
			outcomeUnknown = false
			return true, errSuperseded
		}
	})
	if err != nil && outcomeUnknown {
		return errors.Mark(err, errOutcomeUnknown)
	}
	return err
}

// commitFailure converts an error of commitHead to an error of Apply and deletes the
// written parts unless the outcome is unknown.
func (r *Rollout) commitFailure(ctx context.Context, err error, base int64, next head, fresh []partRef) error {
	if errors.Is(err, errOutcomeUnknown) {
		r.recorder.Record(event.ConfigurationWriteUncertain, next.Revision, next.writerID())
		return &UncertainError{Revision: next.Revision, Cause: err}
	}
	r.configStore.deleteParts(ctx, fresh)
	if !errors.Is(err, errSuperseded) {
		return errors.Mark(err, ErrNotAccepted)
	}
	stored, readErr := r.readNewest(ctx)
	if readErr != nil {
		return &ConflictError{Base: base, Revision: next.Revision}
	}
	current, readErr := r.loadSheet(ctx, stored)
	if readErr != nil {
		return &ConflictError{Base: base, Revision: stored.Revision}
	}
	return r.newConflictError(base, stored.Revision, current)
}

// newConflictError returns a ConflictError with the changes since base, if known, and
// records the conflict.
func (r *Rollout) newConflictError(base, revision int64, current sheet.Sheet) error {
	r.recorder.Record(event.ConfigurationConflict, base, revision)
	e := &ConflictError{Base: base, Revision: revision}
	if old, ok := r.source.sheetAt(base); ok {
		e.Changes, e.ChangesKnown = sheet.Diff(old, current), true
	}
	if base == 0 {
		e.Changes, e.ChangesKnown = sheet.Diff(sheet.Sheet{}, current), true
	}
	return e
}
