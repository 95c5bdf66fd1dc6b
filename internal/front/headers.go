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
	HeaderRefused                 = "Filbertcross-Refused"        // from backend servers with status 503: "1" if the request was not run
	HeaderRetryAfterMs            = "Filbertcross-Retry-After-Ms" // to callers, besides Retry-After in seconds
	HeaderBranch                  = "Filbertcross-Branch"         // to backend servers
	HeaderIdempotencyKey          = "Idempotency-Key"             // from callers
	HeaderForwardedIdempotencyKey = "Filbertcross-Idempotency-Key"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of the headers that are forwarded: without the
// hop-by-hop headers and those of the front's own protocol.
func endToEndHeaders(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, names := range h.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	for name := range forwarded {
		if strings.HasPrefix(name, headerPrefix) {
			delete(forwarded, name)
		}
	}
	return forwarded
}
