package dispatch

import (
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
	"filbertcross/internal/verdict"
)

// rejectTickets runs the owner for a time in which every worker rejects every start for its ticket, and
// returns the number of starts.
func (h *harness) rejectTickets(duration time.Duration) int {
	starts := 0
	rejection := &fleet.CallError{Op: "start", RejectReason: fleet.RejectedTicket, Verdict: verdict.NotRun}
	for end := h.now + duration; h.now < end; h.advance(5 * time.Millisecond) {
		h.decide()
		calls := h.adviceCalls
		for _, s := range h.starts {
			starts++
			h.advance(time.Millisecond)
			h.d.HandleStartResponse(h.now, s.Start.RunID, s.To.ID, 0, rejection)
		}
		for _, c := range calls {
			allowed := map[model.WorkerID]string{}
			for _, id := range c.Workers {
				allowed[id] = "invalid"
			}
			h.d.HandleAdvice(h.now, c.Step, c.Workers, allowed, 2500*time.Millisecond, nil)
		}
		for _, renewal := range h.renewals {
			h.report(renewal.To.ID)
		}
	}
	return starts
}

// Guards against a storm of starts: workers reject all starts of a queue for their tickets, and the owner
// repeats them without a pause. The load is 5 steps of 20 tasks on idle workers.
func TestStartsRejectedForTheirTicketsBackOff(t *testing.T) {
	for _, queue := range []string{"quick", "advised"} { // without and with advice, which gives tickets that are not accepted
		h := newHarness(t, 10)
		for _, id := range []fleet.JobID{"a", "b", "c", "d", "e"} {
			h.submit(queue, id, tasks(20, 1))
		}
		const duration = 10 * time.Second
		starts := h.rejectTickets(duration)
		// The first rounds start all tasks; then each step tries one, with delays that double to maxTicketBackoff.
		const limit = 5 * (2*20 + 6 + int(duration/maxTicketBackoff) + 1)
		if starts > limit || starts < 5*20 {
			t.Errorf("queue %s: %d starts in %v, want at most %d", queue, starts, duration, limit)
		}
		accepted := 0
		for end := h.now + maxTicketBackoff + 500*time.Millisecond; h.now < end; h.advance(10 * time.Millisecond) {
			h.decide()
			accepted += len(h.starts)
			calls, starts := h.adviceCalls, h.starts
			h.acceptStarts(starts)
			for _, c := range calls {
				allowed := map[model.WorkerID]string{}
				for _, id := range c.Workers {
					allowed[id] = "valid"
				}
				h.d.HandleAdvice(h.now, c.Step, c.Workers, allowed, 2500*time.Millisecond, nil)
			}
			for _, renewal := range h.renewals {
				h.report(renewal.To.ID)
			}
		}
		if accepted != 5*20 {
			t.Errorf("queue %s: %d starts once the workers accept them, want all 100", queue, accepted)
		}
	}
}
