package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// RefusedHeader marks a response of a backend server that did not run the request.
const RefusedHeader = "Filbertcross-Refused"

// requestIDHeader identifies a request; a backend server copies it to its response.
const requestIDHeader = "Filbertcross-Request-Id"

// BackendOptions configures a Backend.
type BackendOptions struct {
	ID          string
	Slots       int           // maximum number of concurrent requests
	ServiceTime time.Duration // processing time of one request
}

// Backend simulates a backend server: GET /availability is an availability check,
// POST /bookings creates a booking. It rejects requests when all slots are in use
// and counts the requests that it ran for each booking name. Safe for concurrent use.
type Backend struct {
	Faults *Faults

	opts  BackendOptions
	slots chan struct{}

	mu     sync.Mutex
	counts BackendCounts
}

// BackendCounts holds a backend server's own request counts since its start.
type BackendCounts struct {
	ID        string         `json:"id"`
	Ran       int64          `json:"ran"`
	Refused   int64          `json:"refused"`
	PeakSlots int            `json:"peak"`     // maximum number of slots in use at the same time
	Bookings  map[string]int `json:"bookings"` // requests run, by booking name
}

// NewBackend returns a backend server without requests or faults.
func NewBackend(opts BackendOptions) *Backend {
	return &Backend{
		Faults: &Faults{},
		opts:   opts,
		slots:  make(chan struct{}, opts.Slots),
		counts: BackendCounts{ID: opts.ID, Bookings: map[string]int{}},
	}
}

// Handler returns the backend server's HTTP interface, including GET /counts and PUT /faults.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, b.Counts()) })
	mux.Handle("PUT /faults", b.Faults)
	mux.HandleFunc("/", b.handleRequest)
	return mux
}

// Counts returns a copy of the current counts.
func (b *Backend) Counts() BackendCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	copied := b.counts
	copied.Bookings = map[string]int{}
	for name, n := range b.counts.Bookings {
		copied.Bookings[name] = n
	}
	return copied
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

// BackendResponse is the body of a response. It repeats the request's path, ID and
// booking, so that callers can check that the response belongs to their request.
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
