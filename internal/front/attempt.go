package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/backend"
	"filbertcross/internal/ledger"
	"filbertcross/internal/verdict"
)

// Causes of a failed attempt, to be tested with errors.Is.
var (
	errRefused           = errors.New("the backend server refused the request")
	errResponseMismatch  = errors.New("the answer is to another request")
	errResponseTruncated = errors.New("the answer is cut")
	errResponseTooLarge  = errors.New("the answer is larger than the limit")
	errResendBlocked     = errors.New("the connection broke after the request was written")
)

// attempt is one transmission of a request to a backend server.
type attempt struct {
	id       string // of this attempt; a response that carries another id is rejected
	request  *request
	server   backend.Server
	deadline time.Time
}

// failure describes an attempt that got no complete response.
type failure struct {
	cause   error
	verdict verdict.Verdict
	outcome backend.Outcome
}

// roundTrip sends the attempt and returns the complete response to it, or a failure.
func (c *transportCache) roundTrip(ctx context.Context, a attempt) (*ledger.Response, *failure) {
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	var conns trackedConns
	// http.Transport sends some requests again by itself when a reused connection breaks: those
	// with a safe method or with one of two headers for idempotency keys.
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if !conns.blockWrites() {
			abort(errResendBlocked)
			info.Conn.(*trackedConn).discard()
			return
		}
		conns.add(info.Conn.(*trackedConn))
	}}
	httpRequest, err := a.newHTTPRequest(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return nil, &failure{cause: err, verdict: verdict.NotRun, outcome: backend.OutcomeUnused}
	}
	httpResponse, err := c.transport(a.server).RoundTrip(httpRequest)
	if err != nil {
		return nil, classifyNoResponse(ctx, conns, err)
	}
	response, err := c.readResponse(a, httpResponse)
	if err == nil {
		return response, nil
	}
	if !errors.Is(err, errRefused) {
		conns.discard()
	}
	return nil, classifyResponseError(ctx, err)
}

// newHTTPRequest builds the request to the backend server. The caller's idempotency key
// is sent under another name.
func (a attempt) newHTTPRequest(ctx context.Context) (*http.Request, error) {
	r := a.request
	target := "http://" + a.server.Address + r.target
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, target, nil)
	if err != nil {
		return nil, err
	}
	httpRequest.Header = endToEndHeaders(r.header)
	httpRequest.Header.Del(HeaderIdempotencyKey)
	httpRequest.Header.Set(HeaderRequestID, a.id)
	httpRequest.Header.Set(HeaderBranch, string(r.branch))
	httpRequest.Header.Set(HeaderDeadline, a.deadline.UTC().Format(time.RFC3339Nano))
	if r.key != "" {
		httpRequest.Header.Set(HeaderForwardedIdempotencyKey, r.key)
	}
	if len(r.body) > 0 {
		httpRequest.Body = io.NopCloser(bytes.NewReader(r.body))
		httpRequest.ContentLength = int64(len(r.body))
	}
	return httpRequest, nil
}

// classifyNoResponse classifies an attempt that got no response: it was not run if
// no byte of it was written and later writes are blocked.
func classifyNoResponse(ctx context.Context, conns trackedConns, err error) *failure {
	f := &failure{cause: err, verdict: verdict.MayHaveRun, outcome: backend.OutcomeFailed}
	if conns.blockWrites() {
		f.verdict = verdict.NotRun
	}
	if timedOut(ctx) {
		f.outcome = backend.OutcomeTimeout
	}
	return f
}

// timedOut reports whether the attempt's deadline has passed.
func timedOut(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errResendBlocked)
}

// classifyResponseError classifies an attempt whose response is a refusal, belongs
// to another request or is incomplete.
func classifyResponseError(ctx context.Context, err error) *failure {
	switch {
	case errors.Is(err, errRefused):
		return &failure{cause: err, verdict: verdict.NotRun, outcome: backend.OutcomeRefused}
	case timedOut(ctx):
		return &failure{cause: err, verdict: verdict.MayHaveRun, outcome: backend.OutcomeTimeout}
	default:
		return &failure{cause: err, verdict: verdict.MayHaveRun, outcome: backend.OutcomeFailed}
	}
}

// readResponse reads the complete response and checks that it belongs to the attempt.
func (c *transportCache) readResponse(a attempt, httpResponse *http.Response) (*ledger.Response, error) {
	defer httpResponse.Body.Close() // closes the connection if the body is not read to its end
	if c.mismatched(a, httpResponse) {
		return nil, errResponseMismatch
	}
	if closeDelimited(httpResponse) {
		return nil, errResponseTruncated
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, c.options.ResponseBodyLimit+1))
	if err != nil {
		return nil, errors.Mark(err, errResponseTruncated)
	}
	if int64(len(body)) > c.options.ResponseBodyLimit {
		return nil, errResponseTooLarge
	}
	if httpResponse.StatusCode == http.StatusServiceUnavailable && httpResponse.Header.Get(HeaderRefused) == "1" {
		return nil, errRefused
	}
	return &ledger.Response{Status: httpResponse.StatusCode, Header: endToEndHeaders(httpResponse.Header), Body: body}, nil
}

// mismatched reports whether the response carries the id of another attempt, or no
// id although RequireRequestID is set.
func (c *transportCache) mismatched(a attempt, httpResponse *http.Response) bool {
	id := httpResponse.Header.Get(HeaderRequestID)
	return id != a.id && (id != "" || c.options.RequireRequestID)
}

// closeDelimited reports whether only the end of the connection marks the end of
// the response, so that a truncated response cannot be distinguished from a complete one.
func closeDelimited(httpResponse *http.Response) bool {
	return httpResponse.ContentLength < 0 && len(httpResponse.TransferEncoding) == 0 && httpResponse.Request.Method != http.MethodHead
}
