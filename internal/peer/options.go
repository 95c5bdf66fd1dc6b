package peer

import (
	"context"
	"net"
	"time"

	"filbertcross/internal/event"
)

// Default values of Options.
const (
	DefaultCallTimeout          = 2 * time.Second         // of a call whose context has no deadline
	DefaultDialTimeout          = time.Second             // of connecting, including the first peer.hello call
	DefaultWriteTimeout         = 2 * time.Second         // of writing one message to the connection
	DefaultStallTimeout         = 3 * time.Second         // without received data, after which a timed-out call closes its connection
	DefaultBackoff              = 50 * time.Millisecond   // after the first failed dial; doubles with each further one
	DefaultMaxBackoff           = 1600 * time.Millisecond // upper limit of the backoff
	DefaultIdleTimeout          = 5 * time.Minute         // after which an unused connection is closed
	DefaultMaxMessageBytes      = 4 << 20                 // size of one message
	DefaultMaxHandlersPerMethod = 1024                    // concurrently running handlers of one method
)

// Options configures a Server or a Client. Zero fields take the default values.
type Options struct {
	CallTimeout          time.Duration
	DialTimeout          time.Duration
	WriteTimeout         time.Duration
	StallTimeout         time.Duration
	Backoff              time.Duration
	MaxBackoff           time.Duration
	IdleTimeout          time.Duration
	MaxMessageBytes      int
	MaxHandlersPerMethod int64
	// Clock provides the timestamp of every message sent and is merged with that of every
	// message received; nil means a new clock of this Client or Server alone.
	Clock *event.Clock
	// FaultInjector injects faults into a Client's calls; nil means none.
	FaultInjector FaultInjector
	// Dial opens a connection; nil means TCP. Tests replace it.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// withDefaults returns o with default values in its zero fields.
func (o Options) withDefaults() Options {
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.StallTimeout, DefaultStallTimeout)
	setDefault(&o.Backoff, DefaultBackoff)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&o.MaxHandlersPerMethod, DefaultMaxHandlersPerMethod)
	if o.Clock == nil {
		o.Clock = event.NewClock(time.Now)
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Fault is the fault injected into one message. The zero value is no fault.
type Fault struct {
	Drop  bool          // the message is lost
	Delay time.Duration // delay before the message is passed on
}

// FaultInjector injects faults into calls, for the demo and tests. Requests and responses
// are separate, so that a link can be cut in one direction. Implementations must be safe
// for concurrent use.
type FaultInjector interface {
	// RequestFault returns the fault of a request to address.
	RequestFault(address string, m Method) Fault
	// ResponseFault returns the fault of the response from address.
	ResponseFault(address string, m Method) Fault
}
