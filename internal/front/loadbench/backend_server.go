package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"filbertcross/internal/front"
	"filbertcross/internal/model"
	"filbertcross/internal/platform"
)

// service is the service of all backend servers.
const service = "zalibook"

// headerServerTime carries the time between arrival and response at the backend
// server, in microseconds.
const headerServerTime = "Loadbench-Took"

// backendServer simulates the service time of each request and refuses requests when
// all slots are in use.
type backendServer struct {
	id       string
	domain   model.FailureDomain
	settings settings
	http     *httptest.Server
	stalled  atomic.Bool

	mu                               sync.Mutex
	random                           *rand.Rand
	slotsInUse                       int
	peakRequests                     int // requests at once, refused ones included
	openConnections, peakConnections int // number of connections
	refused                          int
	slotTimeServed                   time.Duration // since the last reset
}

func newBackendServer(s settings, index int) *backendServer {
	b := &backendServer{
		id:       fmt.Sprintf("backend-%d", index),
		domain:   domainOf(s, index),
		settings: s,
		random:   rand.New(rand.NewPCG(s.seed, uint64(index))),
	}
	b.http = httptest.NewUnstartedServer(b)
	b.http.Config.ConnState = b.countConnection
	b.http.Start()
	return b
}

func (b *backendServer) countConnection(_ net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		b.openConnections++
		b.peakConnections = max(b.peakConnections, b.openConnections)
	case http.StateClosed:
		b.openConnections--
	}
}

func domainOf(s settings, index int) model.FailureDomain {
	return model.FailureDomain(fmt.Sprintf("domain-%d", index%s.domains))
}

func (b *backendServer) address() string { return strings.TrimPrefix(b.http.URL, "http://") }

// platformEntry returns the server's entry in the platform's VM list.
func (b *backendServer) platformEntry() platform.VM {
	return platform.VM{
		ID: b.id, Role: platform.RoleBackend, Address: b.address(), FailureDomain: b.domain,
		Service: service, Slots: b.settings.slots, Connections: 64,
	}
}

// ServeHTTP serves the request if a slot is free and refuses it otherwise. While the
// server is stalled, responses wait.
func (b *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	w.Header().Set(front.HeaderRequestID, r.Header.Get(front.HeaderRequestID))
	serviceTime, ok := b.acquireSlot()
	if !ok {
		w.Header().Set(front.HeaderRefused, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(serviceTime)
	for b.stalled.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	b.releaseSlot(serviceTime)
	w.Header().Set(headerServerTime, strconv.FormatInt(time.Since(start).Microseconds(), 10))
	_, _ = w.Write([]byte("ok"))
}

// acquireSlot takes a slot and draws the service time. It returns false if all slots
// are in use.
func (b *backendServer) acquireSlot() (serviceTime time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peakRequests = max(b.peakRequests, b.slotsInUse+1)
	if b.slotsInUse >= b.settings.slots {
		b.refused++
		return 0, false
	}
	b.slotsInUse++
	return time.Duration((0.5 + b.random.Float64()) * float64(b.settings.serviceTime)), true
}

func (b *backendServer) releaseSlot(serviceTime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slotsInUse--
	b.slotTimeServed += serviceTime
}

// resetCounts resets the counts at the start of the measured time.
func (b *backendServer) resetCounts() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slotTimeServed, b.refused, b.peakRequests, b.peakConnections = 0, 0, b.slotsInUse, b.openConnections
}
