package dispatch

import (
	"time"

	"filbertcross/internal/admission"
)

// Options configures a Dispatcher.
type Options struct {
	RateBurst         admission.Burst
	Fence             int64         // fencing token of this owner; increases with every owner
	Lease             time.Duration // lease of the runs on a worker, extended by every renewal
	MaxLease          time.Duration // longest lease that a worker grants, whatever the deadline
	MaxInheritedLease time.Duration // longest remaining lease granted by earlier owners, counted from this owner's election
	RenewGrace        time.Duration // how long leases are still renewed after this owner can no longer prove its authority
	StopTimeout       time.Duration // maximum time a worker takes to end a stopped run
	MaxListAge        time.Duration // age of the list of workers up to which runs are started by it while it cannot be read
	Retention         time.Duration // how long final states are kept

	MaintenanceTime time.Duration // from the maintenance command until the machine has a worker again
	HolderCooldown  time.Duration // minimum time between commands of two owners to the same machine
}

// Timeouts, intervals and limits.
const (
	// RenewWait is the long poll duration of a lease renewal. With CommandTimeout it bounds the
	// delay until a lost response is noticed, which matters as runs may last only about a second.
	RenewWait = 600 * time.Millisecond
	// idleRenewWait is the long poll duration of idle workers in a large fleet. The platform
	// allows 2 s, and the lease granted by a start lasts longer.
	idleRenewWait = 1900 * time.Millisecond
	// idleRenewInterval is the time between renewals of idle workers without a long poll.
	idleRenewInterval = 4 * time.Second
	// idleLongPollMaxWorkers is the fleet size above which idle workers get no long poll. At
	// 3,000 workers, a connection to each and those of the other VMs use 4,100 descriptors.
	idleLongPollMaxWorkers = 2000
	// shortLongPollMaxWorkers is the fleet size above which idle workers get idleRenewWait,
	// because polling costs 0.06% of a core for each of them.
	shortLongPollMaxWorkers = 500
	// CommandTimeout is the timeout of a command, and of a renewal beyond its wait. A round trip
	// takes about 10 ms, and a lost packet is retransmitted after 200 ms.
	CommandTimeout = 270 * time.Millisecond
	// renewRetryDelay is the time between renewals sent to a worker that does not respond.
	renewRetryDelay = 200 * time.Millisecond
	// unackedPollInterval is the time between renewals while results wait to become durable,
	// during which a long poll would return at once.
	unackedPollInterval = 150 * time.Millisecond
	// stopRetryDelay is the time between stop commands until one is confirmed.
	stopRetryDelay = 300 * time.Millisecond
	// minClockRate is the rate of the slowest worker clock, as documented by the platform.
	minClockRate = 0.98
	// leaseExpiryMargin is added to the end of a lease because timers may fire late.
	leaseExpiryMargin = 60 * time.Millisecond
	// passIntervalPerJob is the time between placement passes for each active submission. It
	// limits the share of time spent in passes to about a tenth.
	passIntervalPerJob = 15 * time.Microsecond
	// placementRetryInterval is the time between attempts of a waiting step to get advice or to
	// preempt runs.
	placementRetryInterval = 50 * time.Millisecond
	// sweepInterval is the time between checks over all workers and runs.
	sweepInterval = 25 * time.Millisecond
	// maxCommandDelay is how long after being sent an unanswered command may still be executed.
	// The platform documents 12 s.
	maxCommandDelay = 12500 * time.Millisecond
	// unknownAfterFailedRenewals is the number of consecutive unanswered renewals, about 5 s, after which a worker
	// that has never reported is left out of the durable list.
	unknownAfterFailedRenewals = 10
	// statusQueryInterval is the time between status queries to a worker.
	statusQueryInterval = 150 * time.Millisecond
	// noCapacityBackoff applies to a worker that rejected a start for lack of capacity. Its next
	// report corrects the accounted capacity.
	noCapacityBackoff = 300 * time.Millisecond
	// unhealthyBackoff applies to a worker that rejected a start because it is unhealthy.
	unhealthyBackoff = time.Second
	// taskRetryDelay applies to a long-running task that has ended, and to a gang that ended
	// because of a missing or ended member. It limits the cost of a crash loop.
	taskRetryDelay = 250 * time.Millisecond
	// invalidStartBackoff applies to a task whose start was rejected as invalid.
	invalidStartBackoff = time.Second
	// ticketMargin is the remaining validity that a ticket needs for the start to arrive in time.
	ticketMargin = 150 * time.Millisecond
	// ticketBackoff is the first delay of a step whose starts are rejected for their tickets. It doubles
	// with each attempt up to maxTicketBackoff.
	ticketBackoff             = 50 * time.Millisecond
	maxTicketBackoff          = 2 * time.Second
	maxTicketBackoffDoublings = 10
	adviceRetryDelay          = 150 * time.Millisecond // after a failed advice call
	maxAdviceWorkers          = 100                    // in one advice call, as documented by the platform
	// quarantineFailures is the number of consecutive failures of different jobs that puts a
	// worker into quarantine.
	quarantineFailures = 3
	// quarantineTime is the duration of a quarantine. Afterwards a single task probes the worker.
	quarantineTime = 4 * time.Second
	// runsPerFence is the size of an owner's range of run numbers. Numbers derived from the fencing
	// token increase across owners without a stored counter.
	runsPerFence = 1_000_000
	// lateFactor is the multiple of its objective after which a submission has no value.
	lateFactor         = 3
	defaultMaxAttempts = 1
)
