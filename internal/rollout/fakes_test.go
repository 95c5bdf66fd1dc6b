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

// fault is an injected fault of one call of the fake store.
type fault int

const (
	faultNone         fault = iota
	faultRefused            // not executed and reported as such
	faultResponseLost       // executed, the response is lost
	faultDelayed            // executed after a later call, the response is lost
	faultStaleRead          // a read returns an older state
)

// fakeStore is a store that injects the listed faults, one per call. It is not safe for
// concurrent use.
type fakeStore struct {
	revision               platform.Revision
	entries                map[string]platform.Entry
	faults                 []fault
	delayedWrites          []func()
	headHistory            []platform.Entry // all heads ever written, oldest first
	interleaved            func()           // runs once, after callsBeforeInterleaved calls
	callsBeforeInterleaved int
	writes                 int
	reads                  int
}

// storeView is the connection of one VM to the store.
type storeView struct {
	*fakeStore
	disconnected bool
}

func (s *storeView) nextFault() fault {
	if s.callsBeforeInterleaved--; s.callsBeforeInterleaved < 0 && s.interleaved != nil {
		run := s.interleaved
		s.interleaved = nil
		run()
	}
	if s.disconnected {
		return faultRefused
	}
	if len(s.faults) == 0 {
		s.applyDelayedWrites()
		return faultNone
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

func (s *fakeStore) applyDelayedWrites() {
	delayedWrites := s.delayedWrites
	s.delayedWrites = nil
	for _, write := range delayedWrites {
		write()
	}
}

func (s *storeView) Get(_ context.Context, key string) (platform.Entry, error) {
	s.reads++
	f := s.nextFault()
	e, ok := s.entries[key]
	switch {
	case f == faultStaleRead && key == headKey:
		if len(s.headHistory) < 2 {
			return platform.Entry{}, platform.ErrNotFound
		}
		return s.headHistory[len(s.headHistory)-2], nil
	case f != faultNone && f != faultStaleRead:
		return platform.Entry{}, platform.ErrUnavailable
	case !ok:
		return platform.Entry{}, platform.ErrNotFound
	}
	return e, nil
}

func (s *storeView) List(_ context.Context, prefix string) ([]platform.Entry, error) {
	s.reads++
	if s.nextFault() != faultNone {
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
	f := s.nextFault()
	switch f {
	case faultRefused:
		return 0, platform.ErrUnavailable
	case faultDelayed:
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = s.compareAndSwap(key, value, expected) })
		return 0, platform.ErrUncertain
	}
	revision, err := s.compareAndSwap(key, value, expected)
	if f == faultResponseLost {
		return 0, platform.ErrUncertain
	}
	return revision, err
}

func (s *fakeStore) compareAndSwap(key string, value []byte, expected platform.Revision) (platform.Revision, error) {
	if s.entries[key].Revision != expected {
		return 0, platform.ErrConflict
	}
	s.revision++
	e := platform.Entry{Key: key, Value: bytes.Clone(value), Revision: s.revision}
	s.entries[key] = e
	if key == headKey {
		s.headHistory = append(s.headHistory, e)
	}
	return e.Revision, nil
}

func (s *storeView) Delete(_ context.Context, key string, expected platform.Revision) error {
	s.writes++
	if s.nextFault() != faultNone || s.entries[key].Revision != expected {
		return platform.ErrUnavailable
	}
	delete(s.entries, key)
	return nil
}

func (s *storeView) Watch(_ context.Context, key string, after platform.Revision, _ time.Duration) ([]platform.Entry, platform.Revision, error) {
	s.reads++
	f := s.nextFault()
	switch {
	case f == faultRefused || f == faultResponseLost:
		return nil, 0, platform.ErrUnavailable
	case f == faultStaleRead && len(s.headHistory) > 1:
		return s.headHistory[len(s.headHistory)-2 : len(s.headHistory)-1], after, nil
	}
	if e, ok := s.entries[key]; ok && e.Revision > after {
		return []platform.Entry{e}, s.revision, nil
	}
	return nil, max(after, s.revision), nil
}

// fakeVM is the Rollout of one VM with its connections to the store and the peers.
type fakeVM struct {
	*Rollout
	id           model.VMID
	store        *storeView
	disconnected bool // from all peers
	peers        map[string]*fakeVM
	handlers     map[peer.Method]peer.Handler
}

var errNoMoreAttempts = errors.New("no more attempts")

// newTestVM returns a VM and adds it to peers, whose addresses are their ids. The VM stops
// retrying an operation at every maxAttempts-th pause.
func newTestVM(id string, store *fakeStore, peers map[string]*fakeVM, maxAttempts int) *fakeVM {
	vm := &fakeVM{id: model.VMID(id), store: &storeView{fakeStore: store}, peers: peers, handlers: map[peer.Method]peer.Handler{}}
	vm.Rollout = New(vm.store, vm, vm, event.Discard{})
	vm.configStore.maxParallelWrites = 1
	pauses := 0
	vm.configStore.pause = func(context.Context, time.Duration) error {
		if pauses++; pauses%maxAttempts == 0 {
			return errNoMoreAttempts
		}
		return nil
	}
	vm.Register(vm)
	peers[id] = vm
	return vm
}

func (vm *fakeVM) Handle(m peer.Method, h peer.Handler) { vm.handlers[m] = h }

func (vm *fakeVM) Self() membership.Member {
	return membership.Member{ID: vm.id, Address: string(vm.id)}
}

func (vm *fakeVM) Members() []membership.Member {
	var members []membership.Member
	for _, other := range vm.peers {
		m := other.Self()
		if !vm.disconnected && !other.disconnected {
			m.Digest.Revision = other.source.Revision()
		}
		members = append(members, m)
	}
	return members
}

// Call implements peer.Caller. It encodes parameters and result as JSON like the peer link.
func (vm *fakeVM) Call(ctx context.Context, address string, m peer.Method, params, result any) error {
	other := vm.peers[address]
	if vm.disconnected || other == nil || other.disconnected {
		return &peer.Error{Code: peer.CodeTimeout, Message: "cut"}
	}
	sent, err := json.Marshal(params)
	if err != nil {
		return err
	}
	response, err := other.handlers[m](ctx, sent)
	if err != nil {
		return err
	}
	data, err := json.Marshal(response)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}
