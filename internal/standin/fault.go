package standin

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// FaultSettings are the faults that a stand-in shows.
type FaultSettings struct {
	Down         bool          `json:"down"`        // every call is refused
	Delay        time.Duration `json:"delay"`       // added to every call
	LoseResponse float64       `json:"lose_answer"` // probability that a call takes effect but its answer is lost
}

// Faults holds the settings in force. Safe for concurrent use.
type Faults struct {
	mu       sync.Mutex
	settings FaultSettings
}

// Set replaces the settings.
func (f *Faults) Set(settings FaultSettings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = settings
}

// ServeHTTP replaces the settings by those in the body.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var settings FaultSettings
	if err := json.NewDecoder(r.Body).Decode(&settings); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(settings)
}

type sampledFault struct {
	down         bool
	loseResponse bool
	delay        time.Duration
}

func (f *Faults) sample() sampledFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return sampledFault{
		down:         f.settings.Down,
		loseResponse: rand.Float64() < f.settings.LoseResponse,
		delay:        f.settings.Delay,
	}
}

// discardAnswer lets a handler take effect while its answer is dropped.
type discardResponseWriter struct{}

func (discardResponseWriter) Header() http.Header         { return http.Header{} }
func (discardResponseWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardResponseWriter) WriteHeader(int)             {}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}
