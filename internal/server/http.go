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

// newHandler builds the HTTP interface: callers' requests go to front, the rest
// to the operators' handlers.
func newHandler(operators *operatorAPI, front http.Handler, recorder event.Recorder) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/branches/{branch}/services/", front)
	operators.register(mux)
	chain := negroni.New(panicRecovery{recorder})
	chain.UseHandler(mux)
	return chain
}

// recovery answers a request whose handler panicked; whether it ran is not known.
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

// writeProblem answers with the problem that err carries; any other error is an
// internal one, after which the request may have run.
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

// refused is an input that was turned down before anything was done.
func rejectedRequest(status int, field, format string, args ...any) error {
	return &api.StatusError{Status: status, Problem: api.Problem{
		Error:   errors.Newf(format, args...).Error(),
		Field:   field,
		Verdict: verdict.NotRun.String(),
	}}
}

// comeBack is a request that cannot be served now; v says whether it may have run.
func temporarilyUnavailable(v verdict.Verdict, after time.Duration, format string, args ...any) error {
	return &api.StatusError{Status: http.StatusServiceUnavailable, Problem: api.Problem{
		Error:        errors.Newf(format, args...).Error(),
		Verdict:      v.String(),
		RetryAfterMs: max(after.Milliseconds(), 1),
	}}
}
