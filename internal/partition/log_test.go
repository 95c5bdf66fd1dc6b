package partition

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertcross/internal/platform"
	"filbertcross/internal/proptest"
)

// logModel lets several VMs contend for one partition's log and checks three properties:
// every later replay contains all acknowledged records in order; no replay contains a
// record whose append was reported to have had no effect; no horizon lies beyond the time
// until which the next owner treats earlier leases as valid.
type logModel struct {
	store          *fakeStore
	now            time.Time
	logs           []*Log
	appends        int
	acknowledged   []string        // acknowledged records, in order
	notApplied     map[string]bool // records reported not to have taken effect
	records        map[*Log][]string
	priorLeasesEnd map[*Log]time.Time // when each owner treats the earlier leases as expired
}

// checkHorizons checks every owner's horizon against the waits of the owners after it.
func (m *logModel) checkHorizons(t *rapid.T) {
	for i, l := range m.logs {
		for _, previous := range m.logs[:i] {
			if previous.Horizon().After(m.priorLeasesEnd[l]) {
				t.Fatalf("horizon of epoch %d outlasts the wait of epoch %d", previous.Epoch(), l.Epoch())
			}
		}
	}
}

func (m *logModel) options(lead int) Options {
	return Options{Partition: "p", VM: "vm", Lead: time.Duration(lead) * time.Second, LogSlots: 16,
		Clock: func() time.Time { return m.now }, Sleep: noSleep}
}

func (m *logModel) takeOver(t *rapid.T) {
	l, replay, err := TakeOver(context.Background(), m.store, m.options(rapid.IntRange(1, 10).Draw(t, "lead")))
	if err != nil {
		return
	}
	var records []string
	if replay.Snapshot != nil {
		records, _ = decode[[]string](replay.Snapshot)
	}
	for _, r := range replay.Records {
		records = append(records, string(r))
	}
	m.checkReplay(t, records)
	m.logs = append(m.logs, l)
	m.priorLeasesEnd[l] = replay.TakenOverAt.Add(replay.PreviousLead)
	m.records[l] = records
	m.acknowledged = records // the replay resolves writes with unknown outcome
}

func (m *logModel) checkReplay(t *rapid.T, records []string) {
	at := 0
	for _, r := range records {
		if m.notApplied[r] {
			t.Fatalf("record %s was reported not to have taken effect; replayed %v", r, records)
		}
		if at < len(m.acknowledged) && m.acknowledged[at] == r {
			at++
		}
	}
	if at < len(m.acknowledged) {
		t.Fatalf("acknowledged %v, replayed %v", m.acknowledged, records)
	}
}

func (m *logModel) drawLog(t *rapid.T) *Log {
	if len(m.logs) == 0 {
		t.Skip("no owner yet")
	}
	back := rapid.IntRange(1, min(3, len(m.logs))).Draw(t, "back")
	return m.logs[len(m.logs)-back]
}

func (m *logModel) append(t *rapid.T) { m.appendTo(t, m.drawLog(t)) }

func (m *logModel) appendTo(t *rapid.T, l *Log) {
	m.appends++
	r := fmt.Sprintf("r%d", m.appends)
	err := l.Append(context.Background(), [][]byte{[]byte(r)})
	switch {
	case err == nil:
		if l.Epoch() < m.logs[len(m.logs)-1].Epoch() {
			t.Fatalf("epoch %d appended %s after a takeover", l.Epoch(), r)
		}
		m.acknowledged = append(m.acknowledged, r)
		m.records[l] = append(m.records[l], r)
	case !errors.Is(err, ErrOutcomeUnknown):
		m.notApplied[r] = true
	}
}

func (m *logModel) snapshot(l *Log) {
	_ = l.Snapshot(context.Background(), encode(m.records[l]), l.Position())
}

func TestLogKeepsAcknowledgedRecordsUnderContention(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		for range 10 {
			runLogModel(t)
		}
	})
}

func runLogModel(t *rapid.T) {
	m := &logModel{store: newFakeStore(), now: time.Unix(1000, 0),
		notApplied: map[string]bool{}, records: map[*Log][]string{}, priorLeasesEnd: map[*Log]time.Time{}}
	step := func(f func(*rapid.T)) func(*rapid.T) {
		return func(t *rapid.T) { proptest.CountStep(); f(t) }
	}
	t.Repeat(map[string]func(*rapid.T){
		"takeOver": step(m.takeOver),
		"append":   step(m.append),
		"race": step(func(t *rapid.T) {
			m.store.interruptAfter = rapid.IntRange(0, 5).Draw(t, "calls")
			m.store.interrupt = func() { m.append(t) }
			m.takeOver(t)
			m.store.interrupt = nil
		}),
		"flood": step(func(t *rapid.T) {
			for range rapid.IntRange(1, 20).Draw(t, "appends") {
				m.append(t)
			}
		}),
		"confirm":  step(func(t *rapid.T) { _ = m.drawLog(t).ConfirmOwnership(context.Background()) }),
		"release":  step(func(t *rapid.T) { _ = m.drawLog(t).Release(context.Background()) }),
		"snapshot": step(func(t *rapid.T) { m.snapshot(m.drawLog(t)) }),
		"cycle": step(func(t *rapid.T) {
			l := m.drawLog(t)
			for range 20 {
				m.appendTo(t, l)
				m.snapshot(l)
			}
		}),
		"pass": step(func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
		}),
		"faults": step(func(t *rapid.T) {
			m.store.faultPlan = rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, noFault, refused, answerLost, requestLost, delayed}), 0, 4).Draw(t, "plan")
		}),
		"":       m.checkHorizons,
		"land":   step(func(*rapid.T) { m.store.applyDelayedWrites() }),
		"outage": step(func(*rapid.T) { m.store.down = !m.store.down }),
	})
}

func TestSnapshotInPartsIsRestored(t *testing.T) {
	m := &logModel{store: newFakeStore(), now: time.Unix(1000, 0)}
	ctx := context.Background()
	l, _, err := TakeOver(ctx, m.store, m.options(1))
	if err != nil {
		t.Fatal(err)
	}
	for size := range []int{0, 1, 2} {
		data := slices.Repeat([]byte{byte(size)}, size*platform.MaxValueBytes+1)
		if err := l.Snapshot(ctx, data, l.Position()); err != nil {
			t.Fatal(err)
		}
		var replay Replay
		if l, replay, err = TakeOver(ctx, m.store, m.options(1)); err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(replay.Snapshot, data) {
			t.Fatalf("snapshot of %d bytes was restored with %d bytes", len(data), len(replay.Snapshot))
		}
	}
}

// A planned stop must not abort the write in flight.
func TestReleaseWaitsForWriteInFlight(t *testing.T) {
	m := &logModel{store: newFakeStore(), now: time.Unix(1000, 0)}
	l, _, err := TakeOver(context.Background(), m.store, m.options(1))
	if err != nil {
		t.Fatal(err)
	}
	released := make(chan error, 1)
	m.store.interruptAfter = 0
	m.store.interrupt = func() {
		go func() { released <- l.Release(context.Background()) }()
		for l.closedErr() == nil {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond) // time for a faulty Release to abort the write
	}
	if err := l.Append(context.Background(), [][]byte{[]byte("r")}); err != nil {
		t.Fatalf("append: %v", err)
	}
	if err := <-released; err != nil {
		t.Fatalf("release: %v", err)
	}
}

// Needs the race detector: the host reads the epoch while another goroutine releases the
// partition.
func TestEpochReadDuringReleaseIsRaceFree(t *testing.T) {
	l, _, err := TakeOver(context.Background(), newFakeStore(), Options{Partition: "p", VM: "vm", Lead: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	released := make(chan error)
	go func() { released <- l.Release(context.Background()) }()
	for range 1000 {
		if l.Epoch() != 1 {
			t.Fatalf("epoch %d, want 1", l.Epoch())
		}
	}
	if err := <-released; err != nil {
		t.Fatal(err)
	}
}
