package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Behaviour of executors according to PROTOCOL.md.
const (
	maxEndsPerResponse = 500
	maxHold            = 6 * time.Second
	stopTime           = 100 * time.Millisecond // below stop-timeout-ms
	heartbeat          = 1500 * time.Millisecond
	silentHeartbeats   = 3 // after which the platform removes an entry
	restartDelay       = 2 * time.Second
)

// spec is the decoded spec of a task: space-separated words "ms=N" (work), "lasts" (until it is stopped) and "fails=N" (the
// first N runs of each task whose index is divisible by 4 end as failed).
type spec struct {
	work  time.Duration
	lasts bool
	fails int
}

func parseSpec(text string) spec {
	var s spec
	for _, word := range strings.Fields(text) {
		name, value, _ := strings.Cut(word, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "ms":
			s.work = time.Duration(n) * time.Millisecond
		case "lasts":
			s.lasts = true
		case "fails":
			s.fails = n
		}
	}
	return s
}

// observer is told what executors see. Its methods are called with the executor's lock held.
type observer interface {
	started(e *executor, r *taskRun)
	ended(e *executor, r *taskRun, how string)
	acknowledged(e *executor, end endedRun)
	crashed(e *executor)
}

// executor is one executor of a machine, in successive lives at one address.
type executor struct {
	machine, service, rack, address string
	cpu                             int64
	platform                        *platform

	mu        sync.Mutex
	id        string
	life      int
	up        bool
	draining  bool
	born      int64
	startedAt time.Time
	fence     int64
	leaseEnd  time.Time
	runs      map[string]*taskRun
	highest   map[string]int64
	ends      []endedRun
	lastEnd   int64
	change    chan struct{} // closed at the next end
	beatAt    time.Time
	sequence  int64
	server    *http.Server
	closed    bool
}

type taskRun struct {
	task      string
	run       int64
	spec      spec
	startedAt time.Time
	stopAt    time.Time // zero: not to be stopped
	fails     bool
	// work is the work done up to workAt, and pace the percent at which it goes on.
	work   time.Duration
	workAt time.Time
	pace   int
}

// advance adds the work since the last call.
func (r *taskRun) advance(now time.Time) {
	r.work += now.Sub(r.workAt) * time.Duration(r.pace) / 100
	r.workAt = now
}

type endedRun struct {
	number int64
	task   string
	run    int64
	how    string
	lapsed bool // the lease lapsed between this end and its acknowledgement
}

func newExecutor(p *platform, machine, id, service, rack string, cpu int64) (*executor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &executor{machine: machine, id: id, service: service, rack: rack, address: l.Addr().String(), cpu: cpu, platform: p, change: make(chan struct{})}
	e.begin()
	e.serve(l)
	go e.loop()
	return e, nil
}

// begin starts a life. The caller holds mu, except in newExecutor.
func (e *executor) begin() {
	e.life++
	e.up, e.draining = true, false
	e.startedAt = time.Now()
	e.born = e.startedAt.UnixMilli()
	e.fence, e.leaseEnd, e.ends, e.lastEnd = 0, time.Time{}, nil, 0
	e.runs, e.highest = map[string]*taskRun{}, map[string]int64{}
	e.beatAt = time.Time{}
}

func (e *executor) serve(l net.Listener) {
	e.server = &http.Server{Handler: e}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
}

// endLife ends the life at once: all channels break, all that runs is lost, and nothing is sent. The caller holds mu.
func (e *executor) endLife() {
	if !e.up {
		return
	}
	e.up = false
	e.platform.rec.log("executor %s (machine %s) is down with %d runs", e.id, e.machine, len(e.runs))
	for _, r := range e.runs {
		e.platform.observer.ended(e, r, "lost")
	}
	e.platform.observer.crashed(e)
	e.runs = map[string]*taskRun{}
	close(e.change)
	e.change = make(chan struct{})
	server := e.server
	go func() { _ = server.Close() }()
}

// restart begins a new life at the same address, under a new id if id is not empty.
func (e *executor) restart(id string) {
	var l net.Listener
	for range 100 {
		var err error
		if l, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if l == nil || e.closed || e.up {
		return
	}
	if id != "" {
		e.id = id
	}
	e.begin()
	e.platform.rec.log("executor %s (machine %s) is up", e.id, e.machine)
	e.serve(l)
}

func (e *executor) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	_ = e.server.Close()
}

// clock returns the executor's steady clock in ms.
func (e *executor) clock() int64 { return time.Since(e.startedAt).Milliseconds() + 1000 }

func (e *executor) loop() {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for range ticker.C {
		e.mu.Lock()
		if e.closed {
			e.mu.Unlock()
			return
		}
		if e.up {
			now := time.Now()
			e.endRuns(now)
			if now.Sub(e.beatAt) >= heartbeat && e.platform.heartbeat(e) {
				e.beatAt = now
			}
		}
		e.mu.Unlock()
	}
}

// endRuns ends the runs that are over. The caller holds mu.
func (e *executor) endRuns(now time.Time) {
	lapsed := now.After(e.leaseEnd)
	if lapsed {
		for i := range e.ends {
			e.ends[i].lapsed = true
		}
	}
	for _, r := range e.runs {
		r.advance(now)
		switch {
		case lapsed:
			e.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			e.end(r, "stopped")
		case r.spec.lasts || r.work < r.spec.work:
		case r.fails:
			e.end(r, "failed")
		default:
			e.end(r, "done")
		}
	}
}

// end lists the end of a run. The caller holds mu.
func (e *executor) end(r *taskRun, how string) {
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.run)
	e.lastEnd++
	e.ends = append(e.ends, endedRun{number: e.lastEnd, task: r.task, run: r.run, how: how})
	e.platform.observer.ended(e, r, how)
	close(e.change)
	e.change = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    int64  `json:"fence-token"`
	Ticket   string `json:"ticket"`
	LastSeen int64  `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
	Percent  int    `json:"percent"`
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	e.mu.Lock()
	life := e.life
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		e.mu.Unlock()
		respond(w, http.StatusMisdirectedRequest, nil)
		return
	}
	status, body := e.execute(r, o)
	alive := e.up && e.life == life
	e.mu.Unlock()
	if !alive {
		panic(http.ErrAbortHandler)
	}
	respond(w, status, body)
}

// execute carries out an order. The caller holds mu.
func (e *executor) execute(r *http.Request, o order) (int, any) {
	if !e.up {
		return http.StatusServiceUnavailable, nil
	}
	if o.Fence < e.fence {
		return e.refuse("fence")
	}
	e.fence = o.Fence
	switch r.URL.Path {
	case "/run-start":
		return e.start(o)
	case "/run-stop":
		if run := e.runs[o.Task]; run != nil && run.run <= o.Run && run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(stopTime)
		}
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
		return http.StatusOK, e.stamp()
	case "/pace":
		if run := e.runs[o.Task]; run != nil && run.run == o.Run {
			run.advance(time.Now())
			run.pace = o.Percent
			e.platform.rec.log("executor %s: %s run %d at pace %d", e.id, o.Task, o.Run, o.Percent)
		}
		return http.StatusOK, e.stamp()
	case "/hold":
		return e.hold(r, o)
	}
	return http.StatusNotFound, nil
}

func (e *executor) stamp() map[string]any {
	return map[string]any{"clock-ms": e.clock(), "born": e.born}
}

func (e *executor) refuse(reason string) (int, any) {
	body := e.stamp()
	body["reason"] = reason
	return http.StatusConflict, body
}

func (e *executor) extend(deadline int64) {
	until := time.Now().Add(min(time.Duration(deadline-e.clock())*time.Millisecond, maxHold))
	if until.After(e.leaseEnd) {
		e.leaseEnd = until
	}
}

func (e *executor) start(o order) (int, any) {
	run := e.runs[o.Task]
	switch {
	case run != nil && run.run == o.Run:
		return http.StatusOK, e.stamp()
	case o.Run <= e.highest[o.Task] || run != nil:
		e.extend(o.Deadline)
		return e.refuse("old")
	case o.Deadline < e.clock():
		return e.refuse("late")
	case !e.platform.ticketValid(e, o.Task, o.Ticket):
		e.platform.countRefusal(e, o.Task, o.Run, o.Ticket)
		return e.refuse("ticket")
	}
	e.extend(o.Deadline)
	now := time.Now()
	run = &taskRun{task: o.Task, run: o.Run, spec: parseSpec(o.Spec), startedAt: now, workAt: now, pace: 100}
	run.fails = e.platform.failsNow(o.Task, run.spec.fails)
	e.runs[o.Task] = run
	e.platform.observer.started(e, run)
	return http.StatusOK, e.stamp()
}

func (e *executor) hold(r *http.Request, o order) (int, any) {
	if o.Deadline > 0 {
		e.extend(o.Deadline)
	}
	e.ends = slices.DeleteFunc(e.ends, func(end endedRun) bool {
		if end.number <= o.LastSeen {
			e.platform.observer.acknowledged(e, end)
			return true
		}
		return false
	})
	if len(e.ends) == 0 && o.Wait > 0 {
		change := e.change
		e.mu.Unlock()
		select {
		case <-change:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		e.mu.Lock()
	}
	now := time.Now()
	running, ended := [][]any{}, [][]any{}
	for _, run := range e.runs {
		run.advance(now)
		percent := 100
		if !run.spec.lasts && run.spec.work > 0 {
			percent = int(min(100*run.work/run.spec.work, 99))
		}
		running = append(running, []any{run.task, run.run, "", percent, e.platform.load(e, run)})
	}
	for _, end := range e.ends[:min(len(e.ends), maxEndsPerResponse)] {
		ended = append(ended, []any{end.number, end.task, end.run, end.how, ""})
	}
	body := e.stamp()
	body["running"], body["ended"] = running, ended
	return http.StatusOK, body
}

func respond(w http.ResponseWriter, status int, body any) {
	if body == nil {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
