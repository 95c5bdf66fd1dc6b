package schedule

import (
	"time"

	"filbertcross/internal/model"
)

// Explain returns why the job waits: its wait reason, and how many workers each filter
// currently rejects for its next task. It checks every worker. It returns false if the job is
// unknown.
func (s *Scheduler) Explain(id model.JobID) (Explanation, bool) {
	j := s.jobs[id]
	if j == nil {
		return Explanation{}, false
	}
	e := Explanation{Job: id, Waiting: j.waiting, Running: len(j.runs), Done: j.done, Reason: s.explainReason(j)}
	if j.waiting == 0 {
		return e, true
	}
	counts := s.countFilters(j)
	for f := filterNone + 1; f < filterCount; f++ {
		if counts[f] > 0 {
			e.Filters = append(e.Filters, Filter{Name: f.String(), Workers: counts[f]})
		}
	}
	return e, true
}

// countFilters counts the workers by the filter that rejects them.
func (s *Scheduler) countFilters(j *job) [filterCount]int {
	var counts [filterCount]int
	q := s.newQuery(j)
	for _, w := range s.cluster.ring {
		counts[s.cluster.rejectingFilter(w, q)]++
	}
	return counts
}

// explainReason returns a human-readable reason why the job waits.
func (s *Scheduler) explainReason(j *job) string {
	switch {
	case j.canceled:
		return "canceled"
	case j.abandonReason != "":
		return j.abandonReason
	case j.waiting == 0 && len(j.runs) > 0:
		return "running"
	case j.waiting == 0:
		return "ended"
	case s.cluster.now.Before(j.notBefore):
		return "waits before the next start after failures"
	case j.Kind == model.KindGang && len(j.runs) > 0:
		return "waits until the gang's other tasks have stopped"
	case len(j.class.holds) > 0 && j.class.holds[0].isReservation:
		return "waits for reserved workers, expected at " + j.class.holds[0].expectedStart.UTC().Format(time.RFC3339)
	case j.class.state == classActive:
		return "waits for its turn"
	}
	return j.class.waitReason
}
