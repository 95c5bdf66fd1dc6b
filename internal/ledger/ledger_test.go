package ledger

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
	"filbertcross/internal/partition"
	"filbertcross/internal/peer"
	"filbertcross/internal/proptest"
	"filbertcross/internal/verdict"
)

// execution is what a backend server did for a key: the oracle's truth.
type execution struct {
	fingerprint Fingerprint
	times       int
	answer      string
	at          time.Time
}

// stateMachine has senders on several VMs use a few keys while owners of their home
// come and go. The oracle: a key is executed at most once while it is kept, a
// recorded answer is the execution's, and a key is free only if nothing ran.
type stateMachine struct {
	clockMu          sync.Mutex // guards now against the hosts' goroutines
	now              time.Time
	storage          *fakeStorage
	peers            *fakePeers
	directory        *fakeDirectory
	router           *Router
	epoch            int
	retries          int // pauses of the router
	maxResponseBytes int // bytes of recorded answers kept
	dead             map[model.VMID]bool
	hosts            []*Host
	grants           []grant  // senders that hold the right to send
	background       []func() // what routers left for the background
	executions       map[string]*execution
	sent             int
}

type grant struct {
	key            string
	fingerprint    Fingerprint
	token          int64
	sent           bool
	reportedNotRun bool // told as not run; it may be told again
}

func newStateMachine(maxTotal int) *stateMachine {
	m := &stateMachine{
		maxResponseBytes: maxTotal,
		now:              time.Unix(1000, 0), storage: &fakeStorage{}, directory: &fakeDirectory{},
		peers: &fakePeers{handlers: map[string]map[peer.Method]peer.Handler{}},
		dead:  map[model.VMID]bool{}, executions: map[string]*execution{},
	}
	m.router = &Router{
		Layout:    func() (partition.Layout, bool) { return partition.Layout{KeyPartitions: 1}, true },
		Directory: m.directory, Caller: m.peers,
		Now:   func() time.Time { return m.now },
		Sleep: m.sleep,
	}
	m.router.Background = func(f func()) { m.background = append(m.background, f) }
	m.TakeOver(nil)
	return m
}

func (m *stateMachine) TakeOver(*rapid.T) {
	log, replay := m.storage.takeOver()
	limits := Limits{Retention: time.Hour, MaxKeys: 100, MaxResponseBytes: 100, MaxTotalResponseBytes: m.maxResponseBytes}
	host := NewHost(limits, func(vm model.VMID) bool { return m.dead[vm] },
		m.lockedNow, event.Discard{})
	if err := host.Open("k-0", log, replay); err != nil {
		panic(err)
	}
	m.epoch++
	m.hosts = append(m.hosts, host)
	m.directory.address = fmt.Sprint(m.epoch)
	handlers := handlerMap{}
	host.Register(handlers)
	m.peers.handlers[m.directory.address] = handlers
}

// flush waits for the records that are being logged.
func (m *stateMachine) flush() {
	for _, h := range m.hosts {
		h.Flush()
	}
}

// sleep lets time pass; a router that waits long enough learns of the newest owner.
func (m *stateMachine) sleep(ctx context.Context, d time.Duration) error {
	m.clockMu.Lock()
	m.now = m.now.Add(d)
	m.clockMu.Unlock()
	if m.retries++; m.retries%20 == 0 {
		m.directory.address = fmt.Sprint(m.epoch)
	}
	return ctx.Err()
}

// lockedNow is read by goroutines of the hosts.
func (m *stateMachine) lockedNow() time.Time {
	m.clockMu.Lock()
	defer m.clockMu.Unlock()
	return m.now
}

func (m *stateMachine) Misroute(t *rapid.T) {
	m.directory.address = fmt.Sprint(rapid.IntRange(max(1, m.epoch-2), m.epoch).Draw(t, "owner"))
}

func (m *stateMachine) Begin(t *rapid.T) {
	r := BeginRequest{Branch: "b", Key: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key"),
		VM:       model.VMID(rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "vm")),
		Deadline: m.now.Add(time.Minute)}
	r.Fingerprint[0] = byte(rapid.IntRange(0, 3).Draw(t, "print") / 3)
	result, err := m.router.Begin(context.Background(), r)
	m.flush()
	if err == nil {
		m.checkBegin(t, r, result)
	}
}

func (m *stateMachine) checkBegin(t *rapid.T, r BeginRequest, result BeginResult) {
	e := m.executions[r.Key]
	switch result.State {
	case Granted:
		if e != nil && m.now.Sub(e.at) <= time.Hour {
			t.Fatalf("key %s may run again after it ran", r.Key)
		}
		m.grants = append(m.grants, grant{key: r.Key, fingerprint: r.Fingerprint, token: result.Token})
	case Recorded:
		if e == nil || string(result.Response.Body) != e.answer || e.fingerprint != r.Fingerprint {
			t.Fatalf("key %s: recorded %q, executed %+v", r.Key, result.Response.Body, e)
		}
	}
}

// Abandon is a Begin whose caller leaves before the log answers.
func (m *stateMachine) Abandon(t *rapid.T) {
	ctx, cancel := context.WithCancel(context.Background())
	r := BeginRequest{Branch: "b", Key: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key"), Deadline: m.now.Add(time.Minute)}
	entered, ended := m.storage.blockAppends(), make(chan struct{})
	var result BeginResult
	var err error
	go func() {
		defer close(ended)
		result, err = m.router.Begin(ctx, r)
	}()
	select {
	case <-entered:
	case <-ended: // answered without the log
	}
	cancel()
	<-ended
	m.storage.releaseAll()
	m.flush()
	if err == nil {
		m.checkBegin(t, r, result)
	}
}

func (m *stateMachine) pickGrant(t *rapid.T) *grant {
	if len(m.grants) == 0 {
		t.Skip("nobody sends")
	}
	return &m.grants[rapid.IntRange(0, len(m.grants)-1).Draw(t, "run")]
}

// Send has the holder of a run send its request; a backend server executes it.
func (m *stateMachine) Send(t *rapid.T) {
	r := m.pickGrant(t)
	if r.sent || r.reportedNotRun {
		return
	}
	r.sent = true
	m.sent++
	e := m.executions[r.key]
	if e == nil || m.now.Sub(e.at) > time.Hour {
		e = &execution{fingerprint: r.fingerprint, at: m.now}
		m.executions[r.key] = e
	}
	e.times++
	e.answer = fmt.Sprintf("answer %d", m.sent)
	if e.times > 1 {
		t.Fatalf("key %s ran %d times", r.key, e.times)
	}
}

// Finish has the holder of a run tell the truth, or that it does not know.
func (m *stateMachine) Finish(t *rapid.T) {
	r := m.pickGrant(t)
	f := FinishRequest{Branch: "b", Key: r.key, Token: r.token, Verdict: verdict.NotRun}
	if r.sent {
		f.Verdict = verdict.Done
		f.Response = &Response{Status: 200, Body: []byte(m.executions[r.key].answer)}
	}
	if !r.reportedNotRun && rapid.IntRange(0, 3).Draw(t, "unknown") == 0 {
		f.Verdict, f.Response = verdict.MayHaveRun, nil
	}
	_ = m.router.Finish(context.Background(), f)
	m.flush()
	r.reportedNotRun = f.Verdict == verdict.NotRun && rapid.Bool().Draw(t, "again")
	if !r.reportedNotRun {
		m.removeGrant(r)
	}
}

func (m *stateMachine) removeGrant(r *grant) {
	i := 0
	for &m.grants[i] != r {
		i++
	}
	m.grants = append(m.grants[:i], m.grants[i+1:]...)
}

func (m *stateMachine) Crash(t *rapid.T) { m.removeGrant(m.pickGrant(t)) }

func (m *stateMachine) Pass(t *rapid.T) {
	d := time.Duration(rapid.SampledFrom([]int{1, 30, 90, 1800}).Draw(t, "s")) * time.Second
	m.now = m.now.Add(d)
	if d > time.Minute {
		m.grants = nil // a sender never sends after its deadline
	}
}

// Later runs the oldest work of the background.
func (m *stateMachine) Later(t *rapid.T) {
	if len(m.background) == 0 {
		t.Skip("nothing is left for later")
	}
	f := m.background[0]
	m.background = m.background[1:]
	f()
	m.flush()
}

func (m *stateMachine) Outage(*rapid.T) { m.storage.down = !m.storage.down }

func (m *stateMachine) Dead(t *rapid.T) {
	vm := model.VMID(rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "vm"))
	m.dead[vm] = !m.dead[vm]
}

func (m *stateMachine) Faults(t *rapid.T) {
	kinds := rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, refusedCall, requestLost, responseLost}), 0, 3)
	m.storage.faults = kinds.Draw(t, "log")
	m.peers.faults = kinds.Draw(t, "link")
}

func (m *stateMachine) Check(*rapid.T) {}

func TestAtMostOnce(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		for i := range 6 {
			actions := rapid.StateMachineActions(newStateMachine(100 * (i % 2)))
			actions["begin2"], actions["finish2"], actions["send2"] = actions["Begin"], actions["Finish"], actions["Send"]
			for name, action := range actions {
				actions[name] = func(t *rapid.T) { proptest.Step(); action(t) }
			}
			t.Repeat(actions)
		}
	})
}

// A caller that left has its key freed; until then a lost call of the same run
// must not be given the right to send.
func TestRunOfDisconnectedCallerIsNotGrantedAgain(t *testing.T) {
	m := newStateMachine(100)
	host := m.hosts[0]
	r := BeginRequest{Branch: "b", Key: "x", RunID: "one", Deadline: m.now.Add(time.Minute)}
	entered := m.storage.blockAppends()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() {
		_, err := host.Begin(ctx, "k-0", r)
		ended <- err
	}()
	<-entered
	cancel()
	if err := <-ended; err == nil {
		t.Fatal("begun before it was logged")
	}
	m.storage.releaseOne()
	<-entered // the record that frees the key
	if result, err := host.Begin(context.Background(), "k-0", r); err == nil && result.State == Granted {
		t.Fatal("run given again while its key is being freed")
	}
	m.storage.releaseAll()
	m.flush()
	if result, err := host.Begin(context.Background(), "k-0", r); err != nil || result.State != Granted {
		t.Fatalf("key not free: %+v, %v", result, err)
	}
}

// One key under concurrent callers: at most one of them gets Run.
func TestConcurrentBeginsGrantOneRun(t *testing.T) {
	m := newStateMachine(100)
	results := make(chan State, 50)
	for range cap(results) {
		go func() {
			r, err := m.hosts[0].Begin(context.Background(), "k-0", BeginRequest{Branch: "b", Key: "x", Deadline: m.now.Add(time.Minute)})
			if err != nil {
				r.State = InProgress
			}
			results <- r.State
		}()
	}
	runs := 0
	for range cap(results) {
		if <-results == Granted {
			runs++
		}
	}
	if runs != 1 {
		t.Fatalf("%d callers may run", runs)
	}
}

// A former owner's log takes nothing: the router waits for the new one.
func TestRouterRetriesDuringTakeover(t *testing.T) {
	m := newStateMachine(100)
	former := m.directory.address
	m.TakeOver(nil)
	m.directory.address = former
	r := BeginRequest{Branch: "b", Key: "x", Deadline: m.now.Add(time.Minute)}
	if result, err := m.router.Begin(context.Background(), r); err != nil || result.State != Granted {
		t.Fatalf("%+v, %v", result, err)
	}
}

// TestBeginWithLostResponsesFreesItsKey: a caller that was told not run because the answers
// to its Begin were lost can come back with the same key.
func TestBeginWithLostResponsesFreesItsKey(t *testing.T) {
	m := newStateMachine(100)
	m.peers.faults = slices.Repeat([]fault{responseLost}, 100)
	r := BeginRequest{Branch: "b", Key: "x", Deadline: m.now.Add(time.Minute)}
	if _, err := m.router.Begin(context.Background(), r); err == nil {
		t.Fatal("begun although every answer was lost")
	}
	m.peers.faults = nil
	for _, f := range m.background {
		f()
	}
	m.flush()
	r.Deadline = m.now.Add(time.Minute)
	if result, err := m.router.Begin(context.Background(), r); err != nil || result.State != Granted {
		t.Fatalf("the key is not free: %+v, %v", result, err)
	}
}

// TestFinishIsRecordedAfterOutage: an answer that the ledger could not take at once is
// there for a repeat after the outage.
func TestFinishIsRecordedAfterOutage(t *testing.T) {
	m := newStateMachine(100)
	r := BeginRequest{Branch: "b", Key: "x", Deadline: m.now.Add(time.Minute)}
	result, err := m.router.Begin(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	m.storage.down = true
	end := FinishRequest{Branch: "b", Key: "x", Token: result.Token, Verdict: verdict.Done, Response: &Response{Status: 200, Body: []byte("hall 204")}}
	if err := m.router.Finish(context.Background(), end); err == nil {
		t.Fatal("recorded in an outage")
	}
	m.flush()
	m.storage.down = false
	for _, f := range m.background {
		f()
	}
	m.flush()
	again, err := m.router.Begin(context.Background(), r)
	if err != nil || again.State != Recorded || string(again.Response.Body) != "hall 204" {
		t.Fatalf("%+v, %v; want the recorded answer", again, err)
	}
}
