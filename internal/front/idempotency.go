package front

import (
	"context"
	"net/http"

	"filbertcross/internal/event"
	"filbertcross/internal/ledger"
	"filbertcross/internal/model"
	"filbertcross/internal/verdict"
)

// forwardOnce forwards the request; one with an idempotency key only if the
// ledger says that it is new, and the ledger learns how it ended.
func (h *Handler) forwardOnce(ctx context.Context, r *request) (*ledger.Answer, *Problem) {
	if !r.keyed() {
		return h.forward(ctx, r)
	}
	if refusal := h.router.CheckAdmission(h.ask(r)); refusal != nil {
		return nil, noSlot(refusal, verdict.NotRun)
	}
	began, problem := h.begin(ctx, r)
	if problem != nil {
		return nil, problem
	}
	if began.State != ledger.Run {
		return repeated(began)
	}
	answer, problem := h.forward(ctx, r)
	h.finish(ctx, r, began.Token, answer, problem)
	return answer, problem
}

func (h *Handler) begin(ctx context.Context, r *request) (ledger.BeginResult, *Problem) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	began, err := h.ledger.Begin(ctx, ledger.BeginRequest{
		Branch:      r.branch,
		Key:         r.key,
		Fingerprint: r.fingerprint(),
		VM:          h.vm(),
		Deadline:    r.deadline,
	})
	if err != nil {
		h.recorder.Record(event.KeyNotLogged, r.id, string(r.branch), err.Error())
		return began, unavailable("the idempotency key could not be logged", ledgerRetryAfter)
	}
	return began, nil
}

func (h *Handler) vm() model.VMID { return h.view.Self().ID }

// finish records the end of the run before the caller learns it. A failure to do so
// leaves the key as "may have run", which never runs it again.
func (h *Handler) finish(ctx context.Context, r *request, token int64, answer *ledger.Answer, p *Problem) {
	end := ledger.FinishRequest{Branch: r.branch, Key: r.key, Token: token, Verdict: verdict.Done, Answer: answer}
	if p != nil {
		end.Verdict = p.Verdict
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.options.FinishTimeout)
	defer cancel()
	if err := h.ledger.Finish(ctx, end); err != nil {
		h.recorder.Record(event.AnswerNotRecorded, r.id, string(r.branch), err.Error())
	}
}

// repeated answers a request whose key the ledger knows.
func repeated(began ledger.BeginResult) (*ledger.Answer, *Problem) {
	switch began.State {
	case ledger.Recorded:
		return began.Answer, nil
	case ledger.InProgress:
		return nil, &Problem{
			Status:     http.StatusConflict,
			Text:       "a request with this key is being run",
			Field:      HeaderKey,
			Verdict:    verdict.MayHaveRun,
			RetryAfter: began.RetryAfter,
		}
	case ledger.Mismatch:
		return nil, invalid(http.StatusUnprocessableEntity, HeaderKey, "the key belongs to another request")
	default:
		return nil, &Problem{
			Status:  http.StatusConflict,
			Text:    "a request with this key may have run; its answer is not known",
			Field:   HeaderKey,
			Verdict: verdict.MayHaveRun,
		}
	}
}
