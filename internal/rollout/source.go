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
const historyRevisions = 16

// accepted is one accepted configuration with the record and parts it came from. It
// is immutable.
type accepted struct {
	head          head
	contents      map[string]content // by key of the part
	configuration *model.Configuration
	since         time.Time // in force on this VM, wall clock
}

// past is a configuration that was in force: its parts, which unchanged ones share
// with later revisions, and not the much larger rows decoded from them.
type past struct {
	revision int64
	contents []content
}

// Source gives the configuration in force on this VM. Safe for concurrent use.
type Source struct {
	recorder event.Recorder
	now      func() time.Time
	current  atomic.Pointer[accepted]
	changed  chan struct{}

	mu      sync.Mutex // serialises put
	history []past     // newest last, the one in force included
}

var _ model.ConfigurationSource = (*Source)(nil)

func newSource(recorder event.Recorder, now func() time.Time) *Source {
	return &Source{recorder: recorder, now: now, changed: make(chan struct{}, 1)}
}

// Active implements model.ConfigurationSource.
func (s *Source) Active() *model.Configuration {
	if a := s.current.Load(); a != nil {
		return a.configuration
	}
	return nil
}

// Revision is that of the configuration in force, 0 without one.
func (s *Source) Revision() int64 {
	if a := s.current.Load(); a != nil {
		return a.head.Revision
	}
	return 0
}

// Changed is signalled, without a backlog, after a configuration was put in force.
func (s *Source) Changed() <-chan struct{} { return s.changed }

// put puts a configuration in force unless it is not newer than the one that is.
// from names where it was read.
func (s *Source) put(h head, contents map[string]content, from string) error {
	ordered := make([]content, len(h.Parts))
	kept := make(map[string]content, len(h.Parts))
	held := s.held()
	for i, ref := range h.Parts {
		key := ref.key()
		ordered[i] = held[key]
		if ordered[i] == nil {
			ordered[i] = contents[key]
		}
		kept[key] = ordered[i]
		if ordered[i].hash() != ref.Hash {
			return errCorrupt
		}
	}
	joined, err := join(ordered)
	if err != nil {
		return err
	}
	a := &accepted{head: h, contents: kept, since: s.now(), configuration: &model.Configuration{
		Revision:  h.Revision,
		Branches:  joined.Branches,
		Workloads: joined.Workloads,
	}}
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.Revision()
	if s.ignores(h, from) {
		return nil
	}
	s.replace(a)
	s.remember(past{revision: h.Revision, contents: ordered})
	s.recorder.Record(event.ConfigurationActivated, h.Revision, was, from)
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return nil
}

// ignores tells whether a head is not newer than the one in force.
func (s *Source) ignores(h head, from string) bool {
	current := s.current.Load()
	switch {
	case current == nil || h.Revision > current.head.Revision:
		return false
	case h.Revision < current.head.Revision:
		s.recorder.Record(event.OlderConfigurationIgnored, h.Revision, current.head.Revision, from)
	case h.stamp() != current.head.stamp():
		s.recorder.Record(event.ConfigurationDiverged, h.Revision, from)
	}
	return true
}

// replace swaps the configuration in force and asserts that the revision rises.
func (s *Source) replace(a *accepted) {
	before := s.current.Swap(a)
	if before != nil && before.head.Revision >= a.head.Revision {
		panic(fmt.Sprintf("rollout: invariant: revision fell from %d to %d", before.head.Revision, a.head.Revision))
	}
}

// held returns the parts of the configuration in force by key.
func (s *Source) held() map[string]content {
	if a := s.current.Load(); a != nil {
		return a.contents
	}
	return nil
}

// remember is called with mu held.
func (s *Source) remember(p past) {
	s.history = append(s.history, p)
	if len(s.history) > historyRevisions {
		s.history = slices.Clone(s.history[1:]) // lets go of the oldest
	}
}

// at returns a recent revision's sheet.
func (s *Source) at(revision int64) (sheet.Sheet, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.history {
		if p.revision == revision {
			joined, err := join(p.contents)
			return joined, err == nil
		}
	}
	return sheet.Sheet{}, false
}
