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

// logMachine has several VMs contend for one partition's log. The oracle: every
// acknowledged record is in every later replay, in order; none that was said not
// to have taken effect is; no horizon reaches beyond the next owner's wait.
type logMachine struct {
	store *fakeStore
	now   time.Time
	logs  []*Log
	n     int
	done  []string        // acknowledged, in order
	never map[string]bool // said not to have taken effect
	state map[*Log][]string
	waits map[*Log]time.Time // when each owner takes the former leases as lapsed
}

// checkHorizons holds every owner's horizon against the waits of those after it.
func (m *logMachine) checkHorizons(t *rapid.T) {
	for i, l := range m.logs {
		for _, former := range m.logs[:i] {
			if former.Horizon().After(m.waits[l]) {
				t.Fatalf("horizon of epoch %d outlasts the wait of epoch %d", former.Epoch(), l.Epoch())
			}
		}
	}
}

func (m *logMachine) options(lead int) Options {
	return Options{Partition: "p", VM: "vm", Lead: time.Duration(lead) * time.Second, LogSlots: 16,
		Clock: func() time.Time { return m.now }, Sleep: noSleep}
}

func (m *logMachine) takeOver(t *rapid.T) {
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
	m.waits[l] = replay.TakenOverAt.Add(replay.PreviousLead)
	m.state[l] = records
	m.done = records // a write in doubt is settled by the replay
}

func (m *logMachine) checkReplay(t *rapid.T, records []string) {
	at := 0
	for _, r := range records {
		if m.never[r] {
			t.Fatalf("record %s was said not to have taken effect, replayed %v", r, records)
		}
		if at < len(m.done) && m.done[at] == r {
			at++
		}
	}
	if at < len(m.done) {
		t.Fatalf("acknowledged %v, replayed %v", m.done, records)
	}
}

func (m *logMachine) pick(t *rapid.T) *Log {
	if len(m.logs) == 0 {
		t.Skip("no owner yet")
	}
	back := rapid.IntRange(1, min(3, len(m.logs))).Draw(t, "back")
	return m.logs[len(m.logs)-back]
}

func (m *logMachine) append(t *rapid.T) { m.appendTo(t, m.pick(t)) }

func (m *logMachine) appendTo(t *rapid.T, l *Log) {
	m.n++
	r := fmt.Sprintf("r%d", m.n)
	err := l.Append(context.Background(), [][]byte{[]byte(r)})
	switch {
	case err == nil:
		if l.Epoch() < m.logs[len(m.logs)-1].Epoch() {
			t.Fatalf("epoch %d appended %s after a takeover", l.Epoch(), r)
		}
		m.done = append(m.done, r)
		m.state[l] = append(m.state[l], r)
	case !errors.Is(err, ErrOutcomeUnknown):
		m.never[r] = true
	}
}

func (m *logMachine) snapshot(l *Log) {
	_ = l.Snapshot(context.Background(), encode(m.state[l]), l.Position())
}

func TestLogUnderContention(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		for range 10 {
			runLogMachine(t)
		}
	})
}

func runLogMachine(t *rapid.T) {
	m := &logMachine{store: newFakeStore(), now: time.Unix(1000, 0),
		never: map[string]bool{}, state: map[*Log][]string{}, waits: map[*Log]time.Time{}}
	step := func(f func(*rapid.T)) func(*rapid.T) {
		return func(t *rapid.T) { proptest.Step(); f(t) }
	}
	t.Repeat(map[string]func(*rapid.T){
		"takeOver": step(m.takeOver),
		"append":   step(m.append),
		"race": step(func(t *rapid.T) {
			m.store.interruptIn = rapid.IntRange(0, 5).Draw(t, "calls")
			m.store.interrupt = func() { m.append(t) }
			m.takeOver(t)
			m.store.interrupt = nil
		}),
		"flood": step(func(t *rapid.T) {
			for range rapid.IntRange(1, 20).Draw(t, "appends") {
				m.append(t)
			}
		}),
		"confirm":  step(func(t *rapid.T) { _ = m.pick(t).ConfirmOwnership(context.Background()) }),
		"release":  step(func(t *rapid.T) { _ = m.pick(t).Release(context.Background()) }),
		"snapshot": step(func(t *rapid.T) { m.snapshot(m.pick(t)) }),
		"cycle": step(func(t *rapid.T) {
			l := m.pick(t)
			for range 20 {
				m.appendTo(t, l)
				m.snapshot(l)
			}
		}),
		"pass": step(func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
		}),
		"faults": step(func(t *rapid.T) {
			m.store.plan = rapid.SliceOfN(rapid.SampledFrom([]fault{none, none, refused, answerLost, requestLost, delayed}), 0, 4).Draw(t, "plan")
		}),
		"":       m.checkHorizons,
		"land":   step(func(*rapid.T) { m.store.land() }),
		"outage": step(func(*rapid.T) { m.store.down = !m.store.down }),
	})
}

func TestSnapshotInParts(t *testing.T) {
	m := &logMachine{store: newFakeStore(), now: time.Unix(1000, 0)}
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
			t.Fatalf("snapshot of %d bytes came back with %d", len(data), len(replay.Snapshot))
		}
	}
}

// A planned stop does not cut the write off that is out.
func TestReleaseWaitsForTheWriteThatIsOut(t *testing.T) {
	m := &logMachine{store: newFakeStore(), now: time.Unix(1000, 0)}
	l, _, err := TakeOver(context.Background(), m.store, m.options(1))
	if err != nil {
		t.Fatal(err)
	}
	released := make(chan error, 1)
	m.store.interruptIn = 0
	m.store.interrupt = func() {
		go func() { released <- l.Release(context.Background()) }()
		for l.closedErr() == nil {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond) // room for a wrong Release to cut it off
	}
	if err := l.Append(context.Background(), [][]byte{[]byte("r")}); err != nil {
		t.Fatalf("append: %v", err)
	}
	if err := <-released; err != nil {
		t.Fatalf("release: %v", err)
	}
}

// TestEpochIsReadDuringRelease needs the race detector: the host asks for the epoch
// while another goroutine releases the partition.
func TestEpochIsReadDuringRelease(t *testing.T) {
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
