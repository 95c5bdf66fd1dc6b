package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ProxyMode is what a proxy does to the bytes that pass it.
type ProxyMode int32

// The modes of a proxy.
const (
	Pass           ProxyMode = iota
	StallAll                 // nothing passes, in either direction; connections stay open
	StallResponses           // requests pass, answers do not: a one-way cut
	StallRequests            // the other way
	Reset                    // connections are reset, new ones too
	DelayAll                 // each piece is held up for slowBy
)

// slowBy is well above a round trip and below the shortest timeout.
const slowBy = 60 * time.Millisecond

// pollMode is how often a held piece looks whether it may go on.
const pollMode = 5 * time.Millisecond

// Proxy forwards TCP connections to one address.
type Proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewProxy listens on loopback.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
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

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetMode(Reset)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		if ProxyMode(p.mode.Load()) == Reset {
			reset(client)
			continue
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.pipe(server, client, StallRequests)
	p.pipe(client, server, StallResponses)
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// pipe copies one direction; what a cut holds back goes on when it heals, unless a side
// has given up by then.
func (p *Proxy) pipe(to, from net.Conn, cut ProxyMode) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for {
			mode := ProxyMode(p.mode.Load())
			if mode != StallAll && mode != cut {
				if mode == DelayAll {
					time.Sleep(slowBy)
				}
				break
			}
			time.Sleep(pollMode)
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
