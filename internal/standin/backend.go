package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// RefusedHeader marks an answer of a backend server that did not run the request.
const RefusedHeader = "Filbertcross-Refused"

// requestIDHeader names a request; a backend server repeats it in its answer.
const requestIDHeader = "Filbertcross-Request-Id"

// BackendOptions describe a stand-in for a backend server.
type BackendOptions struct {
	ID          string
	Slots       int           // requests at a time
	ServiceTime time.Duration // of one request
}

// Backend is a stand-in for a backend server: GET /availability answers a check,
// POST /bookings files a booking. It refuses work above its slots and counts
// each request it ran by the caller's booking name.
type Backend struct {
	Faults *Faults

	opts  BackendOptions
	slots chan struct{}

	mu     sync.Mutex
	counts BackendCounts
}

// BackendCounts is a backend server's own account of its work.
type BackendCounts struct {
	ID        string         `json:"id"`
	Ran       int64          `json:"ran"`
	Refused   int64          `json:"refused"`
	PeakSlots int            `json:"peak"` // most slots in use at once
	Bookings  map[string]int `json:"bookings"`
}

// NewBackend returns an idle backend server.
func NewBackend(opts BackendOptions) *Backend {
	return &Backend{
		Faults: &Faults{},
		opts:   opts,
		slots:  make(chan struct{}, opts.Slots),
		counts: BackendCounts{ID: opts.ID, Bookings: map[string]int{}},
	}
}

// Handler returns the backend server's HTTP interface.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, b.Counts()) })
	mux.Handle("PUT /faults", b.Faults)
	mux.HandleFunc("/", b.handleRequest)
	return mux
}

// Counts returns the account so far.
func (b *Backend) Counts() BackendCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.counts
	counts.Bookings = map[string]int{}
	for name, n := range b.counts.Bookings {
		counts.Bookings[name] = n
	}
	return counts
}

func (b *Backend) handleRequest(w http.ResponseWriter, r *http.Request) {
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	default:
		b.rejectRequest(w)
		return
	}
	fault := b.Faults.sample()
	if fault.down {
		b.rejectRequest(w)
		return
	}
	w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
	b.recordRequest(r)
	time.Sleep(b.opts.ServiceTime + fault.delay)
	if fault.loseResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, BackendResponse{
		Server:  b.opts.ID,
		Path:    r.URL.Path,
		Request: r.Header.Get(requestIDHeader),
		Booking: r.URL.Query().Get("booking"),
	})
}

// BackendAnswer is the body of an answer; it repeats what the request named, so
// that callers can check that the answer is their own.
type BackendResponse struct {
	Server  string `json:"server"`
	Path    string `json:"path"`
	Request string `json:"request"`
	Booking string `json:"booking,omitempty"`
}

func (b *Backend) recordRequest(r *http.Request) {
	_ = json.NewDecoder(r.Body).Decode(&struct{}{})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Ran++
	b.counts.PeakSlots = max(b.counts.PeakSlots, len(b.slots))
	if booking := r.URL.Query().Get("booking"); booking != "" {
		b.counts.Bookings[booking]++
	}
}

func (b *Backend) rejectRequest(w http.ResponseWriter) {
	b.mu.Lock()
	b.counts.Refused++
	b.mu.Unlock()
	w.Header().Set(RefusedHeader, "1")
	writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "all slots in use"})
}
