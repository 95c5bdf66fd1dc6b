package schedule

import "time"

// Options are the scheduler's settings. They do not change after New.
type Options struct {
	Candidates         int           // workers scored for one task
	FailedClasses      int           // job classes found unplaceable before a Decide call returns
	AgeStep            time.Duration // wait after which a job climbs one level
	StarvedAfter       time.Duration // wait after which a job may get a reservation and the ageing turn
	AgeingTurn         int           // one placement in so many goes to the job that waits longest
	LateMargin         time.Duration // slack under which work with a deadline counts as almost late
	Reservations       int           // jobs that hold a reservation at once
	DefaultRuntime     time.Duration // assumed where no run time is declared or learned
	PreemptCandidates  int           // workers looked at for victims in one attempt
	PreemptPerDecide   int           // attempts at preemption in one Decide call
	PreemptionsPerTask int           // after so many a task gives way to urgent work only
	HoldTimeout        time.Duration // how long capacity freed by preemption waits for its job
	TaskFailures       int           // failed runs after which a task is given up
	JobFaultWorkers    int           // distinct workers without a success after which a job is at fault
	RestartBackoff     time.Duration // first wait of a service that keeps failing; doubles
	RestartBackoffMax  time.Duration
	QuarantineJobs     int           // distinct jobs that failed on a worker and succeeded elsewhere
	QuarantineFraction float64       // of the workers, at most, in quarantine at once
	ProbeBackoff       time.Duration // first wait before a quarantined worker's probe; doubles
	ProbeBackoffMax    time.Duration
	HealthyAfter       time.Duration // a service that ran so long counts as a success
	Correct            bool          // learn sizes and run times from usage reports
	Headroom           float64       // learned peak use is multiplied by at most this for the grant
	MinObservations    int           // usage reports of a workload before its grants change
	MaxCorrection      float64       // grants stay within this factor of the declared size
	EndedJobs          int           // ended jobs kept for Explain
}

// DefaultOptions returns the settings for production.
func DefaultOptions() Options {
	return Options{
		Candidates:         8,
		FailedClasses:      64,
		AgeStep:            10 * time.Minute,
		StarvedAfter:       5 * time.Minute,
		AgeingTurn:         16,
		LateMargin:         2 * time.Minute,
		Reservations:       4,
		DefaultRuntime:     10 * time.Minute,
		PreemptCandidates:  64,
		PreemptPerDecide:   16,
		PreemptionsPerTask: 3,
		HoldTimeout:        time.Minute,
		TaskFailures:       4,
		JobFaultWorkers:    3,
		RestartBackoff:     time.Second,
		RestartBackoffMax:  5 * time.Minute,
		QuarantineJobs:     2,
		QuarantineFraction: 0.25,
		ProbeBackoff:       time.Minute,
		ProbeBackoffMax:    30 * time.Minute,
		HealthyAfter:       30 * time.Second,
		Correct:            true,
		Headroom:           1.2,
		MinObservations:    4,
		MaxCorrection:      5,
		EndedJobs:          4096,
	}
}
