package backend

import "time"

// Limits and intervals of the manager's control loop and peer calls.
const (
	tickInterval         = 20 * time.Millisecond  // between checks of leases, deadlines and ejections
	gossipInterval       = time.Second            // between gossip rounds about leaving servers
	gossipFanout         = 3                      // VMs per gossip round
	peerCallTimeout      = 500 * time.Millisecond // timeout of a peer call, added to the wait that the call requests
	earlyReleaseTTL      = 10 * time.Second       // time for which a permit released before its grant can't be granted
	releaseAttempts      = 3                      // release calls; if all fail, the permit ends when its lease expires
	handoverReportDelays = 2                      // validity of a previous owner's report, as a multiple of Options.HandoverDelay
	maxPendingBorrows    = 256                    // concurrent permit requests to peers, per service
	maxRemoteQueueWait   = 200 * time.Millisecond // wait for one permit in another VM's queue
	stallFactor          = 8                      // multiple of the service time bound after which a request is stalled
)

// minimumCost is the minimum slot time that fair queueing charges for a request.
const minimumCost = 100 * time.Microsecond

// Options configure a Manager. A field with the zero value gets its default.
type Options struct {
	Policy           Policy           // which VM grants a server's slots; default PolicyPermits
	Queue            QueueLimits      // limits of the queue of each service on this VM
	Ejection         EjectionOptions  // ejection of failing servers
	Lease            time.Duration    // after which a permit expires; must exceed the longest request
	HandoverDelay    time.Duration    // before a new owner grants slots without a report of the previous owner
	StallTimeout     time.Duration    // minimum time without a response that counts as a failure of the server
	RefusalBackoff   time.Duration    // minimum time for which a slot is withheld after a refused or timed-out request
	LeavingReportTTL time.Duration    // validity of a report that a server is leaving
	RetryAfterMin    time.Duration    // minimum retry delay in a rejection, before jitter
	RetryAfterMax    time.Duration    // maximum retry delay in a rejection, before jitter
	LocalSlotLimit   int              // slots of each server that this VM may use under PolicyLocal; 0: an even split
	Now              func() time.Time // clock; default time.Now
}

// Policy says which VM may grant a server's slots.
type Policy int

// Policies.
const (
	PolicyPermits Policy = iota // one VM owns a server's slots and grants permits to the others
	PolicyLocal                 // every VM uses every server within a local limit
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
