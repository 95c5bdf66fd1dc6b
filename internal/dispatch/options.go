package dispatch

import "time"

// Options are the settings of a Dispatcher.
type Options struct {
	Fence             int64         // fencing token of this owner; rises with every owner
	Lease             time.Duration // of what runs on a worker, renewed with every hold
	MaxInheritedLease time.Duration // from the election: how long what an earlier owner granted can last
	RenewGrace        time.Duration // for which leases are still renewed after the authority is not surely held
	StopTimeout       time.Duration // within which a worker ends a stopped run
	Retention         time.Duration // of final states

	MaintenanceTime time.Duration // from the order until the machine has a worker again
	HolderCooldown  time.Duration // between the orders of two owners to one machine
}

// Timing of calls and of judgements.
const (
	RenewWait               = 600 * time.Millisecond   // long poll; with the order timeout the bound on how late a lost answer is noticed, when runs last about a second
	idleRenewWait           = 1900 * time.Millisecond  // the same for an idle worker among many; the platform allows 2 s, and a lease that a start grants lasts longer
	idleRenewInterval       = 4 * time.Second          // between holds of an idle worker among thousands, without a long poll
	idleLongPollMaxWorkers  = 2000                     // a connection to each and those of the other VMs use up 4,100 descriptors at 3,000 workers
	shortLongPollMaxWorkers = 500                      // from where on polls of idle workers weigh: 0.06% of a core each
	CommandTimeout          = 270 * time.Millisecond   // of an order, and of a hold beyond its wait: round trips take about 10 ms, a lost packet is repeated after 200 ms
	renewRetryDelay         = 200 * time.Millisecond   // between holds of a worker that does not answer
	unackedPollInterval     = 150 * time.Millisecond   // between holds while ends wait to become durable: a long poll would return at once
	stopRetryDelay          = 300 * time.Millisecond   // until a stop is answered
	minClockRate            = 0.98                     // rate of the slowest worker's clock, from the platform's page
	leaseExpiryMargin       = 60 * time.Millisecond    // added to a lease's end, for timers that fire late
	passIntervalPerJob      = 15 * time.Microsecond    // between passes for each live submission: a tenth of what a pass takes
	placementRetryInterval  = 50 * time.Millisecond    // between tries of a waiting step for advice or for others' room
	sweepInterval           = 25 * time.Millisecond    // between looks over all workers and runs
	maxCommandDelay         = 12500 * time.Millisecond // within which an unanswered order may still be carried out; the platform says 12 s
	deadAfterFailedRenewals = 3                        // unanswered holds in a row, about a second: the worker was dead when they were sent
	statusQueryInterval     = 150 * time.Millisecond   // between looks for the end of a stopped run
	noCapacityBackoff       = 300 * time.Millisecond   // of a worker that refused for want of room: its next report corrects the books
	unhealthyBackoff        = time.Second              // of a worker that refused as unhealthy
	taskRetryDelay          = 250 * time.Millisecond   // of a lasting task after a failure, so that a crash loop stays cheap
	invalidStartBackoff     = time.Second              // of a task whose start was called malformed
	ticketMargin            = 150 * time.Millisecond   // of validity left for the start to arrive
	adviceRetryDelay        = 150 * time.Millisecond   // after a call for advice failed
	maxAdviceWorkers        = 100                      // in one call, from the platform's page
	quarantineFailures      = 3                        // failures in a row, of different jobs
	quarantineTime          = 4 * time.Second          // then one task probes the worker
	runsPerFence            = 1_000_000                // run numbers of one owner, so that they rise across owners without a stored counter
	lateFactor              = 3                        // after so many times the objective a submission earns nothing
	defaultMaxAttempts      = 1
)
