package front

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/ledger"
)

// request is a caller's request with its complete body.
type request struct {
	id       string
	route    // of the workload that the path names
	method   string
	target   string // path and query at the backend server, with the caller's escapes
	header   http.Header
	key      string // idempotency key; empty if there is none
	body     []byte
	deadline time.Time
}

// idempotent reports whether HTTP allows the method to be run more than once.
func (r *request) idempotent() bool {
	switch r.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// safe reports whether a late run of the request changes nothing, so that an
// attempt may be abandoned while the backend server still processes it.
func (r *request) safe() bool {
	switch r.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return false
	}
}

// usesLedger reports whether the ledger prevents a second run of the request.
func (r *request) usesLedger() bool { return r.key != "" && !r.idempotent() }

// fingerprint hashes the parts of the request that must match when its idempotency
// key is used again. Each part is preceded by its length.
func (r *request) fingerprint() ledger.Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.method), []byte(r.service), []byte(r.target), r.body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return ledger.Fingerprint(h.Sum(nil))
}

// parseDeadline parses the caller's deadline: an RFC 3339 time or a Go duration
// from now. A deadline beyond MaxDeadline is reduced to it.
func (o *Options) parseDeadline(now time.Time, text string) (time.Time, *Problem) {
	if text == "" {
		return now.Add(o.DefaultDeadline), nil
	}
	latest := now.Add(o.MaxDeadline)
	deadline, err := time.Parse(time.RFC3339, text)
	if err != nil {
		d, err := time.ParseDuration(text)
		if err != nil {
			return time.Time{}, invalidRequest(http.StatusBadRequest, HeaderDeadline, "neither an RFC 3339 time nor a duration")
		}
		deadline = now.Add(d)
	}
	if !deadline.After(now) {
		return time.Time{}, invalidRequest(http.StatusGatewayTimeout, HeaderDeadline, "the deadline has passed")
	}
	if deadline.After(latest) {
		deadline = latest
	}
	return now.Add(deadline.Sub(now)), nil // with the monotonic clock reading of now
}

// readBody reads the caller's body within RequestBodyLimit, ReadTimeout and the
// deadline of the request.
func (o *Options) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, *Problem) {
	if r.ContentLength > o.RequestBodyLimit {
		return nil, invalidRequest(http.StatusRequestEntityTooLarge, "Content-Length", "the body is larger than the limit")
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	readDeadline := o.Now().Add(o.ReadTimeout)
	if deadline.Before(readDeadline) {
		readDeadline = deadline
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(readDeadline) // not every ResponseWriter supports deadlines
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, o.RequestBodyLimit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, invalidRequest(http.StatusRequestEntityTooLarge, "", "the body is larger than the limit")
	case err != nil:
		return nil, invalidRequest(http.StatusRequestTimeout, "", "the body did not arrive completely")
	}
	return body, nil
}
