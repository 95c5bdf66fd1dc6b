package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"filbertcross/platform/standin"
)

// Behaviour of the soak's callers.
const (
	submitEvery  = 60 * time.Millisecond
	callTimeout  = 3200 * time.Millisecond
	tries        = 5
	cancelBound  = 15 * time.Second // after its confirmation nothing of a submission may start; faults delay what the owner learns
	lostMeansAge = 10 * time.Second // a confirmed submission that is unknown after this is lost
)

// submission is one that a caller has sent.
type submission struct {
	id, path  string
	spec      string
	accepted  time.Time
	cancelled bool
}

// caller sends one submission until it is settled, and cancels a few. It returns nil for
// one that was not accepted.
func (r *run) submit(ctx context.Context, rng *rand.Rand, n int) *submission {
	s := &submission{id: fmt.Sprintf("%016x", uint64(n)+r.opts.Seed<<20)}
	prefix := standin.QueuePrefix
	if rng.IntN(3) == 0 {
		prefix = standin.AdvisedQueuePrefix
	}
	s.path = prefix + s.id
	switch rng.IntN(12) {
	case 0:
		s.spec = "fail ms=50"
	case 1:
		s.spec = "lasts"
	default:
		s.spec = fmt.Sprintf("ms=%d", 50+rng.IntN(900))
	}
	work := standin.SingleStep(s.spec, 1+rng.IntN(4), 1000*(1+rng.IntN(6)))
	if rng.IntN(3) == 0 {
		second := work.Steps[0]
		second.After = []int{0}
		work.Steps = append(work.Steps, second)
	}
	work.Steps[0].Gang = rng.IntN(6) == 0
	body := work.Body()
	cancel := s.spec == "lasts" || rng.IntN(15) == 0
	r.site.Checker.RecordSubmission(s.id, work)
	allRefused := true
	for range tries {
		status, _ := r.call(ctx, rng, http.MethodPost, s.path, body)
		switch status {
		case http.StatusOK:
			s.accepted = time.Now()
			if cancel {
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
				r.cancel(ctx, rng, s)
			}
			return s
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			allRefused = false
		}
		time.Sleep(time.Duration(100+rng.IntN(300)) * time.Millisecond)
	}
	if allRefused {
		r.site.Checker.RecordRejection(s.id)
	}
	return nil
}

func (r *run) cancel(ctx context.Context, rng *rand.Rand, s *submission) {
	for ctx.Err() == nil {
		status, _ := r.call(ctx, rng, http.MethodDelete, s.path, "")
		if status == http.StatusOK || status == http.StatusGone {
			s.cancelled = true
			time.AfterFunc(cancelBound, func() { r.site.Checker.RecordCancellation(s.id) })
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// call goes to any VM; 0 means that no whole answer came.
func (r *run) call(ctx context.Context, rng *rand.Rand, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, answer, err := r.client.Do(ctx, method, r.anyVM(rng).callers, path, body)
	if err != nil {
		return 0, ""
	}
	return status, answer
}

// settled asks for a submission and reports whether it has its final state; a wrong one is
// a fault.
func (r *run) settled(ctx context.Context, rng *rand.Rand, s *submission) bool {
	status, answer := r.call(ctx, rng, http.MethodGet, s.path, "")
	switch {
	case status == http.StatusGone && time.Since(s.accepted) > lostMeansAge:
		r.site.Checker.AddViolation("LOST: %s was accepted %v ago and is unknown", s.id, time.Since(s.accepted))
		return true
	case status != http.StatusOK:
		return false
	}
	final := ""
	for _, state := range []string{"completed", "failed", "cancelled"} {
		if strings.Contains(answer, state) {
			final = state
		}
	}
	switch {
	case final == "":
		return false
	case final == "failed" && !strings.HasPrefix(s.spec, "fail"):
		r.site.Checker.AddViolation("LOST: %s is shown as failed, its tasks do not fail", s.id)
	case final == "completed" && strings.HasPrefix(s.spec, "fail"):
		r.site.Checker.AddViolation("MIXED: %s is shown as completed, its tasks fail", s.id)
	case final == "cancelled" && !s.cancelled:
		r.site.Checker.AddViolation("LOST: %s is shown as cancelled, nobody cancelled it", s.id)
	}
	return true
}
