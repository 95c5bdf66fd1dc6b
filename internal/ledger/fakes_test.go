package ledger

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/partition"
	"filbertcross/internal/peer"
	"filbertcross/internal/platform"
	"filbertcross/internal/verdict"
)

// fault is a fault injected into a call.
type fault int

const (
	noFault      fault = iota
	refusedCall        // no effect; the log returns a definite error, a peer call an unknown outcome
	requestLost        // no effect; the outcome is unknown to the caller
	responseLost       // took effect; the outcome is unknown to the caller
)

// fakeStorage is the stored state of one key partition.
type fakeStorage struct {
	mu       sync.Mutex
	epoch    int64
	records  [][]byte
	snapshot []byte
	through  int64 // number of records that the snapshot covers
	faults   []fault
	down     bool
	blocked  chan struct{} // if not nil, each append waits for a value or the close
	entered  chan struct{} // receives a value from each waiting append
}

// blockAppends makes appends wait for releaseOne or releaseAll. The returned channel
// receives a value for each append that waits.
func (s *fakeStorage) blockAppends() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocked, s.entered = make(chan struct{}), make(chan struct{}, 10)
	return s.entered
}

func (s *fakeStorage) releaseOne() { s.blocked <- struct{}{} }

func (s *fakeStorage) releaseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.blocked)
	s.blocked = nil
}

func (s *fakeStorage) waitIfBlocked() {
	s.mu.Lock()
	blocked, entered := s.blocked, s.entered
	s.mu.Unlock()
	if blocked != nil {
		entered <- struct{}{}
		<-blocked
	}
}

func (s *fakeStorage) nextFault() fault {
	if s.down {
		return refusedCall
	}
	if len(s.faults) == 0 {
		return noFault
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

// fakeLog is the log of a fakeStorage under one epoch.
type fakeLog struct {
	storage *fakeStorage
	epoch   int64
}

func (s *fakeStorage) takeOver() (*fakeLog, partition.Replay) {
	s.epoch++
	return &fakeLog{s, s.epoch}, partition.Replay{Snapshot: s.snapshot, Records: s.records[s.through:]}
}

func (l *fakeLog) Epoch() int64               { return l.epoch }
func (l *fakeLog) Stalled(time.Duration) bool { return false }

func (l *fakeLog) Position() int64 {
	l.storage.mu.Lock()
	defer l.storage.mu.Unlock()
	return int64(len(l.storage.records))
}

func (l *fakeLog) EntriesSinceSnapshot() (entries, limit int64) {
	l.storage.mu.Lock()
	defer l.storage.mu.Unlock()
	return int64(len(l.storage.records)) - l.storage.through, 6
}

func (l *fakeLog) Append(_ context.Context, records [][]byte) error {
	l.storage.waitIfBlocked()
	l.storage.mu.Lock()
	defer l.storage.mu.Unlock()
	f := l.storage.nextFault()
	switch {
	case l.epoch < l.storage.epoch:
		return partition.ErrOwnershipLost
	case f == refusedCall:
		return platform.ErrUnavailable
	case f == requestLost:
		return partition.ErrOutcomeUnknown
	}
	l.storage.records = append(l.storage.records, records...)
	if f == responseLost {
		return partition.ErrOutcomeUnknown
	}
	return nil
}

func (l *fakeLog) Snapshot(_ context.Context, data []byte, through int64) error {
	l.storage.mu.Lock()
	defer l.storage.mu.Unlock()
	if l.epoch < l.storage.epoch {
		return partition.ErrOwnershipLost
	}
	l.storage.snapshot, l.storage.through = data, through
	return nil
}

// fakePeers implements peer.Caller by calling the handlers of an address, with injected
// faults.
type fakePeers struct {
	handlers map[string]map[peer.Method]peer.Handler
	faults   []fault
}

// handlerMap implements peer.Registry for one address.
type handlerMap map[peer.Method]peer.Handler

func (r handlerMap) Handle(m peer.Method, h peer.Handler) { r[m] = h }

func (p *fakePeers) Call(ctx context.Context, address string, m peer.Method, params, result any) error {
	f := noFault
	if len(p.faults) > 0 {
		f, p.faults = p.faults[0], p.faults[1:]
	}
	lost := &peer.Error{Code: peer.CodeTimeout, Verdict: verdict.MayHaveRun}
	if f == refusedCall || f == requestLost {
		return lost
	}
	data, _ := json.Marshal(params)
	response, err := p.handlers[address][m](ctx, data)
	if f == responseLost {
		return lost
	}
	if err != nil {
		return err
	}
	data, _ = json.Marshal(response)
	return json.Unmarshal(data, result)
}

// fakeDirectory resolves every partition to one address, which may be that of a previous
// owner.
type fakeDirectory struct{ address string }

func (d *fakeDirectory) Owner(model.PartitionID) (string, bool, bool) {
	return d.address, false, d.address != ""
}
