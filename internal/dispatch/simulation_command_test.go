package dispatch

import (
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
	"filbertcross/internal/verdict"
)

// sendCommand delivers a command to a worker and its response back, loses one of them, or executes
// the command late.
func (h *simHistory) sendCommand(owner *simOwner, w *simWorker, do func() error, respond func(err error), timeout time.Duration) {
	incarnation := w.entry.Incarnation
	do = h.noteOrigin(owner, w, do)
	reply := func(d time.Duration, err error) {
		h.schedule(d, func() {
			if owner.alive {
				respond(err)
			}
		})
	}
	lost := &fleet.CallError{Op: "order", Verdict: verdict.MayHaveRun}
	if h.rng.Float64() < h.lossRate {
		reply(timeout, lost)
		h.executeByLaterIncarnation(w, do)
		if up := w.up; h.rng.IntN(2) == 0 {
			// Only a command that reached a worker is executed late: a worker that was down had no
			// connection (seed 782000096 had such a command).
			h.schedule(h.jitter(4*time.Second), func() {
				if up && w.up && w.entry.Incarnation == incarnation {
					w.advance()
					_ = do()
				}
			})
		}
		return
	}
	h.schedule(h.jitter(8*time.Millisecond), func() {
		if h.crashing != nil && !w.partitioned && (!w.up || w.entry.Incarnation != incarnation) {
			reply(time.Millisecond, &fleet.CallError{Op: "order", Verdict: verdict.MayHaveRun, Cause: fleet.ErrConnectionLost})
			return
		}
		if h.restarts != nil && (!w.up || w.entry.Incarnation != incarnation) {
			h.executeAfterRestart(owner, w, do, reply, timeout)
			return
		}
		if !w.up || w.partitioned || w.separatedFrom == owner || w.entry.Incarnation != incarnation { // a crash breaks its connections
			reply(timeout, lost)
			return
		}
		w.advance()
		reply(h.jitter(8*time.Millisecond), do())
	})
}

func (h *simHistory) worker(id model.WorkerID) *simWorker {
	for _, w := range h.workers {
		if w.entry.ID == id {
			return w
		}
	}
	h.fail("a command for unknown worker %s", id)
	return nil
}

func (h *simHistory) decide() {
	h.decideAs(h.owner)
	if !h.owner.suspended {
		h.writeBatch()
	}
}

// decideAs makes the decisions of an owner and delivers its commands.
func (h *simHistory) decideAs(owner *simOwner) {
	d := owner.d
	for _, c := range d.Decide(h.now, time.Unix(0, 0), !owner.suspended) {
		switch c := c.(type) {
		case StartCommand:
			if owner.suspended {
				h.suspensions.starts++
			}
			w, clock := h.worker(c.To.ID), int64(0)
			h.sendCommand(owner, w, func() error { clock = w.clock(); return w.start(c.Start) }, func(err error) { d.HandleStartResponse(h.now, c.Start.RunID, c.To.ID, clock, err) }, CommandTimeout)
		case StopCommand:
			w := h.worker(c.To.ID)
			h.sendCommand(owner, w, func() error {
				if c.Fence < w.fence {
					return rejection(fleet.RejectedStaleFence)
				}
				if r := w.runs[c.Run.Task]; r != nil && r.run <= c.Run.Run {
					r.duration, r.fails = h.now-r.startedAt+h.jitter(150*time.Millisecond), false
					w.finish(c.Run.Task, r, fleet.OutcomeStopped)
				}
				w.highestRun[c.Run.Task] = max(w.highestRun[c.Run.Task], c.Run.Run)
				return nil
			}, func(err error) { d.HandleStopResponse(h.now, c.Run, c.To.ID, err) }, CommandTimeout)
		case AdviseCommand:
			h.answerAdvice(c)
		case RenewCommand:
			w, sent, timeout := h.worker(c.To.ID), h.now, CommandTimeout
			if h.restarts != nil {
				timeout += c.Renew.Wait
			}
			var rep fleet.Report
			h.sendCommand(owner, w, func() (err error) { rep, err = w.renew(c.Renew); return err }, func(err error) {
				switch {
				case err == nil:
					d.HandleReport(h.now, sent, c.To.ID, c.StatusOnly, rep)
				case c.StatusOnly:
					d.HandleStatusQueryFailure(c.To.ID)
				default:
					d.HandleRenewFailure(h.now, c.To.ID, err)
				}
			}, timeout)
		}
	}
}
