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

// request is a caller's request, read whole.
type request struct {
	id       string
	route    // where it goes
	method   string
	target   string // path and query at the backend server, as the caller escaped them
	header   http.Header
	key      string // idempotency key; empty: none
	body     []byte
	deadline time.Time
}

// idempotent reports whether the method may be run again by HTTP's rules.
func (r *request) idempotent() bool {
	switch r.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// safe reports whether a late run of the request changes nothing, so that an
// attempt may be given up while it is still under way.
func (r *request) safe() bool {
	switch r.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return false
	}
}

// usesLedger reports whether the ledger keeps the request from running twice.
func (r *request) usesLedger() bool { return r.key != "" && !r.idempotent() }

// fingerprint hashes what makes the request the same as another one.
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

// parseDeadline reads the caller's deadline: a time, or a duration from now.
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
	return now.Add(deadline.Sub(now)), nil // on the monotonic clock
}

// readBody reads the caller's body within the limits of size and time.
func (o *Options) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, *Problem) {
	if r.ContentLength > o.RequestBodyLimit {
		return nil, invalidRequest(http.StatusRequestEntityTooLarge, "Content-Length", "the body is larger than the limit")
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	until := o.Now().Add(o.ReadTimeout)
	if deadline.Before(until) {
		until = deadline
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(until) // not offered by every ResponseWriter
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, o.RequestBodyLimit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, invalidRequest(http.StatusRequestEntityTooLarge, "", "the body is larger than the limit")
	case err != nil:
		return nil, invalidRequest(http.StatusRequestTimeout, "", "the body did not arrive whole")
	}
	return body, nil
}
