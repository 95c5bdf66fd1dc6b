package front

import (
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errWritesBlocked is returned for a write on a connection whose request was abandoned.
var errWritesBlocked = errors.New("front: connection is sealed")

// States of the current request of a trackedConn.
const (
	connUnwritten int32 = iota // no byte of the request was written
	connWritten                // bytes may have reached the backend server
	connBlocked                // no byte was written, and none will be
)

// trackedConn records whether bytes of the current request may have reached the
// backend server. Either the first write or blockWrites succeeds, never both, so
// that the verdict not-run holds even if the transport writes later.
type trackedConn struct {
	net.Conn
	state atomic.Int32
}

// beginRequest is called when the transport takes the connection for a request.
func (c *trackedConn) beginRequest() {
	c.state.CompareAndSwap(connWritten, connUnwritten)
}

// Write writes to the connection, or returns errWritesBlocked.
func (c *trackedConn) Write(b []byte) (int, error) {
	first := c.state.CompareAndSwap(connUnwritten, connWritten)
	if !first && c.state.Load() == connBlocked {
		return 0, errWritesBlocked
	}
	n, err := c.Conn.Write(b)
	if first && n == 0 && err != nil {
		c.state.Store(connBlocked)
	}
	return n, err
}

// blockWrites blocks writes and reports whether none was made for the request. A
// request that has begun to write is not blocked.
func (c *trackedConn) blockWrites() bool {
	if c.state.CompareAndSwap(connUnwritten, connBlocked) {
		return true
	}
	return c.state.Load() == connBlocked
}

// discard closes the connection and blocks the writes of any request to which the
// transport has already assigned it.
func (c *trackedConn) discard() {
	c.state.Store(connBlocked)
	_ = c.Conn.Close()
}

// trackedConns are the connections that the transport took for one request: more
// than one if it found earlier ones closed before any byte was written. At most the
// last was written to.
type trackedConns []*trackedConn

func (conns *trackedConns) add(c *trackedConn) {
	c.beginRequest()
	*conns = append(*conns, c)
}

// blockWrites blocks writes on all connections and reports whether none was made on any.
func (conns trackedConns) blockWrites() bool {
	unwritten := true
	for _, c := range conns {
		unwritten = c.blockWrites() && unwritten
	}
	return unwritten
}

func (conns trackedConns) discard() {
	for _, c := range conns {
		c.discard()
	}
}
