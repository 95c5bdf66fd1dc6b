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

// minServiceTimesPerAttempt is the shortest time, as a multiple of the permit's
// ServiceTimeBound, that an attempt gets before it is abandoned for another one.
const minServiceTimesPerAttempt = 4

// forward acquires a slot and sends the request. It repeats this after a failure if
// the verdict, the deadline and the retry budget allow it.
func (h *Handler) forward(ctx context.Context, r *request) (*ledger.Response, *Problem) {
	h.depositRetryBudget(r.service)
	worst := verdict.NotRun // of all attempts so far
	slotRequest := h.slotRequest(r)
	for n := 1; ; n++ {
		permit, err := h.router.Acquire(ctx, slotRequest)
		if err != nil {
			return nil, acquireProblem(err, worst)
		}
		response, failed := h.sendAttempt(ctx, r, permit, n)
		if failed == nil {
			return response, nil
		}
		if failed.verdict == verdict.MayHaveRun {
			worst = verdict.MayHaveRun
		}
		h.recorder.Record(event.AttemptFailed, r.id, string(r.branch), string(permit.Server.ID), n, failed.verdict.String(), failed.cause.Error())
		if !h.allowRetry(r, failed, n) {
			return nil, failed.problem(worst, h.options.Now().After(r.deadline))
		}
		h.metrics.retries.Inc(1)
		slotRequest.Avoid = permit.Server.ID
	}
}

func (h *Handler) slotRequest(r *request) backend.SlotRequest {
	return backend.SlotRequest{
		Service:  r.service,
		Branch:   r.branch,
		Share:    r.share,
		Bytes:    int64(len(r.body)),
		Deadline: r.deadline,
	}
}

// sendAttempt sends the request once. It is not canceled when the caller
// disconnects: the slot is in use until the backend server has responded.
func (h *Handler) sendAttempt(ctx context.Context, r *request, permit *backend.Permit, n int) (*ledger.Response, *failure) {
	a := attempt{
		id:       r.id + "." + strconv.Itoa(n),
		request:  r,
		server:   permit.Server,
		deadline: h.attemptDeadline(r, permit.ServiceTimeBound, n),
	}
	response, failed := h.transports.roundTrip(context.WithoutCancel(ctx), a)
	if failed != nil {
		permit.Release(failed.outcome)
		return nil, failed
	}
	permit.Release(backend.OutcomeAnswered)
	return response, nil
}

// attemptDeadline returns the deadline of attempt n: the request's deadline, or half
// of the remaining time if the method is safe, another attempt can follow and the
// half is enough for a run. A stalled server then delays the response, but another
// server can still respond in time.
func (h *Handler) attemptDeadline(r *request, serviceTimeBound time.Duration, n int) time.Time {
	if !r.safe() || n >= h.options.MaxAttempts || !h.retryAvailable(r.service) {
		return r.deadline
	}
	now := h.options.Now()
	half := r.deadline.Sub(now) / 2
	if half < minServiceTimesPerAttempt*serviceTimeBound {
		return r.deadline
	}
	return now.Add(half)
}

// allowRetry reports whether the request may be sent again. If so, it has taken a
// token from the retry budget.
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

// retryBudget returns the budget of the service. The caller holds mu.
func (h *Handler) retryBudget(service string) *RetryBudget {
	b, ok := h.retryBudgets[service]
	if !ok {
		b = NewRetryBudget(h.options.RetryRatio, h.options.RetryBurst)
		h.retryBudgets[service] = b
	}
	return b
}

// acquireProblem returns the problem of a request that was granted no slot, for its
// first attempt or for a retry. worst is the verdict over its earlier attempts.
func acquireProblem(err error, worst verdict.Verdict) *Problem {
	p := unavailable(err.Error(), overloadRetryAfter)
	var rejection *backend.Rejection
	if errors.As(err, &rejection) {
		p.Text = string(rejection.Reason)
		p.RetryAfter = rejection.RetryAfter
	}
	p.Verdict = worst
	return p
}

// problem returns the problem of a request whose last attempt failed. worst is the
// verdict over all attempts; late reports whether the deadline has passed.
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
