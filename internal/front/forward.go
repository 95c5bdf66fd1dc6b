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

// ampleFactor is how many likely service times an attempt gets at least before it
// is given up for another one.
const ampleFactor = 4

// forward gets the request a slot and sends it, again where its verdict, its
// deadline and the retry budget allow it.
func (h *Handler) forward(ctx context.Context, r *request) (*ledger.Answer, *Problem) {
	h.deposit(r.service)
	worst := verdict.NotRun // of all attempts so far
	ask := h.ask(r)
	for n := 1; ; n++ {
		permit, err := h.router.Acquire(ctx, ask)
		if err != nil {
			return nil, noSlot(err, worst)
		}
		answer, failed := h.try(ctx, r, permit, n)
		if failed == nil {
			return answer, nil
		}
		if failed.verdict == verdict.MayHaveRun {
			worst = verdict.MayHaveRun
		}
		h.recorder.Record(event.AttemptFailed, r.id, string(r.branch), string(permit.Server.ID), n, failed.verdict.String(), failed.cause.Error())
		if !h.mayRetry(r, failed, n) {
			return nil, failed.problem(worst, h.options.Now().After(r.deadline))
		}
		h.metrics.retries.Inc(1)
		ask.Avoid = permit.Server.ID
	}
}

func (h *Handler) ask(r *request) backend.SlotRequest {
	return backend.SlotRequest{
		Service:  r.service,
		Branch:   r.branch,
		Share:    r.share,
		Bytes:    int64(len(r.body)),
		Deadline: r.deadline,
	}
}

// try sends the request once. The caller's going away does not stop it: the
// slot is in use until the backend server has answered.
func (h *Handler) try(ctx context.Context, r *request, permit *backend.Permit, n int) (*ledger.Answer, *failure) {
	a := attempt{
		id:       r.id + "." + strconv.Itoa(n),
		request:  r,
		server:   permit.Server,
		deadline: h.attemptDeadline(r, permit.ServiceTimeBound, n),
	}
	answer, failed := h.connections.exchange(context.WithoutCancel(ctx), a)
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
	if half < ampleFactor*likely {
		return r.deadline
	}
	return now.Add(half)
}

// mayRetry reports whether the request may be sent once more.
func (h *Handler) mayRetry(r *request, f *failure, attempts int) bool {
	if !f.verdict.Retryable(r.idempotent()) {
		return false
	}
	if attempts >= h.options.MaxAttempts || !h.options.Now().Before(r.deadline) {
		return false
	}
	return h.withdraw(r.service)
}

func (h *Handler) deposit(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget(service).Deposit()
}

func (h *Handler) withdraw(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.budget(service).Withdraw()
}

func (h *Handler) retryAvailable(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.budget(service).Available()
}

func (h *Handler) budget(service string) *RetryBudget {
	b, ok := h.budgets[service]
	if !ok {
		b = NewRetryBudget(h.options.RetryRatio, h.options.RetryBurst)
		h.budgets[service] = b
	}
	return b
}

// noSlot is the answer to a request that got no slot (any more).
func noSlot(err error, worst verdict.Verdict) *Problem {
	p := unavailable(err.Error(), overloadRetryAfter)
	var refusal *backend.Rejection
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
