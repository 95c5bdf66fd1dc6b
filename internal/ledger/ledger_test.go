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

// execution is the execution of a key's request by a backend server.
type execution struct {
	fingerprint Fingerprint
	times       int
	response    string
	at          time.Time
}

// stateMachine drives senders on several VMs that use a few keys, while the ownership of
// the key partition moves. It checks that a key is executed at most once during its
// retention, that a recorded response is the one of the execution, and that a key is
// granted only if it was not executed.
//
// The exported methods are the actions. rapid draws them by position in the sorted names, so
// a renamed action changes the sequence that a seed gives.
type stateMachine struct {
	clockMu               sync.Mutex // guards now, which the hosts' goroutines read
	now                   time.Time
	storage               *fakeStorage
	peers                 *fakePeers
	directory             *fakeDirectory
	router                *Router
	epoch                 int
	retries               int // retry delays of the router
	maxTotalResponseBytes int // limit of all recorded responses
	dead                  map[model.VMID]bool
	hosts                 []*Host
	grants                []grant  // rights to send that are in use
	background            []func() // functions passed to Router.Background
	executions            map[string]*execution
	sent                  int
}

type grant struct {
	key            string
	fingerprint    Fingerprint
	token          int64
	sent           bool
	reportedNotRun bool // finished as not run; the finish may be repeated
}

func newStateMachine(maxTotalResponseBytes int) *stateMachine {
	m := &stateMachine{
		maxTotalResponseBytes: maxTotalResponseBytes,
		now:                   time.Unix(1000, 0), storage: &fakeStorage{}, directory: &fakeDirectory{},
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

// TakeOver opens the partition on a new host under the next epoch.
func (m *stateMachine) TakeOver(*rapid.T) {
	log, replay := m.storage.takeOver()
	limits := Limits{Retention: time.Hour, MaxKeys: 100, MaxResponseBytes: 100, MaxTotalResponseBytes: m.maxTotalResponseBytes}
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

// flush waits until all records in flight are logged.
func (m *stateMachine) flush() {
	for _, h := range m.hosts {
		h.Flush()
	}
}

// sleep advances the clock. Every 20th retry delay updates the directory to the current
// owner.
func (m *stateMachine) sleep(ctx context.Context, d time.Duration) error {
	m.clockMu.Lock()
	m.now = m.now.Add(d)
	m.clockMu.Unlock()
	if m.retries++; m.retries%20 == 0 {
		m.directory.address = fmt.Sprint(m.epoch)
	}
	return ctx.Err()
}

// lockedNow returns the time; the hosts' goroutines call it.
func (m *stateMachine) lockedNow() time.Time {
	m.clockMu.Lock()
	defer m.clockMu.Unlock()
	return m.now
}

// Misroute makes the directory return one of the last three owners.
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
			t.Fatalf("key %s granted again after it was executed", r.Key)
		}
		m.grants = append(m.grants, grant{key: r.Key, fingerprint: r.Fingerprint, token: result.Token})
	case Recorded:
		if e == nil || string(result.Response.Body) != e.response || e.fingerprint != r.Fingerprint {
			t.Fatalf("key %s: recorded response %q, execution %+v", r.Key, result.Response.Body, e)
		}
	}
}

// Abandon cancels a Begin before its append completes.
func (m *stateMachine) Abandon(t *rapid.T) {
	ctx, cancel := context.WithCancel(context.Background())
	r := BeginRequest{Branch: "b", Key: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key"), Deadline: m.now.Add(time.Minute)}
	entered, returned := m.storage.blockAppends(), make(chan struct{})
	var result BeginResult
	var err error
	go func() {
		defer close(returned)
		result, err = m.router.Begin(ctx, r)
	}()
	select {
	case <-entered:
	case <-returned: // returned without an append
	}
	cancel()
	<-returned
	m.storage.releaseAll()
	m.flush()
	if err == nil {
		m.checkBegin(t, r, result)
	}
}

func (m *stateMachine) pickGrant(t *rapid.T) *grant {
	if len(m.grants) == 0 {
		t.Skip("no grants")
	}
	return &m.grants[rapid.IntRange(0, len(m.grants)-1).Draw(t, "run")]
}

// Send sends the request of a granted run; a backend server executes it.
func (m *stateMachine) Send(t *rapid.T) {
	g := m.pickGrant(t)
	if g.sent || g.reportedNotRun {
		return
	}
	g.sent = true
	m.sent++
	e := m.executions[g.key]
	if e == nil || m.now.Sub(e.at) > time.Hour {
		e = &execution{fingerprint: g.fingerprint, at: m.now}
		m.executions[g.key] = e
	}
	e.times++
	e.response = fmt.Sprintf("answer %d", m.sent)
	if e.times > 1 {
		t.Fatalf("key %s executed %d times", g.key, e.times)
	}
}

// Finish reports the actual outcome of a granted run, or an unknown outcome.
func (m *stateMachine) Finish(t *rapid.T) {
	g := m.pickGrant(t)
	f := FinishRequest{Branch: "b", Key: g.key, Token: g.token, Verdict: verdict.NotRun}
	if g.sent {
		f.Verdict = verdict.Done
		f.Response = &Response{Status: 200, Body: []byte(m.executions[g.key].response)}
	}
	if !g.reportedNotRun && rapid.IntRange(0, 3).Draw(t, "unknown") == 0 {
		f.Verdict, f.Response = verdict.MayHaveRun, nil
	}
	_ = m.router.Finish(context.Background(), f)
	m.flush()
	g.reportedNotRun = f.Verdict == verdict.NotRun && rapid.Bool().Draw(t, "again")
	if !g.reportedNotRun {
		m.removeGrant(g)
	}
}

func (m *stateMachine) removeGrant(g *grant) {
	i := 0
	for &m.grants[i] != g {
		i++
	}
	m.grants = append(m.grants[:i], m.grants[i+1:]...)
}

// Crash removes a grant whose sender crashed.
func (m *stateMachine) Crash(t *rapid.T) { m.removeGrant(m.pickGrant(t)) }

// Pass advances the clock.
func (m *stateMachine) Pass(t *rapid.T) {
	d := time.Duration(rapid.SampledFrom([]int{1, 30, 90, 1800}).Draw(t, "s")) * time.Second
	m.now = m.now.Add(d)
	if d > time.Minute {
		m.grants = nil // a request is not sent after its deadline
	}
}

// Later runs the oldest background function.
func (m *stateMachine) Later(t *rapid.T) {
	if len(m.background) == 0 {
		t.Skip("no background functions")
	}
	f := m.background[0]
	m.background = m.background[1:]
	f()
	m.flush()
}

// Outage starts or ends an outage of the store.
func (m *stateMachine) Outage(*rapid.T) { m.storage.down = !m.storage.down }

// Dead marks a VM as dead or as alive again.
func (m *stateMachine) Dead(t *rapid.T) {
	vm := model.VMID(rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "vm"))
	m.dead[vm] = !m.dead[vm]
}

// Faults replaces the faults of the next calls to the log and to peers.
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
				actions[name] = func(t *rapid.T) { proptest.CountStep(); action(t) }
			}
			t.Repeat(actions)
		}
	})
}

// The caller of Begin disconnects before its record is logged, so the key is freed once
// the record is. Until then a retry of the same run must not be granted.
func TestRunOfDisconnectedCallerIsNotGrantedAgain(t *testing.T) {
	m := newStateMachine(100)
	host := m.hosts[0]
	r := BeginRequest{Branch: "b", Key: "x", RunID: "one", Deadline: m.now.Add(time.Minute)}
	entered := m.storage.blockAppends()
	ctx, cancel := context.WithCancel(context.Background())
	returned := make(chan error)
	go func() {
		_, err := host.Begin(ctx, "k-0", r)
		returned <- err
	}()
	<-entered
	cancel()
	if err := <-returned; err == nil {
		t.Fatal("begin succeeded before its record was logged")
	}
	m.storage.releaseOne()
	<-entered // the record that frees the key
	if result, err := host.Begin(context.Background(), "k-0", r); err == nil && result.State == Granted {
		t.Fatal("run was granted again while its key was being freed")
	}
	m.storage.releaseAll()
	m.flush()
	if result, err := host.Begin(context.Background(), "k-0", r); err != nil || result.State != Granted {
		t.Fatalf("key was not freed: %+v, %v", result, err)
	}
}

// Of concurrent Begins with the same key exactly one is granted.
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
		t.Fatalf("%d callers were granted the run, want 1", runs)
	}
}

// The directory still names the previous owner, whose log rejects appends: the router
// retries until it reaches the new owner.
func TestRouterRetriesDuringTakeover(t *testing.T) {
	m := newStateMachine(100)
	previous := m.directory.address
	m.TakeOver(nil)
	m.directory.address = previous
	r := BeginRequest{Branch: "b", Key: "x", Deadline: m.now.Add(time.Minute)}
	if result, err := m.router.Begin(context.Background(), r); err != nil || result.State != Granted {
		t.Fatalf("%+v, %v", result, err)
	}
}

// All responses to a Begin are lost, so its caller receives "not run". The key must be free
// when the caller retries.
func TestBeginWithLostResponsesFreesItsKey(t *testing.T) {
	m := newStateMachine(100)
	m.peers.faults = slices.Repeat([]fault{responseLost}, 100)
	r := BeginRequest{Branch: "b", Key: "x", Deadline: m.now.Add(time.Minute)}
	if _, err := m.router.Begin(context.Background(), r); err == nil {
		t.Fatal("begin succeeded although every response was lost")
	}
	m.peers.faults = nil
	for _, f := range m.background {
		f()
	}
	m.flush()
	r.Deadline = m.now.Add(time.Minute)
	if result, err := m.router.Begin(context.Background(), r); err != nil || result.State != Granted {
		t.Fatalf("key was not freed: %+v, %v", result, err)
	}
}

// A response that cannot be recorded during a store outage is recorded in the background
// after it, and a duplicate request receives it.
func TestFinishIsRecordedAfterOutage(t *testing.T) {
	m := newStateMachine(100)
	r := BeginRequest{Branch: "b", Key: "x", Deadline: m.now.Add(time.Minute)}
	result, err := m.router.Begin(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	m.storage.down = true
	finish := FinishRequest{Branch: "b", Key: "x", Token: result.Token, Verdict: verdict.Done, Response: &Response{Status: 200, Body: []byte("hall 204")}}
	if err := m.router.Finish(context.Background(), finish); err == nil {
		t.Fatal("finish succeeded during the outage")
	}
	m.flush()
	m.storage.down = false
	for _, f := range m.background {
		f()
	}
	m.flush()
	duplicate, err := m.router.Begin(context.Background(), r)
	if err != nil || duplicate.State != Recorded || string(duplicate.Response.Body) != "hall 204" {
		t.Fatalf("%+v, %v; want the recorded response", duplicate, err)
	}
}

// evictionRecorder adds up the evicted responses of the events.
type evictionRecorder struct{ evicted int }

func (r *evictionRecorder) Record(def *event.Definition, values ...any) {
	if def == event.LedgerEvicted {
		r.evicted += values[1].(int)
	}
}

// Three responses of 40 bytes do not fit into 100 bytes: the eviction of the oldest is
// recorded once.
func TestEarlyEvictionIsRecorded(t *testing.T) {
	m := newStateMachine(100)
	recorder := &evictionRecorder{}
	m.hosts[0].recorder = recorder
	for _, key := range []string{"x", "y", "z"} {
		result, err := m.router.Begin(context.Background(), BeginRequest{Branch: "b", Key: key, Deadline: m.now.Add(time.Minute)})
		if err != nil {
			t.Fatal(err)
		}
		finish := FinishRequest{Branch: "b", Key: key, Token: result.Token, Verdict: verdict.Done, Response: &Response{Status: 200, Body: make([]byte, 40)}}
		if err := m.router.Finish(context.Background(), finish); err != nil {
			t.Fatal(err)
		}
		m.flush()
	}
	if recorder.evicted != 1 {
		t.Errorf("%d evictions recorded, want 1", recorder.evicted)
	}
}
