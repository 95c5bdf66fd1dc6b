package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"filbertcross/internal/backend"
)

// transportCache keeps an HTTP transport for each backend server. Safe for concurrent use.
type transportCache struct {
	options     *Options
	memberCount func() int // VMs that share a server's connections

	mu         sync.Mutex
	transports map[backend.ServerID]*serverTransport
}

// serverTransport is the transport to one server, for a number of VMs.
type serverTransport struct {
	*http.Transport
	address  string
	maxIdle  int
	lastUsed time.Time
}

// unusedTransportTTL is how long the transport of a server that is not used is kept.
const unusedTransportTTL = 10 * time.Minute

func newTransportCache(options *Options, members func() int) *transportCache {
	return &transportCache{
		options:     options,
		memberCount: members,
		transports:  make(map[backend.ServerID]*serverTransport),
	}
}

// transport returns the server's transport; a new one if its address or its
// part of the connections has changed.
func (c *transportCache) transport(s backend.Server) *http.Transport {
	idle := maxIdleConns(s, c.memberCount())
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	known, ok := c.transports[s.ID]
	if ok && known.address == s.Address && known.maxIdle == idle {
		known.lastUsed = now
		return known.Transport
	}
	if ok {
		known.CloseIdleConnections()
	}
	t := &serverTransport{Transport: c.newTransport(idle), address: s.Address, maxIdle: idle, lastUsed: now}
	c.transports[s.ID] = t
	c.evictUnused(now)
	return t.Transport
}

// evictUnused drops the transports of servers that are gone. It is called with
// mu held, when a new server comes.
func (c *transportCache) evictUnused(now time.Time) {
	for id, t := range c.transports {
		if now.Sub(t.lastUsed) > unusedTransportTTL {
			t.CloseIdleConnections()
			delete(c.transports, id)
		}
	}
}

// maxIdleConns is how many unused connections a VM may keep to the server:
// those in use are bounded by the slots, and the rest is shared by the VMs.
func maxIdleConns(s backend.Server, members int) int {
	return max(1, (s.Connections-s.Slots)/max(1, members))
}

func (c *transportCache) newTransport(idle int) *http.Transport {
	dialer := &net.Dialer{Timeout: c.options.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           idle,
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        c.options.IdleConnTimeout,
		MaxResponseHeaderBytes: c.options.ResponseHeaderLimit,
	}
}

// closeIdle closes the connections that carry no request.
func (c *transportCache) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}
