package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"filbertcross/internal/verdict"
)

// Problem is an error answer to a caller.
type Problem struct {
	Status     int
	Text       string
	Field      string // header or path part that is wrong, if any
	Verdict    verdict.Verdict
	RetryAfter time.Duration // when to come back; 0: no advice
}

// Error returns the text with its verdict.
func (p *Problem) Error() string { return p.Text + " (" + p.Verdict.String() + ")" }

// problemBody is the JSON form of a Problem.
type problemBody struct {
	Error        string `json:"error"`
	Field        string `json:"field,omitempty"`
	Verdict      string `json:"verdict"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// invalidRequest is a request that is wrong in itself.
func invalidRequest(status int, field, text string) *Problem {
	return &Problem{Status: status, Field: field, Text: text, Verdict: verdict.NotRun}
}

// unavailable is a request that was not run and may come back.
func unavailable(text string, retryAfter time.Duration) *Problem {
	return &Problem{Status: http.StatusServiceUnavailable, Text: text, Verdict: verdict.NotRun, RetryAfter: retryAfter}
}

// writeTo sends the problem to the caller.
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
