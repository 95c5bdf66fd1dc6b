package partition

import (
	"context"
	"slices"
	"strings"
	"time"

	"filbertcross/internal/platform"
)

// fault is the fault injected into one call of the fake store.
type fault int

const (
	noFault     fault = iota
	refused           // not executed; the caller gets ErrUnavailable
	answerLost        // executed; the answer is lost
	requestLost       // not executed; the caller can't know
	delayed           // executed by applyDelayedWrites; the answer is lost
)

// fakeStore is an in-memory store with planned faults. Only one goroutine at a time may
// use it.
type fakeStore struct {
	revision      platform.Revision
	entries       map[string]platform.Entry
	faultPlan     []fault // faults of the next calls
	down          bool
	delayedWrites []func()
	// interrupt runs once, after interruptAfter further calls and before the next one.
	interrupt      func()
	interruptAfter int
	writes         int
	reads          int
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]platform.Entry{}} }

func noSleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

func (s *fakeStore) nextFault() fault {
	if s.interruptAfter--; s.interruptAfter < 0 && s.interrupt != nil {
		run := s.interrupt
		s.interrupt = nil
		run()
	}
	if s.down {
		return refused
	}
	if len(s.faultPlan) == 0 {
		return noFault
	}
	f := s.faultPlan[0]
	s.faultPlan = s.faultPlan[1:]
	return f
}

// applyDelayedWrites executes the delayed writes.
func (s *fakeStore) applyDelayedWrites() {
	late := s.delayedWrites
	s.delayedWrites = nil
	for _, write := range late {
		write()
	}
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Entry, error) {
	s.reads++
	if s.nextFault() != noFault {
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
	if s.nextFault() != noFault {
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
	f := s.nextFault()
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
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = s.swap(key, value, expected) })
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
	if s.nextFault() != noFault {
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
