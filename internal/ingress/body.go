package ingress

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of ReadBody besides those of reading.
var (
	ErrBodyTooLarge = errors.New("ingress: the body is too large")
	// ErrOverloaded means that the clients use all memory that they may use. Nothing of the request was used.
	ErrOverloaded = errors.New("ingress: no memory for the body")
	// ErrTimeout means that the body has not arrived within the time that the client waits for a response.
	ErrTimeout = errors.New("ingress: the body has not arrived in time")
)

// firstBuffer is the size in bytes up to which a buffer has the declared size of its body.
const firstBuffer = 16 << 10

// ReadBody returns the body of a request, of at most limit bytes. The body must arrive before the
// deadline of ctx. The memory counts for the request's connection until the handler returns.
// ErrBodyTooLarge, ErrOverloaded and ErrTimeout mean that the connection has to be closed.
func ReadBody(ctx context.Context, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrBodyTooLarge
	}
	b := bodyReader{source: r.Body, limit: limit, declared: r.ContentLength}
	b.conn, _ = r.Context().Value(connKey{}).(*conn)
	if b.conn == nil {
		return b.read()
	}
	deadline, _ := ctx.Deadline()
	_ = b.conn.SetReadDeadline(deadline) // fails only on a closed connection
	b.conn.setPhase(readingBody)
	body, err := b.read()
	b.conn.setPhase(handling)
	if err == nil {
		_ = b.conn.SetReadDeadline(time.Time{})
		return body, nil
	}
	if b.conn.gaveWay() {
		err = ErrOverloaded
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		b.conn.guard.refused.add(reasonSlow)
		err = ErrTimeout
	}
	return nil, err
}

// ReserveDecoding reserves memory for what the decoded form of a body takes until the handler returns.
// It returns ErrOverloaded if there is none.
func ReserveDecoding(r *http.Request, n int64) error {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if ok && !c.guard.reserveDecoding(c, n) {
		c.guard.refused.add(reasonMemory)
		return ErrOverloaded
	}
	return nil
}

// bodyReader reads a body. The memory for one of a declared size is reserved as a whole, so that
// requests that arrive together do not wait for each other; the buffer grows with what has arrived.
type bodyReader struct {
	source   io.Reader
	conn     *conn // nil: the memory is not bounded
	limit    int64
	declared int64 // -1: not declared
}

func (b *bodyReader) read() ([]byte, error) {
	size := min(firstBuffer, b.limit)
	reserved := size
	if b.declared >= 0 {
		size, reserved = min(size, b.declared), b.declared
	}
	if !b.reserve(reserved) {
		return nil, ErrOverloaded
	}
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			done, err := b.atEnd(int64(len(buf)))
			if done || err != nil {
				return buf, err
			}
			if buf, err = b.grow(buf); err != nil {
				return nil, err
			}
		}
		n, err := b.source.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		}
	}
}

// atEnd reports whether a body of which n bytes fill the buffer is complete. It reads the end of a body
// whose size is at the limit.
func (b *bodyReader) atEnd(n int64) (bool, error) {
	if n < b.limit && n != b.declared {
		return false, nil
	}
	var next [1]byte
	for {
		k, err := b.source.Read(next[:])
		switch {
		case k > 0:
			return false, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
}

// grow moves a full buffer to one of the declared size, or of twice its size.
func (b *bodyReader) grow(buf []byte) ([]byte, error) {
	if b.declared >= 0 {
		return append(make([]byte, 0, b.declared), buf...), nil
	}
	old := int64(cap(buf))
	size := min(2*old, b.limit)
	if !b.reserve(size) {
		return nil, ErrOverloaded
	}
	buf = append(make([]byte, 0, size), buf...)
	if b.conn != nil {
		b.conn.release(old)
	}
	return buf, nil
}

func (b *bodyReader) reserve(n int64) bool {
	if b.conn == nil {
		return true
	}
	if !b.conn.guard.reserveArrival(b.conn, n) {
		b.conn.guard.refused.add(reasonMemory)
		return false
	}
	return true
}
