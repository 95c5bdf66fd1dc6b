package schedule

import "time"

// Options are the scheduler's settings. They do not change after New.
type Options struct {
	Candidates            int           // workers scored for one task
	MaxFailedClasses      int           // job classes found unplaceable before a Decide call returns
	AgeStep               time.Duration // wait after which a job climbs one level
	StarvedAfter          time.Duration // wait after which a job may get a reservation and the ageing turn
	AgeingInterval        int           // one placement in so many goes to the job that waits longest
	LateMargin            time.Duration // slack under which work with a deadline counts as almost late
	MaxReservations       int           // jobs that hold a reservation at once
	DefaultRuntime        time.Duration // assumed where no run time is declared or learned
	PreemptionCandidates  int           // workers looked at for victims in one attempt
	MaxPreemptionAttempts int           // attempts at preemption in one Decide call
	MaxPreemptionsPerTask int           // after so many a task gives way to urgent work only
	HoldTimeout           time.Duration // how long capacity freed by preemption waits for its job
	MaxTaskFailures       int           // failed runs after which a task is given up
	JobFaultWorkers       int           // distinct workers without a success after which a job is at fault
	RestartBackoff        time.Duration // first wait of a service that keeps failing; doubles
	RestartBackoffMax     time.Duration
	QuarantineJobs        int           // distinct jobs that failed on a worker and succeeded elsewhere
	MaxQuarantineFraction float64       // of the workers, at most, in quarantine at once
	ProbeBackoff          time.Duration // first wait before a quarantined worker's probe; doubles
	ProbeBackoffMax       time.Duration
	HealthyAfter          time.Duration // a service that ran so long counts as a success
	LearnFromUsage        bool          // learn sizes and run times from usage reports
	MaxHeadroom           float64       // learned peak use is multiplied by at most this for the grant
	MinUsageReports       int           // usage reports of a workload before its grants change
	MaxCorrectionFactor   float64       // grants stay within this factor of the declared size
	MaxEndedJobs          int           // ended jobs kept for Explain
}

// DefaultOptions returns the settings for production.
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
