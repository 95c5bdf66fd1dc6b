package front

import (
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errWritesBlocked is the answer to a write on a connection whose request was given up.
var errWritesBlocked = errors.New("front: connection is sealed")

// The states of a gatedConn's request.
const (
	connUnwritten int32 = iota // no byte of the request was written
	connWritten                // bytes may have reached the backend server
	connBlocked                // no byte was written, and none will be
)

// trackedConn knows whether a byte of the present request can have reached the
// backend server. Sealing and the first write exclude each other, so that "not
// run" stays true of a request whose writer is still on its way.
type trackedConn struct {
	net.Conn
	state atomic.Int32
}

// beginRequest is called when the transport takes the connection for a request.
func (c *trackedConn) beginRequest() {
	c.state.CompareAndSwap(connWritten, connUnwritten)
}

// Write passes bytes on unless the connection is sealed.
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

// blockWrites bars later writes and reports whether none was made for the request.
func (c *trackedConn) blockWrites() bool {
	if c.state.CompareAndSwap(connUnwritten, connBlocked) {
		return true
	}
	return c.state.Load() == connBlocked
}

// discard closes the connection and bars any request that the transport has
// already given it to.
func (c *trackedConn) discard() {
	c.state.Store(connBlocked)
	_ = c.Conn.Close()
}

// trackedConns are the connections that the transport took for one request: more
// than one if it found the first closed and the method allowed another.
type trackedConns []*trackedConn

func (g *trackedConns) add(c *trackedConn) {
	c.beginRequest()
	*g = append(*g, c)
}

// blockWrites bars later writes on all and reports whether none was made on any.
func (g trackedConns) blockWrites() bool {
	untouched := true
	for _, c := range g {
		untouched = c.blockWrites() && untouched
	}
	return untouched
}

func (g trackedConns) discard() {
	for _, c := range g {
		c.discard()
	}
}
