package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// machine is the hardware of executors, one life of which runs on it at a time, at one address.
type machine struct {
	world   *world
	name    string
	address string
	rack    string
	cpu     int64

	mu      sync.Mutex
	life    *life // nil: down
	upkeep  bool
	server  *http.Server
	conns   map[net.Conn]struct{}
	crashes int
}

// life is one executor.
type life struct {
	machine *machine
	id      string
	born    int64
	started time.Time
	fence   int64
	holdEnd time.Time
	heldAt  time.Time // the last order that extended the lease
	lapsed  bool
	holds   int
	runs    map[string]*run
	highest map[string]int64
	ended   []ended
	lastEnd int64
	changed chan struct{}
	over    chan struct{}
	dead    bool
	silence time.Time // when it was last heard
}

type run struct {
	task    string
	number  int64
	spec    string
	life    *life
	started time.Time
	stopAt  time.Time
	how     string // once it has ended
}

type ended struct {
	number int64
	task   string
	run    int64
	how    string
}

func (w *world) addMachine(cpu int64) (*machine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := len(w.machines)
	m := &machine{world: w, name: fmt.Sprintf("m-%d", i+1), address: l.Addr().String(), rack: fmt.Sprintf("r-%d", i/4), cpu: cpu, conns: map[net.Conn]struct{}{}}
	w.machines = append(w.machines, m)
	m.begin(l)
	return m, nil
}

// begin starts a life on the machine, which listens on l. It has an id of its own.
func (m *machine) begin(l net.Listener) {
	w := m.world
	w.mu.Lock()
	w.nextLife++
	id := fmt.Sprintf("i-%04d", w.nextLife)
	w.mu.Unlock()
	e := &life{machine: m, id: id, born: time.Now().UnixMilli(), started: time.Now(), runs: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}), over: make(chan struct{})}
	server := &http.Server{Handler: e, ConnState: func(c net.Conn, s http.ConnState) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if s == http.StateNew {
			m.conns[c] = struct{}{}
		} else if s == http.StateClosed {
			delete(m.conns, c)
		}
	}}
	m.mu.Lock()
	m.life, m.upkeep, m.server = e, false, server
	m.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.note("executor %s begins on %s at %s", id, m.name, m.address)
	go e.live()
}

// end ends the life on the machine and resets its channels. Its entry stays until it has been silent for entryExpiry.
func (m *machine) end(how string) *life {
	m.mu.Lock()
	e, server := m.life, m.server
	m.life = nil
	conns := m.conns
	m.conns = map[net.Conn]struct{}{}
	m.mu.Unlock()
	if e == nil {
		return nil
	}
	w := m.world
	w.mu.Lock()
	e.dead = true
	w.noteLocked("executor %s on %s ends: %s", e.id, m.name, how)
	for _, r := range sortedRuns(e.runs) {
		w.runEndsLocked(r, how)
	}
	close(e.over)
	silence := e.silence
	w.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = server.Close()
	time.AfterFunc(time.Until(silence.Add(entryExpiry)), func() {
		w.store.Delete("servers/" + e.id)
		w.note("the entry of %s is removed", e.id)
	})
	return e
}

func sortedRuns(runs map[string]*run) []*run {
	var list []*run
	for _, r := range runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return strings.Compare(a.task, b.task) })
	return list
}

// crash ends the life on the machine; another begins after a time, at the same address.
func (m *machine) crash(down time.Duration) {
	m.mu.Lock()
	m.crashes++
	m.mu.Unlock()
	m.end("crash")
	time.AfterFunc(down, m.restart)
}

func (m *machine) restart() {
	for range 100 {
		l, err := net.Listen("tcp", m.address)
		if err == nil {
			m.begin(l)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	m.world.note("%s cannot listen again", m.name)
}

// maintain begins the upkeep of the machine and reports false if it is not up.
func (m *machine) maintain() bool {
	m.mu.Lock()
	if m.life == nil {
		m.mu.Unlock()
		return false
	}
	m.upkeep = true
	m.mu.Unlock()
	m.end("upkeep")
	time.AfterFunc(maintenance, m.restart)
	return true
}

func (m *machine) closeAll() {
	m.mu.Lock()
	server := m.server
	m.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

func (m *machine) current() *life {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life
}

func (m *machine) listEntry() map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, id := "up", ""
	switch {
	case m.life != nil:
		id = m.life.id
	case m.upkeep:
		state = "upkeep"
	default:
		state = "down"
	}
	return map[string]any{"machine": m.name, "pool": poolName, "state": state, "zone": "zone-a", "labels": []string{"a", m.rack}, "capacity": m.capacity(), "id": id}
}

func (m *machine) capacity() map[string]int64 {
	return map[string]int64{"cpu": m.cpu, "mem-mb": 131072, "gpu": 0}
}

// live registers the executor, and ends its runs at their time.
func (e *life) live() {
	w, m := e.machine.world, e.machine
	value, _ := json.Marshal(map[string]any{
		"service": poolName, "address": m.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
		"capacity": m.capacity(), "labels": []string{"a", m.rack}, "born": e.born, "sequence": 1, "machine": m.name,
	})
	w.store.Put("servers/"+e.id, value)
	next := time.Now()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-e.over:
			return
		case <-ticker.C:
		}
		now := time.Now()
		w.mu.Lock()
		if now.After(next) {
			e.silence, next = now, now.Add(heartbeat)
		}
		for _, r := range e.runs {
			if how := r.outcome(now); how != "" {
				if how == "lapsed" && !e.lapsed {
					e.lapsed = true
					w.noteLocked("the lease of %s lapses with %d runs; the last order that extended it came %v before; %d calls of /hold came in its life", e.id, len(e.runs), now.Sub(e.heldAt).Round(time.Millisecond), e.holds)
				}
				e.finishLocked(r, how)
			}
			if r.spec == "lasts" {
				w.updateWorkLocked(r.task)
			}
		}
		w.mu.Unlock()
	}
}

// outcome returns how a run ends now, empty if it goes on. The spec says how long it takes.
func (r *run) outcome(now time.Time) string {
	switch {
	case now.After(r.life.holdEnd):
		return "lapsed"
	case !r.stopAt.IsZero() && now.After(r.stopAt):
		return "stopped"
	case r.spec == "lasts":
		return ""
	}
	ms, _ := strconv.Atoi(strings.TrimPrefix(r.spec, "ms="))
	if now.Sub(r.started) >= time.Duration(ms)*time.Millisecond {
		return "done"
	}
	return ""
}

func (r *run) percent(now time.Time) int {
	total := startupTime
	if r.spec != "lasts" {
		ms, _ := strconv.Atoi(strings.TrimPrefix(r.spec, "ms="))
		total = time.Duration(ms) * time.Millisecond
	}
	p := int(100 * now.Sub(r.started) / total)
	if r.spec == "lasts" {
		return min(p, 100)
	}
	return min(p, 99)
}

// finishLocked lists the end of a run.
func (e *life) finishLocked(r *run, how string) {
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.lastEnd++
	e.ended = append(e.ended, ended{e.lastEnd, r.task, r.number, how})
	e.machine.world.runEndsLocked(r, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// ServeHTTP carries out an order.
func (e *life) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		respond(rw, http.StatusOK, nil)
		return
	}
	var order struct {
		Task     string `json:"task"`
		Run      int64  `json:"run"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadline-ms"`
		Fence    int64  `json:"fence-token"`
		LastSeen int64  `json:"last-seen"`
		Wait     int64  `json:"wait-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		respond(rw, http.StatusBadRequest, nil)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		respond(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	w := e.machine.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.dead {
		panic(http.ErrAbortHandler)
	}
	if order.Fence < e.fence {
		respond(rw, http.StatusConflict, e.body(map[string]any{"reason": "fence"}))
		return
	}
	e.fence = order.Fence
	switch r.URL.Path {
	case "/run-start":
		reason := e.startLocked(order.Task, order.Run, order.Spec, order.Deadline)
		if !isBulk(order.Task) {
			w.noteLocked("%s is told to start %s run %d: %s", e.id, order.Task, order.Run, or(reason, "200"))
		}
		if reason != "" {
			respond(rw, http.StatusConflict, e.body(map[string]any{"reason": reason}))
			return
		}
		respond(rw, http.StatusOK, e.body(nil))
	case "/run-stop":
		if x := e.runs[order.Task]; x != nil && x.number <= order.Run && x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(50 * time.Millisecond)
		}
		e.highest[order.Task] = max(e.highest[order.Task], order.Run)
		w.noteLocked("%s is told to stop %s run %d", e.id, order.Task, order.Run)
		respond(rw, http.StatusOK, e.body(nil))
	case "/pace":
		respond(rw, http.StatusOK, e.body(nil))
	case "/hold":
		e.holds++
		e.extend(order.Deadline)
		e.ended = slices.DeleteFunc(e.ended, func(x ended) bool { return x.number <= order.LastSeen })
		if len(e.ended) == 0 && order.Wait > 0 {
			changed := e.changed
			w.mu.Unlock()
			select {
			case <-changed:
			case <-e.over:
			case <-time.After(time.Duration(order.Wait) * time.Millisecond):
			case <-r.Context().Done():
			}
			w.mu.Lock()
			if e.dead {
				panic(http.ErrAbortHandler)
			}
		}
		running, list := [][]any{}, [][]any{}
		now := time.Now()
		for _, x := range e.runs {
			running = append(running, []any{x.task, x.number, "", x.percent(now), 0})
		}
		for _, x := range e.ended[:min(len(e.ended), 500)] {
			list = append(list, []any{x.number, x.task, x.run, x.how, ""})
		}
		body := e.body(map[string]any{"running": running, "ended": list})
		w.mu.Unlock()
		respond(rw, http.StatusOK, body)
		w.mu.Lock()
	default:
		respond(rw, http.StatusNotFound, nil)
	}
}

func or(a, b string) string {
	if a == "" {
		return b
	}
	return a
}

func (e *life) clock() int64 { return time.Since(e.started).Milliseconds() + 1000 }

func (e *life) body(fields map[string]any) map[string]any {
	if fields == nil {
		fields = map[string]any{}
	}
	fields["clock-ms"], fields["born"] = e.clock(), e.born
	return fields
}

// extend extends the lease of all that runs, at most to maxHold.
func (e *life) extend(deadline int64) {
	if deadline <= 0 {
		return
	}
	until := time.Now().Add(min(time.Duration(deadline-e.clock())*time.Millisecond, maxHold))
	if until.After(e.holdEnd) {
		e.holdEnd, e.heldAt, e.lapsed = until, time.Now(), false
	}
}

func (e *life) startLocked(task string, number int64, spec string, deadline int64) (reason string) {
	x := e.runs[task]
	switch {
	case x != nil && x.number == number:
		return ""
	case x != nil || number <= e.highest[task]:
		return "old"
	case deadline < e.clock():
		return "late"
	}
	e.extend(deadline)
	r := &run{task: task, number: number, spec: spec, life: e, started: time.Now()}
	e.runs[task] = r
	e.machine.world.runBeginsLocked(r)
	return ""
}
