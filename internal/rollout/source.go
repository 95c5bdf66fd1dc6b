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

// maxHistoryRevisions is the number of revisions, including the active one, for which a
// conflict can list the changes.
const maxHistoryRevisions = 16

// activeConfiguration is an accepted configuration with the head and the parts that it
// was decoded from. It is immutable.
type activeConfiguration struct {
	head          head
	contents      map[string]encodedPart // by key of the part
	configuration *model.Configuration
	activeSince   time.Time // time of activation on this VM, wall clock
}

// historyEntry is a configuration that was activated. It keeps the encoded parts, which
// later revisions share if unchanged, and not the much larger decoded rows.
type historyEntry struct {
	revision int64
	contents []encodedPart
}

// Source provides the active configuration of this VM. Safe for concurrent use.
type Source struct {
	recorder event.Recorder
	now      func() time.Time
	active   atomic.Pointer[activeConfiguration]
	changed  chan struct{}

	mu      sync.Mutex     // serializes activate and guards history
	history []historyEntry // oldest first, including the active one
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

// Revision returns the revision of the active configuration, or 0 if there is none.
func (s *Source) Revision() int64 {
	if a := s.active.Load(); a != nil {
		return a.head.Revision
	}
	return 0
}

// Changed returns a channel that receives a value after a configuration was activated.
// Its capacity is one; further signals are dropped.
func (s *Source) Changed() <-chan struct{} { return s.changed }

// activate activates a configuration unless it is not newer than the active one. from
// names where it was read: the store, a VM or this VM.
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
	s.recorder.Record(event.ConfigurationActivated, h.Revision, previous, from)
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return nil
}

// rejectsStale reports whether a head is not newer than the active one. It records an
// event for an older head and for another head with the same revision.
func (s *Source) rejectsStale(h head, from string) bool {
	current := s.active.Load()
	switch {
	case current == nil || h.Revision > current.head.Revision:
		return false
	case h.Revision < current.head.Revision:
		s.recorder.Record(event.OlderConfigurationIgnored, h.Revision, current.head.Revision, from)
	case h.writerID() != current.head.writerID():
		s.recorder.Record(event.ConfigurationDiverged, h.Revision, from)
	}
	return true
}

// swapActive replaces the active configuration. It panics if the revision does not
// increase.
func (s *Source) swapActive(a *activeConfiguration) {
	before := s.active.Swap(a)
	if before != nil && before.head.Revision >= a.head.Revision {
		panic(fmt.Sprintf("rollout: invariant violated: active revision changed from %d to %d", before.head.Revision, a.head.Revision))
	}
}

// cachedParts returns the parts of the active configuration by key.
func (s *Source) cachedParts() map[string]encodedPart {
	if a := s.active.Load(); a != nil {
		return a.contents
	}
	return nil
}

// addHistory appends an entry and drops the oldest above the limit. Called with mu held.
func (s *Source) addHistory(e historyEntry) {
	s.history = append(s.history, e)
	if len(s.history) > maxHistoryRevisions {
		s.history = slices.Clone(s.history[1:]) // frees the oldest entry
	}
}

// sheetAt returns the sheet of a revision in the history.
func (s *Source) sheetAt(revision int64) (sheet.Sheet, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.history {
		if e.revision == revision {
			joined, err := joinParts(e.contents)
			return joined, err == nil
		}
	}
	return sheet.Sheet{}, false
}
