package front

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/backend"
	"filbertcross/internal/event"
	"filbertcross/internal/ledger"
	"filbertcross/internal/verdict"
)

// minServiceTimesPerAttempt is how many likely service times an attempt gets at least before it
// is given up for another one.
const minServiceTimesPerAttempt = 4

// forward gets the request a slot and sends it, again where its verdict, its
// deadline and the retry budget allow it.
func (h *Handler) forward(ctx context.Context, r *request) (*ledger.Answer, *Problem) {
	h.depositRetryBudget(r.service)
	worst := verdict.NotRun // of all attempts so far
	ask := h.slotRequest(r)
	for n := 1; ; n++ {
		permit, err := h.router.Acquire(ctx, ask)
		if err != nil {
			return nil, acquireProblem(err, worst)
		}
		answer, failed := h.sendAttempt(ctx, r, permit, n)
		if failed == nil {
			return answer, nil
		}
		if failed.verdict == verdict.MayHaveRun {
			worst = verdict.MayHaveRun
		}
		h.recorder.Record(event.AttemptFailed, r.id, string(r.branch), string(permit.Server.ID), n, failed.verdict.String(), failed.cause.Error())
		if !h.allowRetry(r, failed, n) {
			return nil, failed.problem(worst, h.options.Now().After(r.deadline))
		}
		h.metrics.retries.Inc(1)
		ask.Avoid = permit.Server.ID
	}
}

func (h *Handler) slotRequest(r *request) backend.Ask {
	return backend.Ask{
		Service:  r.service,
		Branch:   r.branch,
		Share:    r.share,
		Bytes:    int64(len(r.body)),
		Deadline: r.deadline,
	}
}

// sendAttempt sends the request once. The caller's going away does not stop it: the
// slot is in use until the backend server has answered.
func (h *Handler) sendAttempt(ctx context.Context, r *request, permit *backend.Permit, n int) (*ledger.Answer, *failure) {
	a := attempt{
		id:       r.id + "." + strconv.Itoa(n),
		request:  r,
		server:   permit.Server,
		deadline: h.attemptDeadline(r, permit.Likely, n),
	}
	answer, failed := h.transports.roundTrip(context.WithoutCancel(ctx), a)
	if failed != nil {
		permit.Release(failed.outcome)
		return nil, failed
	}
	permit.Release(backend.OutcomeAnswered)
	return answer, nil
}

// attemptDeadline is the request's deadline, or half of the time left if the
// method is safe, another attempt can follow and the half is ample: a server that
// stalls then costs the caller time and no answer.
func (h *Handler) attemptDeadline(r *request, likely time.Duration, n int) time.Time {
	if !r.safe() || n >= h.options.MaxAttempts || !h.retryAvailable(r.service) {
		return r.deadline
	}
	now := h.options.Now()
	half := r.deadline.Sub(now) / 2
	if half < minServiceTimesPerAttempt*likely {
		return r.deadline
	}
	return now.Add(half)
}

// allowRetry reports whether the request may be sent once more.
func (h *Handler) allowRetry(r *request, f *failure, attempts int) bool {
	if !f.verdict.Retryable(r.idempotent()) {
		return false
	}
	if attempts >= h.options.MaxAttempts || !h.options.Now().Before(r.deadline) {
		return false
	}
	return h.withdrawRetry(r.service)
}

func (h *Handler) depositRetryBudget(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retryBudget(service).Deposit()
}

func (h *Handler) withdrawRetry(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.retryBudget(service).Withdraw()
}

func (h *Handler) retryAvailable(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.retryBudget(service).Available()
}

func (h *Handler) retryBudget(service string) *RetryBudget {
	b, ok := h.retryBudgets[service]
	if !ok {
		b = NewRetryBudget(h.options.RetryRatio, h.options.RetryBurst)
		h.retryBudgets[service] = b
	}
	return b
}

// acquireProblem is the answer to a request that got no slot (any more).
func acquireProblem(err error, worst verdict.Verdict) *Problem {
	p := unavailable(err.Error(), overloadRetryAfter)
	var refusal *backend.Refusal
	if errors.As(err, &refusal) {
		p.Text = string(refusal.Reason)
		p.RetryAfter = refusal.RetryAfter
	}
	p.Verdict = worst
	return p
}

// problem is the answer to a request whose last attempt failed.
func (f *failure) problem(worst verdict.Verdict, late bool) *Problem {
	p := &Problem{Status: http.StatusBadGateway, Text: f.cause.Error(), Verdict: worst}
	if late {
		p.Status = http.StatusGatewayTimeout
	}
	if worst == verdict.NotRun {
		p.Status = http.StatusServiceUnavailable
		p.RetryAfter = overloadRetryAfter
	}
	return p
}
