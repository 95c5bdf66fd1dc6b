package front

import (
	"net/http"
	"strings"
)

// Headers of the front's protocol with callers and backend servers.
const (
	headerPrefix                  = "Filbertcross-"
	HeaderDeadline                = "Filbertcross-Deadline"       // from callers: RFC 3339, or a Go duration from now
	HeaderVerdict                 = "Filbertcross-Verdict"        // to callers: not-run, may-have-run or done
	HeaderRequestID               = "Filbertcross-Request-Id"     // to callers; to backend servers, which return it
	HeaderRefused                 = "Filbertcross-Refused"        // from backend servers with status 503: "1", not executed
	HeaderRetryAfterMs            = "Filbertcross-Retry-After-Ms" // to callers, besides Retry-After in seconds
	HeaderBranch                  = "Filbertcross-Branch"         // to backend servers
	HeaderIdempotencyKey          = "Idempotency-Key"             // from callers
	HeaderForwardedIdempotencyKey = "Filbertcross-Idempotency-Key"
)

// hopByHopHeaders are the headers that concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders copies the headers that are passed on: neither hop-by-hop ones nor
// those of the front's own protocol.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, names := range h.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, headerPrefix) {
			delete(out, name)
		}
	}
	return out
}
