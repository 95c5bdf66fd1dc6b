package cluster

import (
	"net"
	"sync/atomic"
)

// Cut says which direction of a Relay loses its bytes.
type DropMode int32

// The cuts.
const (
	DropNone      DropMode = iota
	DropRequests           // what callers send is lost
	DropResponses          // what is answered is lost
	DropBoth
)

// Relay passes TCP connections on to an address, and loses bytes in the
// directions that are cut, as a broken link does: without closing anything.
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

// Address is where callers connect.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set changes the cut, for connections that are open too.
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

// pass copies until one side closes, losing what comes while the direction is cut.
// A connection that lost bytes stays silent: the rest would not make sense.
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
