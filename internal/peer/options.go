package peer

import (
	"context"
	"net"
	"time"

	"filbertcross/internal/event"
)

// Defaults of Options.
const (
	DefaultCallTimeout          = 2 * time.Second         // of a call whose context has no deadline
	DefaultDialTimeout          = time.Second             // for the connection and its greeting
	DefaultWriteTimeout         = 2 * time.Second         // for one message to be taken by the network
	DefaultStallTimeout         = 3 * time.Second         // of silence after which a timed-out call closes its connection
	DefaultBackoff              = 50 * time.Millisecond   // after the first failed dial; doubles
	DefaultMaxBackoff           = 1600 * time.Millisecond // longest wait between dials
	DefaultIdleTimeout          = 5 * time.Minute         // after which an unused connection is closed
	DefaultMaxMessageBytes      = 4 << 20                 // of one message
	DefaultMaxHandlersPerMethod = 1024                    // running at once, for each method
)

// Options are the settings of a Server or a Client. Zero fields take the defaults.
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
	// Clock is stamped on every message and merged from every message; required.
	Clock *event.Clock
	// FaultInjector injects faults into a Client's calls; nil injects none.
	FaultInjector FaultInjector
	// Dial replaces TCP in tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// withDefaults fills the zero fields.
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

// Fault is what a Filter does to one message.
type Fault struct {
	Drop  bool          // the message is lost
	Delay time.Duration // added before the message goes on
}

// FaultInjector injects faults for the demo and for tests, each direction by itself, so
// that a link can be cut one way. Safe for concurrent use.
type FaultInjector interface {
	// RequestFault decides about a call on its way to address.
	RequestFault(address string, m Method) Fault
	// ResponseFault decides about the answer on its way back.
	ResponseFault(address string, m Method) Fault
}
