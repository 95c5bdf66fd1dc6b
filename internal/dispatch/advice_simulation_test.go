package dispatch

import (
	"fmt"
	"testing"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
	"filbertcross/internal/proptest"
)

// simTicketValidity is short, so that tickets often expire before they are used.
const simTicketValidity = 700 * time.Millisecond

// advisedQueue is the queue of testConfiguration that needs advice.
const advisedQueue = "advised"

// simTicket names what a ticket is valid for, and until when.
func simTicket(step fleet.StepID, w *simWorker, until time.Duration) string {
	incarnation := w.entry.Incarnation
	if w.h.restarts != nil && !w.up {
		incarnation-- // the next one is not known yet
	}
	return fmt.Sprint(step, " ", w.entry.ID, " ", incarnation, " ", int64(until))
}

// ticketValid reports whether a worker accepts the ticket of a start.
func (h *simHistory) ticketValid(w *simWorker, s fleet.StartRequest) bool {
	if h.jobQueue != advisedQueue {
		return true
	}
	var until int64
	prefix := simTicket(s.Task.StepID, w, 0)
	prefix = prefix[:len(prefix)-1]
	if len(s.Ticket) <= len(prefix) || s.Ticket[:len(prefix)] != prefix {
		return false
	}
	if _, err := fmt.Sscan(s.Ticket[len(prefix):], &until); err != nil {
		return false
	}
	return h.now <= time.Duration(until)
}

// answerAdvice answers a call after its latency, or loses it. Each step may use three of five workers.
func (h *simHistory) answerAdvice(c AdviseCommand) {
	owner, d := h.owner, h.owner.d
	latency := costPolicy.Latency(len(c.Workers)) + h.jitter(20*time.Millisecond)
	var lost error
	if h.rng.Float64() < h.lossRate {
		latency, lost = 500*time.Millisecond, errNoResponse
	}
	h.schedule(latency, func() {
		if h.owner != owner {
			return
		}
		allowed := map[model.WorkerID]string{}
		for i, w := range h.workers {
			if (len(c.Step.Job)+int(c.Step.Job[len(c.Step.Job)-1])+i)%5 < 3 {
				for _, id := range c.Workers {
					if id == w.entry.ID {
						allowed[id] = simTicket(c.Step, w, h.now+simTicketValidity)
					}
				}
			}
		}
		d.HandleAdvice(h.now, c.Step, c.Workers, allowed, simTicketValidity, lost)
	})
}

// Guards against a step that starts on a worker without a valid ticket there, or that never starts
// because it stopped to ask for tickets: under lost calls, restarts of workers and new owners.
func TestSimulatedHistoriesWithAdviceKeepInvariants(t *testing.T) {
	first := seedFromEnvironment(proptest.SeedVariable, 1)*1_000_000 + 500_000
	for i := range seedFromEnvironment(proptest.ChecksVariable, 15) {
		runQueueHistory(t, first+i, nil, advisedQueue)
	}
}
