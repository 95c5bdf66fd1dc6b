package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"filbertcross/internal/backend"
)

// transportCache holds an HTTP transport for each backend server. Safe for
// concurrent use.
type transportCache struct {
	options     *Options
	memberCount func() int // VMs that share a server's connections

	mu         sync.Mutex
	transports map[backend.ServerID]*serverTransport
}

// serverTransport is the transport to one server. It is replaced when the address
// or the connection limit changes.
type serverTransport struct {
	*http.Transport
	address  string
	maxIdle  int
	lastUsed time.Time
}

// unusedTransportTTL is how long a transport without requests is kept.
const unusedTransportTTL = 10 * time.Minute

func newTransportCache(options *Options, members func() int) *transportCache {
	return &transportCache{
		options:     options,
		memberCount: members,
		transports:  make(map[backend.ServerID]*serverTransport),
	}
}

// transport returns the server's transport. It creates a new one if the address or
// this VM's share of the connections has changed.
func (c *transportCache) transport(s backend.Server) *http.Transport {
	maxIdle := maxIdleConns(s, c.memberCount())
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	cached, ok := c.transports[s.ID]
	if ok && cached.address == s.Address && cached.maxIdle == maxIdle {
		cached.lastUsed = now
		return cached.Transport
	}
	if ok {
		cached.CloseIdleConnections()
	}
	t := &serverTransport{Transport: c.newTransport(maxIdle), address: s.Address, maxIdle: maxIdle, lastUsed: now}
	c.transports[s.ID] = t
	c.evictUnused(now)
	return t.Transport
}

// evictUnused removes transports that were not used for unusedTransportTTL, such as
// those of removed servers. It is called when a transport is created. The caller
// holds mu.
func (c *transportCache) evictUnused(now time.Time) {
	for id, t := range c.transports {
		if now.Sub(t.lastUsed) > unusedTransportTTL {
			t.CloseIdleConnections()
			delete(c.transports, id)
		}
	}
}

// maxIdleConns returns how many idle connections this VM may keep to the server:
// the slots bound the connections in use, and the VMs share the rest equally.
func maxIdleConns(s backend.Server, members int) int {
	return max(1, (s.Connections-s.Slots)/max(1, members))
}

func (c *transportCache) newTransport(maxIdle int) *http.Transport {
	dialer := &net.Dialer{Timeout: c.options.DialTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true) // over HTTP/2 the transport resends requests that a server did not process
	return &http.Transport{
		Protocols: protocols,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           maxIdle,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        c.options.IdleConnTimeout,
		MaxResponseHeaderBytes: c.options.ResponseHeaderLimit,
	}
}

// closeIdle closes all connections without a request.
func (c *transportCache) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}
