package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"filbertcross/platform/standin"
)

// Behaviour of executors according to PROTOCOL.md and the bounds of the settings file.
const (
	heartbeat     = 1500 * time.Millisecond // heartbeat-ms
	entryLifetime = 3 * heartbeat           // an entry is removed after three liveness report intervals of silence
	maxHold       = 6 * time.Second         // max-hold-ms
	stopTime      = 100 * time.Millisecond  // at most stop-timeout-ms
	maxWait       = 2 * time.Second         // of a hold
	maxEnds       = 500                     // in one response
	startupTime   = 200 * time.Millisecond  // of a task that lasts, until its percent is 100
)

// run is one run on an executor.
type run struct {
	task   string
	number int64
	spec   string
	began  time.Time
	stopAt time.Time // zero: no stop was requested
	fails  bool
}

// end is one finished run.
type end struct {
	number int64
	task   string
	run    int64
	how    string
}

// executor is a stand-in executor that can crash and start again under its id. Safe for concurrent use.
type executor struct {
	id, kind, rack, address string
	cpu                     int64
	store                   *standin.Store
	record                  *record

	mu       sync.Mutex
	server   *http.Server  // nil: the process is down
	entry    string        // address in the registration; empty: its own
	dark     chan struct{} // closed when a machine without power starts again; nil: it has power
	born     time.Time
	fence    int64
	leaseEnd time.Time
	runs     map[string]*run
	highest  map[string]int64 // run that was stopped or has ended, by task
	ends     []end
	lastEnd  int64
	ended    chan struct{} // closed at the next end
	failing  bool          // every run that starts fails
	sequence int64
	downAt   time.Time
	noted    int // ends that were taken note of
}

func newExecutor(id, kind, rack, ip string, cpu int64, store *standin.Store, rec *record) (*executor, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &executor{id: id, kind: kind, rack: rack, address: l.Addr().String(), cpu: cpu, store: store, record: rec}
	e.begin(l)
	go e.loop()
	return e, nil
}

// begin starts a new life on the listener.
func (e *executor) begin(l net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born, e.fence, e.leaseEnd = time.Now(), 0, time.Time{}
	e.runs, e.highest, e.ends, e.lastEnd, e.ended = map[string]*run{}, map[string]int64{}, nil, 0, make(chan struct{})
	e.sequence = 0
	e.server = &http.Server{Handler: e}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	e.writeEntry()
}

// crash kills the process: its connections are closed, and it forgets everything.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return
	}
	_ = e.server.Close()
	e.server, e.downAt = nil, time.Now()
	for _, r := range e.runs {
		e.record.end(e.id, r.task, r.number, "lost")
	}
	e.runs, e.ends = map[string]*run{}, nil
	e.record.add("executor %s crashes", e.id)
}

// powerOff stops the machine: it answers nothing, and forgets everything.
func (e *executor) powerOff() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		e.record.end(e.id, r.task, r.number, "lost")
	}
	e.runs, e.ends, e.dark, e.downAt = map[string]*run{}, nil, make(chan struct{}), time.Now()
	e.record.add("executor %s has no power", e.id)
}

// powerOn starts a new life at the same address and under the same id.
func (e *executor) powerOn() {
	e.mu.Lock()
	_ = e.server.Close()
	close(e.dark)
	e.dark, e.server = nil, nil
	e.mu.Unlock()
	e.restart()
}

// restart starts a new life at the same address and under the same id.
func (e *executor) restart() {
	for range 100 {
		l, err := net.Listen("tcp", e.address)
		if err == nil {
			e.begin(l)
			e.record.add("executor %s is up again", e.id)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	e.record.add("executor %s cannot listen again", e.id)
}

func (e *executor) setFailing(failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = failing
	e.record.add("executor %s fails all that it starts: %v", e.id, failing)
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1000 }

// writeEntry writes the registration. The caller holds mu.
func (e *executor) writeEntry() {
	e.sequence++
	address := e.address
	if e.entry != "" {
		address = e.entry
	}
	value, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
		"cold-remaining-ms": 0, "sequence": e.sequence, "capacity": e.capacity(), "labels": []string{e.kind, e.rack},
		"born": e.born.UnixMilli(), "machine": "m-" + e.id,
	})
	if err != nil {
		panic(err) // the map holds only plain values
	}
	e.store.Put("servers/"+e.id, value)
}

func (e *executor) capacity() map[string]int64 {
	return map[string]int64{"cpu": e.cpu, "mem-mb": 131072, "gpu": 0}
}

// loop ends runs, and sends heartbeats.
func (e *executor) loop() {
	next := time.Now().Add(heartbeat)
	for range time.Tick(5 * time.Millisecond) {
		e.mu.Lock()
		now := time.Now()
		if e.server == nil || e.dark != nil {
			if now.Sub(e.downAt) > entryLifetime {
				e.store.Delete("servers/" + e.id)
				e.downAt = now.Add(time.Hour)
			}
			e.mu.Unlock()
			continue
		}
		for _, r := range e.runs {
			if how := e.outcome(now, r); how != "" {
				delete(e.runs, r.task)
				e.highest[r.task] = max(e.highest[r.task], r.number)
				e.lastEnd++
				e.ends = append(e.ends, end{e.lastEnd, r.task, r.number, how})
				e.record.end(e.id, r.task, r.number, how)
				close(e.ended)
				e.ended = make(chan struct{})
			}
		}
		if now.After(next) {
			next = now.Add(heartbeat)
			e.writeEntry()
		}
		e.mu.Unlock()
	}
}

// outcome returns how a run ends at now; empty: it goes on.
func (e *executor) outcome(now time.Time, r *run) string {
	switch age := now.Sub(r.began); {
	case now.After(e.leaseEnd):
		return "lapsed"
	case !r.stopAt.IsZero() && now.After(r.stopAt):
		return "stopped"
	case r.fails && age > 50*time.Millisecond:
		return "failed"
	case strings.HasPrefix(r.spec, "ms=") && age > specTime(r.spec):
		return "done"
	}
	return ""
}

func specTime(spec string) time.Duration {
	ms, _ := strconv.Atoi(strings.TrimPrefix(spec, "ms="))
	return time.Duration(ms) * time.Millisecond
}

func (r *run) percent() int {
	age := time.Since(r.began)
	if total := specTime(r.spec); total > 0 {
		return int(min(100*age/total, 99))
	}
	return int(min(100*age/startupTime, 100))
}

// order has the fields of all orders.
type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    int64  `json:"fence-token"`
	LastSeen int64  `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := e.execute(r.Context(), r.URL.Path, o)
	if body == nil {
		w.WriteHeader(status)
		return
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // the map holds only plain values
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (e *executor) execute(ctx context.Context, path string, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if dark := e.dark; dark != nil {
		e.mu.Unlock()
		<-dark
		e.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if o.Fence < e.fence {
		return e.reject("fence")
	}
	e.fence = o.Fence
	switch path {
	case "/run-start":
		return e.start(o)
	case "/run-stop":
		if r := e.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
			e.record.add("executor %s is told to stop %s run %d", e.id, o.Task, o.Run)
		}
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
		return http.StatusOK, e.answer()
	case "/pace":
		return http.StatusOK, e.answer()
	case "/hold":
		return e.hold(ctx, o)
	}
	return http.StatusNotFound, nil
}

func (e *executor) answer() map[string]any {
	return map[string]any{"clock-ms": e.clock(), "born": e.born.UnixMilli()}
}

func (e *executor) reject(reason string) (int, map[string]any) {
	body := e.answer()
	body["reason"] = reason
	return http.StatusConflict, body
}

func (e *executor) start(o order) (int, map[string]any) {
	r := e.runs[o.Task]
	switch {
	case r != nil && r.number == o.Run:
		return http.StatusOK, e.answer()
	case r != nil || o.Run <= e.highest[o.Task]:
		e.extend(o.Deadline)
		return e.reject("old")
	case o.Deadline <= e.clock():
		return e.reject("late")
	}
	e.extend(o.Deadline)
	e.runs[o.Task] = &run{task: o.Task, number: o.Run, spec: o.Spec, began: time.Now(), fails: e.failing}
	e.record.start(e.id, o.Task, o.Run)
	return http.StatusOK, e.answer()
}

// extend extends the lease; a longer one than max-hold-ms is shortened.
func (e *executor) extend(deadline int64) {
	until := time.Now().Add(min(time.Duration(deadline-e.clock())*time.Millisecond, maxHold))
	if until.After(e.leaseEnd) {
		e.leaseEnd = until
	}
}

func (e *executor) hold(ctx context.Context, o order) (int, map[string]any) {
	if o.Deadline > 0 {
		e.extend(o.Deadline)
	}
	var kept []end
	for _, x := range e.ends {
		if x.number > o.LastSeen {
			kept = append(kept, x)
		} else {
			e.noted++
			e.record.add("executor %s: the end of %s run %d is taken note of", e.id, x.task, x.run)
		}
	}
	e.ends = kept
	if len(e.ends) == 0 && o.Wait > 0 {
		ended, born := e.ended, e.born
		e.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(min(time.Duration(o.Wait)*time.Millisecond, maxWait)):
		case <-ctx.Done():
		}
		e.mu.Lock()
		if dark := e.dark; dark != nil {
			e.mu.Unlock()
			<-dark
			e.mu.Lock()
		}
		if e.born != born || e.server == nil {
			panic(http.ErrAbortHandler) // the process that held the channel is gone
		}
	}
	body := e.answer()
	running, ends := [][]any{}, [][]any{}
	for _, r := range e.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(), 0})
	}
	for _, x := range e.ends[:min(len(e.ends), maxEnds)] {
		ends = append(ends, []any{x.number, x.task, x.run, x.how, ""})
	}
	body["running"], body["ended"] = running, ends
	return http.StatusOK, body
}

// notedEnds returns the number of ends that were taken note of.
func (e *executor) notedEnds() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.noted
}

func (e *executor) String() string { return fmt.Sprintf("%s (kind %s)", e.id, e.kind) }
