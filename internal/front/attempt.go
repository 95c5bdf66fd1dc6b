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

// Causes of a failed attempt. Callers test them with errors.Is.
var (
	errRefused           = errors.New("the backend server refused the request")
	errResponseMismatch  = errors.New("the answer is to another request")
	errResponseTruncated = errors.New("the answer is cut")
	errResponseTooLarge  = errors.New("the answer is larger than the limit")
)

// attempt is one sending of a request to a backend server.
type attempt struct {
	id       string // of this attempt; the answer must carry it
	request  *request
	server   backend.Server
	deadline time.Time
}

// failure is an attempt without a whole answer.
type failure struct {
	cause   error
	verdict verdict.Verdict
	outcome backend.Outcome
}

// roundTrip sends the attempt and returns the whole answer to it, or a failure.
func (c *transportCache) roundTrip(ctx context.Context, a attempt) (*ledger.Answer, *failure) {
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	var used trackedConns
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used.add(info.Conn.(*trackedConn))
	}}
	out, err := a.newHTTPRequest(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return nil, &failure{cause: err, verdict: verdict.NotRun, outcome: backend.OutcomeUnused}
	}
	in, err := c.transport(a.server).RoundTrip(out)
	if err != nil {
		return nil, classifyNoResponse(ctx, used, err)
	}
	answer, err := c.readResponse(a, in)
	if err == nil {
		return answer, nil
	}
	if !errors.Is(err, errRefused) {
		used.discard()
	}
	return nil, classifyResponseError(ctx, used, err)
}

// newHTTPRequest builds the request as the backend server gets it. The body cannot be
// rewound and the idempotency key travels under another name, so that the
// transport never sends anything twice by itself.
func (a attempt) newHTTPRequest(ctx context.Context) (*http.Request, error) {
	r := a.request
	target := "http://" + a.server.Address + r.target
	out, err := http.NewRequestWithContext(ctx, r.method, target, nil)
	if err != nil {
		return nil, err
	}
	out.Header = endToEndHeaders(r.header)
	out.Header.Del(HeaderIdempotencyKey)
	out.Header.Set(HeaderRequestID, a.id)
	out.Header.Set(HeaderBranch, string(r.branch))
	out.Header.Set(HeaderDeadline, a.deadline.UTC().Format(time.RFC3339Nano))
	if r.key != "" {
		out.Header.Set(HeaderForwardedIdempotencyKey, r.key)
	}
	if len(r.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.body))
		out.ContentLength = int64(len(r.body))
	}
	return out, nil
}

// classifyNoResponse classifies an attempt that got no answer: it was not run if no byte of it
// was written and none can be any more.
func classifyNoResponse(ctx context.Context, used trackedConns, err error) *failure {
	f := &failure{cause: err, verdict: verdict.MayHaveRun, outcome: backend.OutcomeFailed}
	if used.blockWrites() {
		f.verdict = verdict.NotRun
	}
	if ctx.Err() != nil {
		f.outcome = backend.OutcomeTimeout
	}
	return f
}

// classifyResponseError classifies an attempt whose answer is refused, crossed or cut. A
// refusal speaks for the last connection only: the transport may have sent the
// request on an earlier one that broke.
func classifyResponseError(ctx context.Context, used trackedConns, err error) *failure {
	switch {
	case errors.Is(err, errRefused):
		f := &failure{cause: err, verdict: verdict.NotRun, outcome: backend.OutcomeRefused}
		if earlier := used[:len(used)-1]; !earlier.blockWrites() {
			f.verdict = verdict.MayHaveRun
		}
		return f
	case ctx.Err() != nil:
		return &failure{cause: err, verdict: verdict.MayHaveRun, outcome: backend.OutcomeTimeout}
	default:
		return &failure{cause: err, verdict: verdict.MayHaveRun, outcome: backend.OutcomeFailed}
	}
}

// readResponse reads the answer to its end and checks that it belongs to the attempt.
func (c *transportCache) readResponse(a attempt, in *http.Response) (*ledger.Answer, error) {
	defer in.Body.Close() // closes the connection if the answer is not read to its end
	if c.mismatched(a, in) {
		return nil, errResponseMismatch
	}
	if closeDelimited(in) {
		return nil, errResponseTruncated
	}
	body, err := io.ReadAll(io.LimitReader(in.Body, c.options.ResponseBodyLimit+1))
	if err != nil {
		return nil, errors.Mark(err, errResponseTruncated)
	}
	if int64(len(body)) > c.options.ResponseBodyLimit {
		return nil, errResponseTooLarge
	}
	if in.StatusCode == http.StatusServiceUnavailable && in.Header.Get(HeaderRefused) == "1" {
		return nil, errRefused
	}
	return &ledger.Answer{Status: in.StatusCode, Header: endToEndHeaders(in.Header), Body: body}, nil
}

// mismatched reports whether the answer names another attempt, or none where the
// backend servers are known to name it.
func (c *transportCache) mismatched(a attempt, in *http.Response) bool {
	named := in.Header.Get(HeaderRequestID)
	return named != a.id && (named != "" || c.options.RequireRequestID)
}

// closeDelimited reports whether only the connection's end would mark the answer's end,
// so that a cut one looks whole.
func closeDelimited(in *http.Response) bool {
	return in.ContentLength < 0 && len(in.TransferEncoding) == 0 && in.Request.Method != http.MethodHead
}
