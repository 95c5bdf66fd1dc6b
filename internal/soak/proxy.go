package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// ProxyMode is how a proxy forwards data.
type ProxyMode int32

// The modes of a proxy.
const (
	Pass           ProxyMode = iota
	StallAll                 // forwards nothing in either direction; connections stay open
	StallResponses           // forwards requests but no responses: a one-way partition
	StallRequests            // forwards responses but no requests
	Reset                    // resets open and new connections
	DelayAll                 // delays each chunk by slowDelay
)

// slowDelay is well above a round trip and below the shortest timeout of the binaries.
const slowDelay = 60 * time.Millisecond

// modePollInterval is how often a stalled chunk checks whether it may be forwarded.
const modePollInterval = 5 * time.Millisecond

// Proxy forwards TCP connections to one address.
type Proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	limiter  *rate.Limiter // of the responses; nil: no limit

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewProxy starts a proxy to the address target on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy: listen")
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// limitResponses limits the rate of the responses of all connections together. It must be called
// before the first connection.
func (p *Proxy) limitResponses(bytesPerSecond int) {
	p.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), forwardChunk)
}

// forwardChunk is the largest number of bytes forwarded at once.
const forwardChunk = 32 << 10

// Address returns the host and port on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode; Reset also breaks the open connections.
func (p *Proxy) SetMode(m ProxyMode) {
	p.mode.Store(int32(m))
	if m != Reset {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetMode(Reset)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// accept serves connections until the listener is closed.
func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		if ProxyMode(p.mode.Load()) == Reset {
			reset(client)
			continue
		}
		go p.serveConn(client)
	}
}

// serveConn connects to the target and forwards both directions.
func (p *Proxy) serveConn(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.forward(server, client, StallRequests)
	p.forward(client, server, StallResponses)
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// forward copies one direction until a side closes. Data that StallAll or stallMode holds back
// is forwarded after the mode changes, unless a side has closed its connection by then.
func (p *Proxy) forward(to, from net.Conn, stallMode ProxyMode) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, forwardChunk)
	for {
		n, err := from.Read(buffer)
		for {
			mode := ProxyMode(p.mode.Load())
			if mode != StallAll && mode != stallMode {
				if mode == DelayAll {
					time.Sleep(slowDelay)
				}
				break
			}
			time.Sleep(modePollInterval)
		}
		if n > 0 && p.limiter != nil && stallMode == StallResponses {
			_ = p.limiter.WaitN(context.Background(), n) // fails only for more than forwardChunk bytes
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			return
		}
	}
}
