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

// fault is what happens to a call.
type fault int

const (
	noFault      fault = iota
	refusedCall        // no effect, and said so
	requestLost        // no effect, the caller cannot know
	responseLost       // took effect, the caller cannot know
)

// fakeStorage is what the store keeps of one key partition.
type fakeStorage struct {
	mu       sync.Mutex
	epoch    int64
	records  [][]byte
	snapshot []byte
	through  int64
	faults   []fault
	down     bool
	blocked  chan struct{} // while set, appends wait until it is closed
	entered  chan struct{} // takes a value from each append that waits
}

// blockAppends has appends wait for letOne or letGo; the channel tells of each.
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
	hold, entered := s.blocked, s.entered
	s.mu.Unlock()
	if hold != nil {
		entered <- struct{}{}
		<-hold
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

// fakeLog is one epoch's hold of it.
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

// fakePeers is the link between VMs: hosts by address, with planned faults.
type fakePeers struct {
	handlers map[string]map[peer.Method]peer.Handler
	faults   []fault
}

// handlerMap takes the handlers of one address.
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
	answer, err := p.handlers[address][m](ctx, data)
	if f == responseLost {
		return lost
	}
	if err != nil {
		return err
	}
	data, _ = json.Marshal(answer)
	return json.Unmarshal(data, result)
}

// fakeDirectory names one owner, which may be a former one.
type fakeDirectory struct{ address string }

func (d *fakeDirectory) Owner(model.PartitionID) (string, bool, bool) {
	return d.address, false, d.address != ""
}
