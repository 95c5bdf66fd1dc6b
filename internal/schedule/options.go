package schedule

import "time"

// Options are the scheduler's settings. They must not change after New.
type Options struct {
	Candidates            int           // workers scored for one task
	MaxFailedClasses      int           // classes that fail to place before a Decide call stops trying
	AgeStep               time.Duration // waiting time after which a job is promoted by one level
	StarvedAfter          time.Duration // wait after which a job may get a reservation or an ageing turn
	AgeingInterval        int           // placements between ageing turns, which serve the longest waiting job
	LateMargin            time.Duration // a job with at most this slack is about to miss its deadline
	MaxReservations       int           // classes that hold a reservation at once
	DefaultRuntime        time.Duration // used when no runtime is declared or learned
	PreemptionCandidates  int           // workers checked for victims in one attempt, for each task
	MaxPreemptionAttempts int           // preemption attempts in one Decide call
	MaxPreemptionsPerTask int           // after these, only urgent work may preempt the task
	HoldTimeout           time.Duration // how long capacity freed by preemption is held for its class
	MaxTaskFailures       int           // failed runs after which a task is abandoned
	JobFaultWorkers       int           // workers on which a job fails, without any success, before it is abandoned
	RestartBackoff        time.Duration // initial back-off of a failing service; doubles
	RestartBackoffMax     time.Duration
	QuarantineJobs        int           // distinct jobs that failed on a worker and succeeded elsewhere
	MaxQuarantineFraction float64       // of the workers in quarantine at once, but at least one worker
	ProbeBackoff          time.Duration // initial wait before a quarantined worker is probed; doubles
	ProbeBackoffMax       time.Duration
	HealthyAfter          time.Duration // runtime after which a service's run counts as a success
	LearnFromUsage        bool          // learn sizes and runtimes, and act on overuse
	MaxHeadroom           float64       // maximum factor between the learned peak usage and the grant
	MinUsageReports       int           // usage reports of a workload before its grants change
	MaxCorrectionFactor   float64       // grants stay within this factor of the declared size
	MaxEndedJobs          int           // ended jobs retained for Explain
}

// DefaultOptions returns the production settings.
func DefaultOptions() Options {
	return Options{
		Candidates:            8,
		MaxFailedClasses:      64,
		AgeStep:               10 * time.Minute,
		StarvedAfter:          5 * time.Minute,
		AgeingInterval:        16,
		LateMargin:            2 * time.Minute,
		MaxReservations:       4,
		DefaultRuntime:        10 * time.Minute,
		PreemptionCandidates:  64,
		MaxPreemptionAttempts: 16,
		MaxPreemptionsPerTask: 3,
		HoldTimeout:           time.Minute,
		MaxTaskFailures:       4,
		JobFaultWorkers:       3,
		RestartBackoff:        time.Second,
		RestartBackoffMax:     5 * time.Minute,
		QuarantineJobs:        2,
		MaxQuarantineFraction: 0.25,
		ProbeBackoff:          time.Minute,
		ProbeBackoffMax:       30 * time.Minute,
		HealthyAfter:          30 * time.Second,
		LearnFromUsage:        true,
		MaxHeadroom:           1.2,
		MinUsageReports:       4,
		MaxCorrectionFactor:   5,
		MaxEndedJobs:          4096,
	}
}
