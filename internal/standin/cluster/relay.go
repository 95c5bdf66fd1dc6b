package cluster

import (
	"net"
	"sync/atomic"
)

// DropMode selects the directions in which a Relay drops data.
type DropMode int32

// The drop modes.
const (
	DropNone      DropMode = iota
	DropRequests           // data from clients to the target
	DropResponses          // data from the target to clients
	DropBoth
)

// Relay forwards TCP connections to a target address. It drops the data of the
// selected directions without closing connections, as a broken network link does.
type Relay struct {
	listener net.Listener
	target   string
	dropMode atomic.Int32
}

// NewRelay listens on a free loopback address for connections to target.
func NewRelay(target string) (*Relay, error) {
	addresses, err := FreeAddresses(1)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", addresses[0])
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target}
	go r.acceptConnections()
	return r, nil
}

// Address returns the host:port on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetDropMode changes the drop mode for open and new connections. Safe for concurrent use.
func (r *Relay) SetDropMode(mode DropMode) { r.dropMode.Store(int32(mode)) }

func (r *Relay) acceptConnections() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.relayConnection(client)
	}
}

func (r *Relay) relayConnection(client net.Conn) {
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		client.Close()
		return
	}
	go r.copyBytes(target, client, DropRequests)
	r.copyBytes(client, target, DropResponses)
}

// copyBytes copies from one connection to the other until either side closes. Once it
// has dropped data it forwards nothing more, as the rest of the stream is incomplete.
func (r *Relay) copyBytes(to, from net.Conn, direction DropMode) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		mode := DropMode(r.dropMode.Load())
		dropping = dropping || mode == direction || mode == DropBoth
		if n > 0 && !dropping {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
