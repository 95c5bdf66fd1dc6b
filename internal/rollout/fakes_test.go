package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/event"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
	"filbertcross/internal/platform"
)

// fault is what happens to one call of the fake store.
type fault int

const (
	none       fault = iota
	refused          // not executed, and said so
	answerLost       // executed, the answer is lost
	delayed          // executed after a later call, the answer is lost
	lags             // a read shows an older state
)

// fakeStore has planned faults. It is used by one goroutine at a time.
type fakeStore struct {
	revision platform.Revision
	entries  map[string]platform.Entry
	plan     []fault
	late     []func()
	heads    []platform.Entry // every head that was ever written
	between  func()           // runs once, before the call after betweenIn others
	in       int
	writes   int
	reads    int
}

// view is the store as one VM reaches it.
type storeView struct {
	*fakeStore
	cut bool
}

func (s *storeView) next() fault {
	if s.in--; s.in < 0 && s.between != nil {
		run := s.between
		s.between = nil
		run()
	}
	if s.cut {
		return refused
	}
	if len(s.plan) == 0 {
		s.land()
		return none
	}
	f := s.plan[0]
	s.plan = s.plan[1:]
	return f
}

func (s *fakeStore) land() {
	late := s.late
	s.late = nil
	for _, write := range late {
		write()
	}
}

func (s *storeView) Get(_ context.Context, key string) (platform.Entry, error) {
	s.reads++
	f := s.next()
	e, ok := s.entries[key]
	switch {
	case f == lags && key == headKey:
		if len(s.heads) < 2 {
			return platform.Entry{}, platform.ErrNotFound
		}
		return s.heads[len(s.heads)-2], nil
	case f != none && f != lags:
		return platform.Entry{}, platform.ErrUnavailable
	case !ok:
		return platform.Entry{}, platform.ErrNotFound
	}
	return e, nil
}

func (s *storeView) List(_ context.Context, prefix string) ([]platform.Entry, error) {
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
	return found, nil
}

func (s *storeView) CompareAndSwap(_ context.Context, key string, value []byte, expected platform.Revision) (platform.Revision, error) {
	s.writes++
	f := s.next()
	switch f {
	case refused:
		return 0, platform.ErrUnavailable
	case delayed:
		s.late = append(s.late, func() { _, _ = s.swap(key, value, expected) })
		return 0, platform.ErrUncertain
	}
	revision, err := s.swap(key, value, expected)
	if f == answerLost {
		return 0, platform.ErrUncertain
	}
	return revision, err
}

func (s *fakeStore) swap(key string, value []byte, expected platform.Revision) (platform.Revision, error) {
	if s.entries[key].Revision != expected {
		return 0, platform.ErrConflict
	}
	s.revision++
	e := platform.Entry{Key: key, Value: bytes.Clone(value), Revision: s.revision}
	s.entries[key] = e
	if key == headKey {
		s.heads = append(s.heads, e)
	}
	return e.Revision, nil
}

func (s *storeView) Delete(_ context.Context, key string, expected platform.Revision) error {
	s.writes++
	if s.next() != none || s.entries[key].Revision != expected {
		return platform.ErrUnavailable
	}
	delete(s.entries, key)
	return nil
}

func (s *storeView) Watch(_ context.Context, key string, after platform.Revision, _ time.Duration) ([]platform.Entry, platform.Revision, error) {
	s.reads++
	f := s.next()
	switch {
	case f == refused || f == answerLost:
		return nil, 0, platform.ErrUnavailable
	case f == lags && len(s.heads) > 1:
		return s.heads[len(s.heads)-2 : len(s.heads)-1], after, nil
	}
	if e, ok := s.entries[key]; ok && e.Revision > after {
		return []platform.Entry{e}, s.revision, nil
	}
	return nil, max(after, s.revision), nil
}

// fakeVM is one VM's roll-out with its links.
type fakeVM struct {
	*Rollout
	id    model.VMID
	store *storeView
	cut   bool // from all peers
	peers map[string]*fakeVM
	calls map[peer.Method]peer.Handler
}

var errNoMoreTries = errors.New("no more tries")

// newVM starts a VM that knows the peers by their ids as addresses.
func newVM(id string, store *fakeStore, peers map[string]*fakeVM, tries int) *fakeVM {
	vm := &fakeVM{id: model.VMID(id), store: &storeView{fakeStore: store}, peers: peers, calls: map[peer.Method]peer.Handler{}}
	vm.Rollout = New(vm.store, vm, vm, event.Discard{})
	vm.records.parallel = 1
	left := 0
	vm.records.pause = func(context.Context, time.Duration) error {
		if left++; left%tries == 0 {
			return errNoMoreTries
		}
		return nil
	}
	vm.Register(vm)
	peers[id] = vm
	return vm
}

func (vm *fakeVM) Handle(m peer.Method, h peer.Handler) { vm.calls[m] = h }

func (vm *fakeVM) Self() membership.Member {
	return membership.Member{ID: vm.id, Address: string(vm.id)}
}

func (vm *fakeVM) Members() []membership.Member {
	var members []membership.Member
	for _, other := range vm.peers {
		m := other.Self()
		if !vm.cut && !other.cut {
			m.Digest.Revision = other.source.Revision()
		}
		members = append(members, m)
	}
	return members
}

// Call implements peer.Caller through the JSON that the peer link carries.
func (vm *fakeVM) Call(ctx context.Context, address string, m peer.Method, params, result any) error {
	other := vm.peers[address]
	if vm.cut || other == nil || other.cut {
		return &peer.Error{Code: peer.CodeTimeout, Message: "cut"}
	}
	sent, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := other.calls[m](ctx, sent)
	if err != nil {
		return err
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}
