package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/negroni/v3"

	"filbertcross/internal/api"
	"filbertcross/internal/event"
	"filbertcross/internal/verdict"
)

// newHandler builds the HTTP handler: client requests go to front, all others to the
// operator API.
func newHandler(operators *operatorAPI, front http.Handler, recorder event.Recorder) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/branches/{branch}/services/", front)
	operators.register(mux)
	chain := negroni.New(panicRecovery{recorder})
	chain.UseHandler(mux)
	return chain
}

// panicRecovery replies with an internal error if a handler panics; the verdict is
// may-have-run. http.ErrAbortHandler is passed on.
type panicRecovery struct {
	recorder event.Recorder
}

// ServeHTTP implements negroni.Handler.
func (m panicRecovery) ServeHTTP(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if cause == http.ErrAbortHandler {
			panic(cause)
		}
		m.recorder.Record(event.HandlerPanicked, r.Method, r.URL.Path, cause)
		writeProblem(w, errors.Newf("internal error"))
	}()
	next(w, r)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(api.HeaderVerdict, verdict.Done.String())
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// writeProblem writes the api.StatusError in err. Any other error is written as an
// internal error with the verdict may-have-run.
func writeProblem(w http.ResponseWriter, err error) {
	failure := &api.StatusError{}
	if !errors.As(err, &failure) {
		failure = &api.StatusError{
			Status:  http.StatusInternalServerError,
			Problem: api.Problem{Error: err.Error(), Verdict: verdict.MayHaveRun.String()},
		}
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(api.HeaderVerdict, failure.Problem.Verdict)
	if ms := failure.Problem.RetryAfterMs; ms > 0 {
		seconds := math.Ceil(float64(ms) / 1000)
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
		header.Set(api.HeaderRetryAfterMs, strconv.FormatInt(ms, 10))
	}
	w.WriteHeader(failure.Status)
	_ = json.NewEncoder(w).Encode(failure.Problem)
}

// rejectedRequest returns the error for an input that was rejected before it had any
// effect; field names the rejected input.
func rejectedRequest(status int, field, format string, args ...any) error {
	return &api.StatusError{Status: status, Problem: api.Problem{
		Error:   errors.Newf(format, args...).Error(),
		Field:   field,
		Verdict: verdict.NotRun.String(),
	}}
}

// temporarilyUnavailable returns the error for a request that the client may retry after
// the given time; v is the verdict on whether it ran.
func temporarilyUnavailable(v verdict.Verdict, after time.Duration, format string, args ...any) error {
	return &api.StatusError{Status: http.StatusServiceUnavailable, Problem: api.Problem{
		Error:        errors.Newf(format, args...).Error(),
		Verdict:      v.String(),
		RetryAfterMs: max(after.Milliseconds(), 1),
	}}
}
