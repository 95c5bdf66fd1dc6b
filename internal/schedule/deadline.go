package schedule

import "time"

// A job with a deadline climbs as its slack, the time to its latest start, runs out: one
// level at half of its window, and to levelLate near the end. Past its deadline it falls
// back to its tier, so that lost work does not take others' deadlines with it.
const (
	promoteDivisor = 2  // climbs one level when slack is below the window divided by this
	lateDivisor    = 10 // climbs to levelLate likewise, or at Options.LateMargin
)

// dueTime is the job's key in its class: the latest start that meets the deadline, or,
// without one, the time at which it would climb by age.
func (s *Scheduler) dueTime(j *job) time.Time {
	if j.Deadline.IsZero() {
		return j.Submitted.Add(s.opts.AgeStep)
	}
	return j.Deadline.Add(-j.class.estimate.runtime(j.Runtime, s.opts))
}

// levelAt returns the job's level now and when to look again; zero: never.
func (s *Scheduler) levelAt(j *job) (level, time.Time) {
	base := levelOf(j.Tier)
	if base == levelUrgent {
		return levelUrgent, time.Time{}
	}
	aged, next := s.ageLevel(j, base)
	if j.Deadline.IsZero() || !s.cluster.now.Before(j.Deadline) {
		return aged, next
	}
	climbed, climbs := s.slackLevel(j, base)
	return min(aged, climbed), earliest(next, climbs)
}

// ageLevel lets a job climb one level for each AgeStep, as far as levelHigh.
func (s *Scheduler) ageLevel(j *job, base level) (level, time.Time) {
	waited := s.cluster.now.Sub(j.Submitted)
	steps := level(max(waited, 0) / s.opts.AgeStep)
	to := max(base-steps, min(base, levelHigh))
	if waited < s.opts.StarvedAfter {
		return to, j.Submitted.Add(s.opts.StarvedAfter)
	}
	if to == levelHigh {
		return to, time.Time{}
	}
	return to, j.Submitted.Add(time.Duration(steps+1) * s.opts.AgeStep)
}

// slackLevel lets a job climb by its slack.
func (s *Scheduler) slackLevel(j *job, base level) (level, time.Time) {
	window := j.due.Sub(j.Submitted)
	climb := j.due.Add(-max(window/promoteDivisor, s.opts.LateMargin))
	late := j.due.Add(-max(window/lateDivisor, s.opts.LateMargin))
	switch now := s.cluster.now; {
	case !now.Before(late):
		return levelLate, j.Deadline
	case !now.Before(climb):
		return max(base-1, levelHigh), late
	default:
		return base, climb
	}
}

// earliest returns the earlier of two times, of which zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
