package standin

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// FaultSettings selects the faults that a stand-in injects; the zero value injects none.
type FaultSettings struct {
	Down         bool          `json:"down"`        // fail every call
	Delay        time.Duration `json:"delay"`       // added to every call, in nanoseconds in JSON
	LoseResponse float64       `json:"lose_answer"` // probability, 0 to 1, that a call takes effect but its response is lost
}

// Faults holds the active fault settings of a stand-in. Safe for concurrent use.
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

// ServeHTTP replaces the settings by those in the JSON body of the request.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var settings FaultSettings
	if err := json.NewDecoder(r.Body).Decode(&settings); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(settings)
}

// sampledFault holds the faults to inject into one call.
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

// discardResponseWriter drops the response of a handler whose effect is kept.
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
