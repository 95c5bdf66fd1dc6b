package rollout

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
	"filbertcross/internal/sheet"
)

// historyRevisions is how many revisions back a conflict can be explained.
const maxHistoryRevisions = 16

// activeConfiguration is one activeConfiguration configuration with the record and parts it came from. It
// is immutable.
type activeConfiguration struct {
	head          head
	contents      map[string]encodedPart // by key of the part
	configuration *model.Configuration
	activeSince   time.Time // in force on this VM, wall clock
}

// past is a configuration that was in force: its parts, which unchanged ones share
// with later revisions, and not the much larger rows decoded from them.
type historyEntry struct {
	revision int64
	contents []encodedPart
}

// Source gives the configuration in force on this VM. Safe for concurrent use.
type Source struct {
	recorder event.Recorder
	now      func() time.Time
	active   atomic.Pointer[activeConfiguration]
	changed  chan struct{}

	mu      sync.Mutex     // serialises put
	history []historyEntry // newest last, the one in force included
}

var _ model.ConfigurationSource = (*Source)(nil)

func newSource(recorder event.Recorder, now func() time.Time) *Source {
	return &Source{recorder: recorder, now: now, changed: make(chan struct{}, 1)}
}

// Active implements model.ConfigurationSource.
func (s *Source) Active() *model.Configuration {
	if a := s.active.Load(); a != nil {
		return a.configuration
	}
	return nil
}

// Revision is that of the configuration in force, 0 without one.
func (s *Source) Revision() int64 {
	if a := s.active.Load(); a != nil {
		return a.head.Revision
	}
	return 0
}

// Changed is signalled, without a backlog, after a configuration was put in force.
func (s *Source) Changed() <-chan struct{} { return s.changed }

// put puts a configuration in force unless it is not newer than the one that is.
// from names where it was read.
func (s *Source) activate(h head, contents map[string]encodedPart, from string) error {
	ordered := make([]encodedPart, len(h.Parts))
	activeParts := make(map[string]encodedPart, len(h.Parts))
	cachedParts := s.cachedParts()
	for i, ref := range h.Parts {
		key := ref.key()
		ordered[i] = cachedParts[key]
		if ordered[i] == nil {
			ordered[i] = contents[key]
		}
		activeParts[key] = ordered[i]
		if ordered[i].hash() != ref.Hash {
			return errPartHashMismatch
		}
	}
	joined, err := joinParts(ordered)
	if err != nil {
		return err
	}
	a := &activeConfiguration{head: h, contents: activeParts, activeSince: s.now(), configuration: &model.Configuration{
		Revision:  h.Revision,
		Branches:  joined.Branches,
		Workloads: joined.Workloads,
	}}
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.Revision()
	if s.rejectsStale(h, from) {
		return nil
	}
	s.swapActive(a)
	s.addHistory(historyEntry{revision: h.Revision, contents: ordered})
	s.recorder.Record(event.ConfigurationInForce, h.Revision, previous, from)
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return nil
}

// ignores tells whether a head is not newer than the one in force.
func (s *Source) rejectsStale(h head, from string) bool {
	current := s.active.Load()
	switch {
	case current == nil || h.Revision > current.head.Revision:
		return false
	case h.Revision < current.head.Revision:
		s.recorder.Record(event.ConfigurationOlder, h.Revision, current.head.Revision, from)
	case h.writerID() != current.head.writerID():
		s.recorder.Record(event.ConfigurationDiverged, h.Revision, from)
	}
	return true
}

// replace swaps the configuration in force and asserts that the revision rises.
func (s *Source) swapActive(a *activeConfiguration) {
	before := s.active.Swap(a)
	if before != nil && before.head.Revision >= a.head.Revision {
		panic(fmt.Sprintf("rollout: invariant: revision fell from %d to %d", before.head.Revision, a.head.Revision))
	}
}

// held returns the parts of the configuration in force by key.
func (s *Source) cachedParts() map[string]encodedPart {
	if a := s.active.Load(); a != nil {
		return a.contents
	}
	return nil
}

// remember is called with mu held.
func (s *Source) addHistory(p historyEntry) {
	s.history = append(s.history, p)
	if len(s.history) > maxHistoryRevisions {
		s.history = slices.Clone(s.history[1:]) // lets go of the oldest
	}
}

// sheetAt returns a recent revision's sheet.
func (s *Source) sheetAt(revision int64) (sheet.Sheet, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.history {
		if p.revision == revision {
			joined, err := joinParts(p.contents)
			return joined, err == nil
		}
	}
	return sheet.Sheet{}, false
}
