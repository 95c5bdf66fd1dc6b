package partition

import (
	"context"
	"slices"
	"strings"
	"time"

	"filbertcross/internal/platform"
)

// fault is what happens to one call of the fake store.
type fault int

const (
	none        fault = iota
	refused           // not executed, and said so
	answerLost        // executed, the answer is lost
	requestLost       // never executed, the caller cannot know
	delayed           // executed at a later call, the answer is lost
)

// fakeStore is a store for one goroutine at a time, whose faults are planned.
type fakeStore struct {
	revision platform.Revision
	entries  map[string]platform.Entry
	plan     []fault // of the next calls
	down     bool    // every call is refused
	late     []func()
	// interrupt runs once, before the call after interruptIn others.
	interrupt   func()
	interruptIn int
	writes      int
	reads       int
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]platform.Entry{}} }

func noSleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

func (s *fakeStore) next() fault {
	if s.interruptIn--; s.interruptIn < 0 && s.interrupt != nil {
		run := s.interrupt
		s.interrupt = nil
		run()
	}
	if s.down {
		return refused
	}
	if len(s.plan) == 0 {
		return none
	}
	f := s.plan[0]
	s.plan = s.plan[1:]
	return f
}

// land executes the delayed writes.
func (s *fakeStore) land() {
	late := s.late
	s.late = nil
	for _, write := range late {
		write()
	}
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Entry, error) {
	s.reads++
	if s.next() != none {
		return platform.Entry{}, platform.ErrUnavailable
	}
	e, ok := s.entries[key]
	if !ok {
		return platform.Entry{}, platform.ErrNotFound
	}
	return e, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]platform.Entry, error) {
	s.reads++
	if s.next() != none {
		return nil, platform.ErrUnavailable
	}
	var found []platform.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

func (s *fakeStore) CompareAndSwap(ctx context.Context, key string, value []byte,
	expected platform.Revision) (platform.Revision, error) {
	s.writes++
	f := s.next()
	if ctx.Err() != nil {
		f = requestLost
	}
	switch f {
	case refused:
		return 0, platform.ErrUnavailable
	case answerLost:
		_, _ = s.swap(key, value, expected)
		return 0, platform.ErrUncertain
	case requestLost:
		return 0, platform.ErrUncertain
	case delayed:
		s.late = append(s.late, func() { _, _ = s.swap(key, value, expected) })
		return 0, platform.ErrUncertain
	}
	return s.swap(key, value, expected)
}

func (s *fakeStore) swap(key string, value []byte, expected platform.Revision) (platform.Revision, error) {
	if s.entries[key].Revision != expected {
		return 0, platform.ErrConflict
	}
	s.revision++
	s.entries[key] = platform.Entry{Key: key, Value: value, Revision: s.revision}
	return s.revision, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, expected platform.Revision) error {
	s.writes++
	if s.next() != none {
		return platform.ErrUnavailable
	}
	if s.entries[key].Revision != expected {
		return platform.ErrConflict
	}
	delete(s.entries, key)
	return nil
}

func (s *fakeStore) Watch(context.Context, string, platform.Revision, time.Duration) ([]platform.Entry, platform.Revision, error) {
	return nil, s.revision, nil
}
