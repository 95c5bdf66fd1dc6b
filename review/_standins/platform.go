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

	"filbertcross/platform/standin"
)

// Settings of the small deployment that all cases use.
const (
	maintenanceTime  = 2 * time.Second // maintenance-s
	executorMemory   = 131072
	serviceName      = "zalibook"
	advisedValidity  = 2500 * time.Millisecond
	storeAnswerDelay = 4 * time.Millisecond
)

// platform is the platform of a small deployment: its store, executors, advice service and machines.
type platform struct {
	rec       *recorder
	broken    *violations
	store     *standin.Store
	observer  observer
	executors []*executor
	servers   []*http.Server

	storeAddress, adviceAddress, cloudAddress string

	mu          sync.Mutex
	storeDown   bool
	entries     map[string]time.Time // last heartbeat of each entry of the store
	advised     map[string]bool      // submissions of queues with advice
	tickets     map[string]time.Time // when each ticket ends, by step, executor and its life
	failures    map[string]int       // failed runs given out, by task
	waves       map[int64]*waveState
	fences      map[string]int64         // of each machine
	upkeepUntil map[string]time.Time     // of each machine
	done        map[string]map[int64]int // waves in which each machine was taken down
	nextID      int
	refusals    int // of starts, for their tickets
	loads       func(e *executor, r *taskRun) int
	stop        chan struct{}
}

// waveState is a wave as the operator requested it.
type waveState struct {
	machines    []string
	maxParallel int
	downUntil   map[string]time.Time
}

func newPlatform(rec *recorder, broken *violations, obs observer, executors int, cpu int64) (*platform, error) {
	p := &platform{
		rec: rec, broken: broken, store: standin.NewStore(1), observer: obs,
		entries: map[string]time.Time{}, advised: map[string]bool{}, tickets: map[string]time.Time{},
		failures: map[string]int{}, waves: map[int64]*waveState{}, fences: map[string]int64{}, upkeepUntil: map[string]time.Time{},
		done: map[string]map[int64]int{}, stop: make(chan struct{}),
	}
	p.setStoreDown("")
	var err error
	if p.storeAddress, err = p.listen(p.store); err != nil {
		return nil, err
	}
	if p.adviceAddress, err = p.listen(http.HandlerFunc(p.advise)); err != nil {
		return nil, err
	}
	if p.cloudAddress, err = p.listen(http.HandlerFunc(p.cloud)); err != nil {
		return nil, err
	}
	for i := range executors {
		e, err := newExecutor(p, fmt.Sprintf("m-%02d", i), p.newID(), serviceName, fmt.Sprintf("r-%d", i/8), cpu)
		if err != nil {
			return nil, err
		}
		p.executors = append(p.executors, e)
	}
	go p.expireEntries()
	return p, nil
}

func (p *platform) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (p *platform) close() {
	close(p.stop)
	for _, e := range p.executors {
		e.close()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.store.Close()
}

func (p *platform) newID() string {
	p.nextID++
	return fmt.Sprintf("i-%08x", p.nextID)
}

// setStoreDown takes the store down, how is "silent" or "busy", or brings it back if how is empty.
func (p *platform) setStoreDown(how string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeDown = how != ""
	p.store.SetFaults(standin.Faults{Unresponsive: how == "silent", Unavailable: how == "busy", ResponseDelay: storeAnswerDelay})
	if how != "" {
		p.rec.log("the store is down (%s)", how)
	} else {
		p.rec.log("the store is up")
	}
}

// heartbeat writes an executor's entry and reports whether the store accepted it. The caller holds e.mu.
func (p *platform) heartbeat(e *executor) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.storeDown {
		return false
	}
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	value, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": "zone-0", "version": "v1", "slots": 8, "state": state,
		"cold-remaining-ms": 0, "sequence": e.sequence, "born": e.born, "machine": e.machine,
		"capacity": map[string]int64{"cpu": e.cpu, "mem-mb": executorMemory, "gpu": 0}, "labels": []string{"a", e.rack},
	})
	p.store.Put("servers/"+e.id, value)
	p.entries[e.id] = time.Now()
	return true
}

// expireEntries removes the entries of executors that have been silent for three heartbeats.
func (p *platform) expireEntries() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		for id, at := range p.entries {
			if p.storeDown {
				p.entries[id] = at.Add(20 * time.Millisecond)
			} else if time.Since(at) > silentHeartbeats*heartbeat {
				delete(p.entries, id)
				p.store.Delete("servers/" + id)
				p.rec.log("the entry of executor %s has expired", id)
			}
		}
		p.mu.Unlock()
	}
}

func stepOf(task string) string { return task[:strings.LastIndex(task, ".")] }

// failsNow reports whether the run that now starts ends as failed: the first runs of the tasks that fail do.
func (p *platform) failsNow(task string, fails int) bool {
	index, _ := strconv.Atoi(task[strings.LastIndex(task, ".")+1:])
	if fails == 0 || index%4 != 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures[task] >= fails {
		return false
	}
	p.failures[task]++
	return true
}

// load is the fifth entry of a row of running.
func (p *platform) load(e *executor, r *taskRun) int {
	if p.loads == nil {
		return 0
	}
	return p.loads(e, r)
}

// advise allows every executor, and gives out tickets.
func (p *platform) advise(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	time.Sleep(28*time.Millisecond + time.Duration(len(body.Workers))*390*time.Microsecond)
	rows := [][]string{}
	for _, id := range body.Workers {
		for _, e := range p.executors {
			e.mu.Lock()
			if e.id == id && e.up {
				ticket := fmt.Sprintf("t-%s-%s-%d", body.Step, id, e.born)
				p.mu.Lock()
				p.tickets[ticket] = time.Now().Add(advisedValidity)
				p.mu.Unlock()
				rows = append(rows, []string{id, ticket})
			}
			e.mu.Unlock()
		}
	}
	respond(w, http.StatusOK, map[string]any{"allowed": rows, "validity-ms": advisedValidity.Milliseconds()})
}

// ticketValid reports whether a start on an executor has the ticket that its queue requires. The caller holds e.mu.
func (p *platform) ticketValid(e *executor, task, ticket string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	if !p.advised[id] {
		return true
	}
	return ticket == fmt.Sprintf("t-%s-%s-%d", stepOf(task), e.id, e.born) && time.Now().Before(p.tickets[ticket])
}

// countRefusal counts a start that was refused for its ticket, and writes the first ones to record.txt.
func (p *platform) countRefusal(e *executor, task string, run int64, ticket string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusals++; p.refusals <= maxRecordedRefusals {
		p.rec.log("executor %s refuses %s run %d: its ticket is %q", e.id, task, run, ticket)
	}
}

// maxRecordedRefusals keeps record.txt short.
const maxRecordedRefusals = 50

func (p *platform) ticketRefusals() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusals
}

// route returns a route of the desired state.
func route(name, prefix string, attempts int, advice bool, priority int) map[string]any {
	r := map[string]any{"name": name, "host": queueHost, "prefix": prefix, "kind": "non_idempotent", "timeout-ms": 3000,
		"target-latency-ms": 300, "priority": priority, "service": serviceName, "attempts": attempts, "stretch": 2.2}
	if advice {
		r["advice"] = map[string]float64{"decision-ms": 28, "per-item-ms": 0.39, "validity-ms": float64(advisedValidity.Milliseconds())}
	}
	return r
}

// configure writes a desired state, as the operator does. It retries until the store accepts it.
func (p *platform) configure(version int, routes ...map[string]any) {
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": serviceName, "health-path": "/health", "admission-check": false, "standby": false}},
		"limits":   map[string]int{"max-body-bytes": 262144},
	})
	p.store.Put("op/config", value)
	var names []string
	for _, r := range routes {
		names = append(names, fmt.Sprint(r["name"]))
	}
	p.rec.log("the operator writes desired state %d with the routes %v", version, names)
}

// requestWave writes a wave, as the operator does.
func (p *platform) requestWave(number int64, machines []string, maxParallel int, within time.Duration) {
	p.mu.Lock()
	p.waves[number] = &waveState{machines: machines, maxParallel: maxParallel, downUntil: map[string]time.Time{}}
	p.mu.Unlock()
	value, _ := json.Marshal(map[string]any{"wave": number, "machines": machines, "lease-term-s": within.Seconds(), "max-parallel": maxParallel})
	p.store.Put(fmt.Sprintf("op/wave/%d", number), value)
	p.rec.log("the operator requests wave %d: upkeep of %v, at most %d at once, within %v", number, machines, maxParallel, within)
}

// waveStatus returns the state of a wave as the system reports it.
func (p *platform) waveStatus(number int64) string {
	value, _ := p.store.Get(fmt.Sprintf("status/wave/%d", number))
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(value, &body)
	return body.State
}

// cloud serves the list of machines and carries out upkeep.
func (p *platform) cloud(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerDelay)
	switch r.URL.Path {
	case "/machines":
		list := []map[string]any{}
		for _, e := range p.executors {
			e.mu.Lock()
			entry := map[string]any{"machine": e.machine, "pool": e.service, "state": "up", "zone": "zone-0", "labels": []string{"a", e.rack},
				"capacity": map[string]int64{"cpu": e.cpu, "mem-mb": executorMemory, "gpu": 0}}
			if e.up {
				entry["id"] = e.id
			} else {
				entry["state"] = "down"
			}
			p.mu.Lock()
			if time.Now().Before(p.upkeepUntil[e.machine]) {
				entry["state"] = "upkeep"
			}
			p.mu.Unlock()
			e.mu.Unlock()
			list = append(list, entry)
		}
		respond(w, http.StatusOK, map[string]any{"machines": list, "next-token": ""})
	case "/machine-upkeep":
		var body struct {
			Machine string `json:"machine"`
			Wave    int64  `json:"wave"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			respond(w, http.StatusBadRequest, nil)
			return
		}
		fence, _ := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
		status, reason := p.upkeep(body.Machine, body.Wave, fence, r.Header.Get("Lease-Holder"))
		p.rec.log("machine-upkeep %s wave %d by %s with fencing token %d: %d %s", body.Machine, body.Wave, r.Header.Get("Lease-Holder"), fence, status, reason)
		if reason != "" {
			respond(w, status, map[string]string{"reason": reason})
			return
		}
		respond(w, status, map[string]any{})
	default:
		respond(w, http.StatusNotFound, nil)
	}
}

// upkeep carries out an order to take a machine down, and checks the wave's limit.
func (p *platform) upkeep(machine string, number, fence int64, holder string) (status int, reason string) {
	i := slices.IndexFunc(p.executors, func(e *executor) bool { return e.machine == machine })
	p.mu.Lock()
	wave := p.waves[number]
	switch {
	case i < 0:
		p.mu.Unlock()
		return http.StatusBadRequest, ""
	case fence < p.fences[machine]:
		p.mu.Unlock()
		return http.StatusConflict, "fence"
	case wave == nil || !slices.Contains(wave.machines, machine):
		p.mu.Unlock()
		return http.StatusConflict, "wave"
	}
	p.fences[machine] = fence
	if p.done[machine][number] > 0 {
		p.mu.Unlock()
		return http.StatusOK, ""
	}
	e := p.executors[i]
	p.mu.Unlock()

	e.mu.Lock()
	if !e.up || e.draining {
		e.mu.Unlock()
		return http.StatusConflict, "busy"
	}
	e.endLife()
	e.mu.Unlock()

	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var down []string
	for m, until := range wave.downUntil {
		if now.Before(until) {
			down = append(down, m)
		}
	}
	slices.Sort(down)
	if len(down) >= wave.maxParallel {
		p.broken.add("LIMIT: the upkeep of %s begins, ordered by %s with fencing token %d, while %v are down for theirs; at most %d of wave %d may be down at once",
			machine, holder, fence, down, wave.maxParallel, number)
	}
	if p.done[machine] == nil {
		p.done[machine] = map[int64]int{}
	}
	p.done[machine][number]++
	until := now.Add(maintenanceTime)
	wave.downUntil[machine], p.upkeepUntil[machine] = until, until
	id := p.newID()
	time.AfterFunc(maintenanceTime, func() { e.restart(id) })
	return http.StatusOK, ""
}
