package storehealth

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/verdict"
)

var (
	errNoResponse = &fleet.CallError{Op: "store commit", Verdict: verdict.MayHaveRun}
	errBusy       = &fleet.CallError{Op: "store commit", Status: 503, Verdict: verdict.NotRun}
)

// fakeStore responds after a latency, or rejects all calls if busy is set.
type fakeStore struct {
	latency atomic.Int64
	busy    atomic.Bool
	sent    atomic.Int64 // writes
}

func (s *fakeStore) Commit(ctx context.Context, _ fleet.Txn) (int64, error) {
	s.sent.Add(1)
	return 7, s.respond(ctx)
}

func (s *fakeStore) respond(ctx context.Context) error {
	if s.busy.Load() {
		return errBusy
	}
	select {
	case <-time.After(time.Duration(s.latency.Load())):
		return nil
	case <-ctx.Done():
		return errNoResponse
	}
}

func (s *fakeStore) monitor(onAnswer func()) *Monitor {
	return NewMonitor(s, s.respond, onAnswer, event.Discard{})
}

func write(m *Monitor, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	_, err := m.Commit(ctx, fleet.Txn{})
	return err
}

func TestMonitorPassesWritesToSlowStoreAndRejectsThemForSilentOne(t *testing.T) {
	s := &fakeStore{}
	s.latency.Store(int64(500 * time.Millisecond))
	m := s.monitor(nil)
	var group sync.WaitGroup
	for range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			if err := write(m, time.Second); err != nil {
				t.Errorf("write to a slow store: %v", err)
			}
		}()
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	s.latency.Store(int64(time.Hour))
	go func() { _ = write(m, 2*time.Second) }()
	time.Sleep(UnavailableAfter + 50*time.Millisecond)
	start := time.Now()
	if err := write(m, time.Second); !fleet.IsNotRun(err) || time.Since(start) > 100*time.Millisecond {
		t.Fatalf("write to a silent store: %v after %v, want a rejection at once", err, time.Since(start))
	}
}

// Load: interactive submissions arrive while the store stops answering. All but those of the first
// moments must be told truthfully that nothing was written, so that they can be sent again.
func TestFewWritesHaveUnknownOutcomeWhenStoreStopsAnswering(t *testing.T) {
	const writes, interval, maxUnknown = 60, 10 * time.Millisecond, 15
	s := &fakeStore{}
	s.latency.Store(int64(4 * time.Millisecond))
	m := s.monitor(nil)
	for range 20 {
		if err := write(m, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	s.latency.Store(int64(time.Hour))
	var group sync.WaitGroup
	var unknown atomic.Int64
	for range writes {
		group.Add(1)
		go func() {
			defer group.Done()
			if err := write(m, 2*time.Second); !fleet.IsNotRun(err) {
				unknown.Add(1)
			}
		}()
		time.Sleep(interval)
	}
	group.Wait()
	if n := unknown.Load(); n > maxUnknown {
		t.Fatalf("%d of %d writes have an unknown outcome, want at most %d", n, writes, maxUnknown)
	}
}

// A store that rejects calls is told from one that does not respond: nothing needs to be held back.
func TestRejectingStoreDoesNotHoldWritesBack(t *testing.T) {
	s := &fakeStore{}
	s.busy.Store(true)
	m := s.monitor(nil)
	for begin := time.Now(); time.Since(begin) < 500*time.Millisecond; time.Sleep(20 * time.Millisecond) {
		start := time.Now()
		if err := write(m, time.Second); !fleet.IsNotRun(err) || time.Since(start) > 30*time.Millisecond {
			t.Fatalf("write to a busy store: %v after %v", err, time.Since(start))
		}
	}
}

// Probes that were sent during an outage are never answered and must not delay the next ones.
func TestEndOfOutageIsNoticedAtOnce(t *testing.T) {
	const noticedWithin = 2 * probeInterval
	s := &fakeStore{}
	s.latency.Store(int64(time.Hour))
	answered := make(chan struct{}, 1)
	m := s.monitor(func() { answered <- struct{}{} })
	_ = write(m, UnavailableAfter+50*time.Millisecond)
	if m.Available() {
		t.Fatal("a silent store counts as available")
	}
	time.Sleep(300 * time.Millisecond)
	s.latency.Store(int64(4 * time.Millisecond))
	select {
	case <-answered:
	case <-time.After(noticedWithin):
		t.Fatalf("not noticed within %v", noticedWithin)
	}
	if err := write(m, time.Second); err != nil {
		t.Fatal(err)
	}
}
