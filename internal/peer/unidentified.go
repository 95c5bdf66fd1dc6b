package peer

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of connections that have not yet sent a valid message. Other VMs call helloMethod at once, so
// these connections are new or not of VMs.
const (
	maxUnidentified     = 64
	unidentifiedTimeout = 5 * time.Second // well above DefaultDialTimeout
	maxHelloBytes       = 4 << 10
)

// inbound is a connection that the server has accepted.
type inbound struct {
	net.Conn
	identified atomic.Bool // it has sent a valid message
}

// messageLimit returns the maximum size of the next message in bytes, at most limit.
func (c *inbound) messageLimit(limit int) int {
	if !c.identified.Load() {
		return min(limit, maxHelloBytes)
	}
	return limit
}

// identify states that the connection has sent a valid message.
func (c *inbound) identify() {
	if !c.identified.Swap(true) {
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
}

// unidentified are the connections that have not yet sent a valid message, the oldest one first. It is
// safe for concurrent use.
type unidentified struct {
	mu    sync.Mutex
	conns []*inbound
}

// add adds a new connection. Beyond maxUnidentified the oldest one is closed.
func (u *unidentified) add(c *inbound) {
	_ = c.SetReadDeadline(time.Now().Add(unidentifiedTimeout)) // fails only on a closed connection
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = append(u.conns, c)
	if len(u.conns) > maxUnidentified {
		u.conns = slices.DeleteFunc(u.conns, func(c *inbound) bool { return c.identified.Load() })
	}
	if len(u.conns) > maxUnidentified {
		_ = u.conns[0].Close()
		u.conns = slices.Delete(u.conns, 0, 1)
	}
}

// remove removes a connection that has ended.
func (u *unidentified) remove(c *inbound) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = slices.DeleteFunc(u.conns, func(other *inbound) bool { return other == c })
}
