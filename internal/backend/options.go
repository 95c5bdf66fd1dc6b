package backend

import "time"

// Bounds of the control side.
const (
	tickInterval   = 20 * time.Millisecond  // between two looks at what is due by time
	gossipInterval = time.Second            // between two rounds of words on leaving servers
	gossipFanout   = 3                      // VMs told in a round
	callTimeout    = 500 * time.Millisecond // for a call to a peer, besides what it may wait
	barLife        = 10 * time.Second       // for which a permit that was released first cannot be granted
	releaseTries   = 3                      // after which a permit's lease has to end it
	handoverLife   = 2                      // handovers for which a former owner's word holds
	maxBorrows     = 256                    // permits of one service asked of peers at once
	idleWait       = 200 * time.Millisecond // longest wait in another VM's queue for one permit
	stallFactor    = 8                      // likely service times without an answer that count as a stall
)

// minimumCost is the least slot time that fair queueing charges for a request.
const minimumCost = 100 * time.Microsecond

// Options set the manager's bounds. The zero value of a field takes its default.
type Options struct {
	Policy           Policy           // who owns the slots; default PolicyPermits
	Queue            QueueLimits      // of each service on this VM
	Ejection         EjectionOptions  // of failing servers
	Lease            time.Duration    // after which a permit ends by itself; longer than any request
	HandoverDelay    time.Duration    // before a new owner grants slots of which the former owner says nothing
	StallTimeout     time.Duration    // after which a request without an answer counts against its server
	RefusalBackoff   time.Duration    // for which a slot is spared after its server refused a request
	LeavingReportTTL time.Duration    // for which a peer's word that a server is leaving holds
	RetryAfterMin    time.Duration    // shortest advice to come back
	RetryAfterMax    time.Duration    // longest advice to come back
	LocalSlotLimit   int              // slots of each server that this VM uses under PolicyLocal; 0: its part
	Now              func() time.Time // the clock
}

// Policy says which VM may grant a server's slots.
type Policy int

// The policies.
const (
	PolicyPermits Policy = iota // one VM owns a server's slots and grants permits to the others
	PolicyLocal                 // every VM uses every server within a limit of its own
)

// Defaults of Options.
const (
	defaultQueueRequests    = 4096
	defaultQueueBytes       = 64 << 20
	defaultEjectionFailures = 5
	defaultEjectionPart     = 0.25
	defaultEjectionShortest = time.Second
	defaultEjectionLongest  = 30 * time.Second
	defaultLease            = 150 * time.Second
	defaultHandover         = time.Second
	defaultStallAfter       = 500 * time.Millisecond
	defaultRefusedHold      = 20 * time.Millisecond
	defaultLeavingHold      = 30 * time.Second
	defaultRetryAfterMin    = 50 * time.Millisecond
	defaultRetryAfterMax    = 10 * time.Second
)

func (o Options) withDefaults() Options {
	orDefault(&o.Queue.Requests, defaultQueueRequests)
	orDefault(&o.Queue.Bytes, defaultQueueBytes)
	orDefault(&o.Ejection.ConsecutiveFailures, defaultEjectionFailures)
	orDefault(&o.Ejection.MaxFraction, defaultEjectionPart)
	orDefault(&o.Ejection.MinDuration, defaultEjectionShortest)
	orDefault(&o.Ejection.MaxDuration, defaultEjectionLongest)
	orDefault(&o.Lease, defaultLease)
	orDefault(&o.HandoverDelay, defaultHandover)
	orDefault(&o.StallTimeout, defaultStallAfter)
	orDefault(&o.RefusalBackoff, defaultRefusedHold)
	orDefault(&o.LeavingReportTTL, defaultLeavingHold)
	orDefault(&o.RetryAfterMin, defaultRetryAfterMin)
	orDefault(&o.RetryAfterMax, defaultRetryAfterMax)
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

func orDefault[T int | int64 | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
