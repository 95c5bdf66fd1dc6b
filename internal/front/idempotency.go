package front

import (
	"context"
	"net/http"

	"filbertcross/internal/event"
	"filbertcross/internal/ledger"
	"filbertcross/internal/model"
	"filbertcross/internal/verdict"
)

// forwardDeduplicated forwards the request. A request that uses the ledger is
// forwarded only if its key is new, and the ledger records its outcome.
func (h *Handler) forwardDeduplicated(ctx context.Context, r *request) (*ledger.Response, *Problem) {
	if !r.usesLedger() {
		return h.forward(ctx, r)
	}
	if rejection := h.router.CheckAdmission(h.slotRequest(r)); rejection != nil {
		return nil, acquireProblem(rejection, verdict.NotRun)
	}
	begun, problem := h.logKey(ctx, r)
	if problem != nil {
		return nil, problem
	}
	if begun.State != ledger.Granted {
		return duplicateResponse(begun)
	}
	response, problem := h.forward(ctx, r)
	h.recordOutcome(ctx, r, begun.Token, response, problem)
	return response, problem
}

// logKey logs the idempotency key in the ledger before the request is sent.
func (h *Handler) logKey(ctx context.Context, r *request) (ledger.BeginResult, *Problem) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	begun, err := h.ledger.Begin(ctx, ledger.BeginRequest{
		Branch:      r.branch,
		Key:         r.key,
		Fingerprint: r.fingerprint(),
		VM:          h.selfID(),
		Deadline:    r.deadline,
	})
	if err != nil {
		h.recorder.Record(event.KeyNotLogged, r.id, string(r.branch), err.Error())
		return begun, unavailable("the idempotency key could not be logged", ledgerRetryAfter)
	}
	return begun, nil
}

func (h *Handler) selfID() model.VMID { return h.view.Self().ID }

// recordOutcome records the outcome in the ledger before the caller receives it. If
// that fails, the key stays in the state may-have-run and is never run again.
func (h *Handler) recordOutcome(ctx context.Context, r *request, token int64, response *ledger.Response, p *Problem) {
	finish := ledger.FinishRequest{Branch: r.branch, Key: r.key, Token: token, Verdict: verdict.Done, Response: response}
	if p != nil {
		finish.Verdict = p.Verdict
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.options.LedgerFinishTimeout)
	defer cancel()
	if err := h.ledger.Finish(ctx, finish); err != nil {
		h.recorder.Record(event.ResponseNotRecorded, r.id, string(r.branch), err.Error())
	}
}

// duplicateResponse returns the response to a request whose key is already in the
// ledger.
func duplicateResponse(begun ledger.BeginResult) (*ledger.Response, *Problem) {
	switch begun.State {
	case ledger.Recorded:
		return begun.Response, nil
	case ledger.InProgress:
		return nil, &Problem{
			Status:     http.StatusConflict,
			Text:       "a request with this key is being run",
			Field:      HeaderIdempotencyKey,
			Verdict:    verdict.MayHaveRun,
			RetryAfter: begun.RetryAfter,
		}
	case ledger.Mismatch:
		return nil, invalidRequest(http.StatusUnprocessableEntity, HeaderIdempotencyKey, "the key belongs to another request")
	default:
		return nil, &Problem{
			Status:  http.StatusConflict,
			Text:    "a request with this key may have run; its answer is not known",
			Field:   HeaderIdempotencyKey,
			Verdict: verdict.MayHaveRun,
		}
	}
}
