package schedule

import "time"

// A job with a deadline is promoted as its slack, the time until its latest start, shrinks:
// by one level at half of its window and to levelLate near the end. After its deadline it
// returns to the level of its tier and age, so that late work does not make other jobs miss
// their deadlines.
const (
	promoteDivisor = 2  // promoted by one level when slack is at most the window divided by this, or LateMargin
	lateDivisor    = 10 // promoted to levelLate likewise
)

// dueTime returns the job's sort key within its class: the latest start that meets its
// deadline or, without a deadline, the time of its first promotion by age.
func (s *Scheduler) dueTime(j *job) time.Time {
	if j.Deadline.IsZero() {
		return j.Submitted.Add(s.opts.AgeStep)
	}
	return j.Deadline.Add(-j.class.estimate.runtime(j.Runtime, s.opts))
}

// levelAt returns the job's current level and when to check it again; zero means never.
func (s *Scheduler) levelAt(j *job) (level, time.Time) {
	base := levelOf(j.Tier)
	if base == levelUrgent {
		return levelUrgent, time.Time{}
	}
	byAge, next := s.ageLevel(j, base)
	if j.Deadline.IsZero() || !s.cluster.now.Before(j.Deadline) {
		return byAge, next
	}
	bySlack, nextBySlack := s.slackLevel(j, base)
	return min(byAge, bySlack), earliest(next, nextBySlack)
}

// ageLevel promotes a job by one level for each Options.AgeStep that it has waited, up to
// levelHigh. The returned time also covers the moment at which the job counts as starved.
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

// slackLevel promotes a job by its slack; see the constants above.
func (s *Scheduler) slackLevel(j *job, base level) (level, time.Time) {
	window := j.due.Sub(j.Submitted)
	promoteAt := j.due.Add(-max(window/promoteDivisor, s.opts.LateMargin))
	lateAt := j.due.Add(-max(window/lateDivisor, s.opts.LateMargin))
	switch now := s.cluster.now; {
	case !now.Before(lateAt):
		return levelLate, j.Deadline
	case !now.Before(promoteAt):
		return max(base-1, levelHigh), lateAt
	default:
		return base, promoteAt
	}
}

// earliest returns the earlier of two times, where zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
