package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"filbertcross/internal/backend"
)

// connections keeps an HTTP transport for each backend server. Safe for concurrent use.
type connections struct {
	options *Options
	members func() int // VMs that share a server's connections

	mu         sync.Mutex
	transports map[backend.ServerID]*serverTransport
}

// serverTransport is the transport to one server, for a number of VMs.
type serverTransport struct {
	*http.Transport
	address string
	idle    int
	used    time.Time
}

// transportLife is how long the transport of a server that is not used is kept.
const transportLife = 10 * time.Minute

func newConnections(options *Options, members func() int) *connections {
	return &connections{
		options:    options,
		members:    members,
		transports: make(map[backend.ServerID]*serverTransport),
	}
}

// transport returns the server's transport; a new one if its address or its
// part of the connections has changed.
func (c *connections) transport(s backend.Server) *http.Transport {
	idle := idleConnections(s, c.members())
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	known, ok := c.transports[s.ID]
	if ok && known.address == s.Address && known.idle == idle {
		known.used = now
		return known.Transport
	}
	if ok {
		known.CloseIdleConnections()
	}
	t := &serverTransport{Transport: c.dialer(idle), address: s.Address, idle: idle, used: now}
	c.transports[s.ID] = t
	c.forgetUnused(now)
	return t.Transport
}

// forgetUnused drops the transports of servers that are gone. It is called with
// mu held, when a new server comes.
func (c *connections) forgetUnused(now time.Time) {
	for id, t := range c.transports {
		if now.Sub(t.used) > transportLife {
			t.CloseIdleConnections()
			delete(c.transports, id)
		}
	}
}

// idleConnections is how many unused connections a VM may keep to the server:
// those in use are bounded by the slots, and the rest is shared by the VMs.
func idleConnections(s backend.Server, members int) int {
	return max(1, (s.Connections-s.Slots)/max(1, members))
}

func (c *connections) dialer(idle int) *http.Transport {
	dialer := &net.Dialer{Timeout: c.options.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           idle,
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        c.options.IdleConnTimeout,
		MaxResponseHeaderBytes: c.options.ResponseHeaderLimit,
	}
}

// closeIdle closes the connections that carry no request.
func (c *connections) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}
