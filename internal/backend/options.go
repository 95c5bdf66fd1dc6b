package backend

import "time"

// Bounds of the control side.
const (
	tickInterval         = 20 * time.Millisecond  // between two looks at what is due by time
	gossipInterval       = time.Second            // between two rounds of words on leaving servers
	gossipFanout         = 3                      // VMs told in a round
	peerCallTimeout      = 500 * time.Millisecond // for a call to a peer, besides what it may wait
	earlyReleaseTTL      = 10 * time.Second       // for which a permit that was released first cannot be granted
	releaseAttempts      = 3                      // after which a permit's lease has to end it
	handoverReportDelays = 2                      // handovers for which a former owner's word holds
	maxPendingBorrows    = 256                    // permits of one service asked of peers at once
	maxRemoteQueueWait   = 200 * time.Millisecond // longest wait in another VM's queue for one permit
	stallFactor          = 8                      // likely service times without an answer that count as a stall
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
	defaultQueueRequests       = 4096
	defaultQueueBytes          = 64 << 20
	defaultEjectionFailures    = 5
	defaultEjectionMaxFraction = 0.25
	defaultEjectionMinDuration = time.Second
	defaultEjectionMaxDuration = 30 * time.Second
	defaultLease               = 150 * time.Second
	defaultHandoverDelay       = time.Second
	defaultStallTimeout        = 500 * time.Millisecond
	defaultRefusalBackoff      = 20 * time.Millisecond
	defaultLeavingReportTTL    = 30 * time.Second
	defaultRetryAfterMin       = 50 * time.Millisecond
	defaultRetryAfterMax       = 10 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.Queue.Requests, defaultQueueRequests)
	setDefault(&o.Queue.Bytes, defaultQueueBytes)
	setDefault(&o.Ejection.ConsecutiveFailures, defaultEjectionFailures)
	setDefault(&o.Ejection.MaxFraction, defaultEjectionMaxFraction)
	setDefault(&o.Ejection.MinDuration, defaultEjectionMinDuration)
	setDefault(&o.Ejection.MaxDuration, defaultEjectionMaxDuration)
	setDefault(&o.Lease, defaultLease)
	setDefault(&o.HandoverDelay, defaultHandoverDelay)
	setDefault(&o.StallTimeout, defaultStallTimeout)
	setDefault(&o.RefusalBackoff, defaultRefusalBackoff)
	setDefault(&o.LeavingReportTTL, defaultLeavingReportTTL)
	setDefault(&o.RetryAfterMin, defaultRetryAfterMin)
	setDefault(&o.RetryAfterMax, defaultRetryAfterMax)
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

func setDefault[T int | int64 | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
