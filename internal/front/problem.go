package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"filbertcross/internal/verdict"
)

// Problem is an error response to a caller.
type Problem struct {
	Status     int
	Text       string
	Field      string // header or path part that is invalid, if any
	Verdict    verdict.Verdict
	RetryAfter time.Duration // suggested delay before a retry; 0 if there is none
}

// Error returns the text and the verdict.
func (p *Problem) Error() string { return p.Text + " (" + p.Verdict.String() + ")" }

// problemBody is the JSON form of a Problem.
type problemBody struct {
	Error        string `json:"error"`
	Field        string `json:"field,omitempty"`
	Verdict      string `json:"verdict"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// invalidRequest returns the problem of a request that cannot be run as it was sent.
func invalidRequest(status int, field, text string) *Problem {
	return &Problem{Status: status, Field: field, Text: text, Verdict: verdict.NotRun}
}

// unavailable returns the problem of a request that was not run and may be retried.
func unavailable(text string, retryAfter time.Duration) *Problem {
	return &Problem{Status: http.StatusServiceUnavailable, Text: text, Verdict: verdict.NotRun, RetryAfter: retryAfter}
}

// writeTo writes the problem as a JSON response.
func (p *Problem) writeTo(w http.ResponseWriter) error {
	body, err := json.Marshal(problemBody{
		Error:        p.Text,
		Field:        p.Field,
		Verdict:      p.Verdict.String(),
		RetryAfterMs: p.RetryAfter.Milliseconds(),
	})
	if err != nil {
		return err
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderVerdict, p.Verdict.String())
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
		h.Set(HeaderRetryAfterMs, strconv.FormatInt(p.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(p.Status)
	_, err = w.Write(body)
	return err
}
