package front

import (
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errSealed is the answer to a write on a connection whose request was given up.
var errSealed = errors.New("front: connection is sealed")

// The states of a gatedConn's request.
const (
	gateUntouched int32 = iota // no byte of the request was written
	gateWritten                // bytes may have reached the backend server
	gateSealed                 // no byte was written, and none will be
)

// gatedConn knows whether a byte of the present request can have reached the
// backend server. Sealing and the first write exclude each other, so that "not
// run" stays true of a request whose writer is still on its way.
type gatedConn struct {
	net.Conn
	state atomic.Int32
}

// begin is called when the transport takes the connection for a request.
func (c *gatedConn) begin() {
	c.state.CompareAndSwap(gateWritten, gateUntouched)
}

// Write passes bytes on unless the connection is sealed.
func (c *gatedConn) Write(b []byte) (int, error) {
	first := c.state.CompareAndSwap(gateUntouched, gateWritten)
	if !first && c.state.Load() == gateSealed {
		return 0, errSealed
	}
	n, err := c.Conn.Write(b)
	if first && n == 0 && err != nil {
		c.state.Store(gateSealed)
	}
	return n, err
}

// seal bars later writes and reports whether none was made for the request.
func (c *gatedConn) seal() bool {
	if c.state.CompareAndSwap(gateUntouched, gateSealed) {
		return true
	}
	return c.state.Load() == gateSealed
}

// poison closes the connection and bars any request that the transport has
// already given it to.
func (c *gatedConn) poison() {
	c.state.Store(gateSealed)
	_ = c.Conn.Close()
}

// gatedConns are the connections that the transport took for one request: more
// than one if it found the first closed and the method allowed another.
type gatedConns []*gatedConn

func (g *gatedConns) take(c *gatedConn) {
	c.begin()
	*g = append(*g, c)
}

// seal bars later writes on all and reports whether none was made on any.
func (g gatedConns) seal() bool {
	untouched := true
	for _, c := range g {
		untouched = c.seal() && untouched
	}
	return untouched
}

func (g gatedConns) poison() {
	for _, c := range g {
		c.poison()
	}
}
