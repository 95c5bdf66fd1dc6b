package dispatch

import (
	"slices"

	"filbertcross/internal/model"
)

// CrashProgress is the durable part of a task's crash history.
type CrashProgress struct {
	Crashes   int                `cbor:"1,keyasint,omitempty"`
	Suspect   bool               `cbor:"2,keyasint,omitempty"`
	Exposures []ExposureProgress `cbor:"3,keyasint,omitempty"`
	Possible  int                `cbor:"4,keyasint,omitempty"`
	Suspects  int                `cbor:"5,keyasint,omitempty"`
	LateCrash bool               `cbor:"6,keyasint,omitempty"`
	Doubtful  int                `cbor:"7,keyasint,omitempty"`
}

// ExposureProgress is a run on a worker that may have crashed, or a start in isolation that may have happened.
type ExposureProgress struct {
	Worker         string `cbor:"1,keyasint"`
	Address        string `cbor:"2,keyasint"`
	Incarnation    int64  `cbor:"3,keyasint"`
	Run            int64  `cbor:"4,keyasint"`
	Isolated       bool   `cbor:"5,keyasint,omitempty"`
	Confirmed      bool   `cbor:"6,keyasint,omitempty"`
	Decisive       bool   `cbor:"7,keyasint,omitempty"`
	ConnectionLost bool   `cbor:"8,keyasint,omitempty"`
}

// snapshot returns the durable part, nil if there is none.
func (h *crashHistory) snapshot() *CrashProgress {
	if h.crashes+h.possible == 0 && !h.suspect && len(h.exposed) == 0 && h.planned == nil {
		return nil
	}
	p := &CrashProgress{Crashes: h.crashes, Possible: h.possible, Suspect: h.suspect, Suspects: h.suspects, LateCrash: h.lateCrash, Doubtful: h.doubtful}
	for _, e := range h.exposed {
		if e.early {
			p.Exposures = append(p.Exposures, ExposureProgress{
				Worker: string(e.worker.entry.ID), Address: e.worker.entry.Address, Incarnation: e.incarnation, Run: e.run,
				Isolated: e.isolated, Confirmed: e.confirmed, Decisive: e.decisive, ConnectionLost: e.connectionLost,
			})
		}
	}
	if w := h.planned; w != nil && !slices.ContainsFunc(h.exposed, func(e *exposure) bool { return e.worker == w }) {
		p.Exposures = append(p.Exposures, ExposureProgress{
			Worker: string(w.entry.ID), Address: w.entry.Address, Incarnation: w.incarnation, Isolated: true,
		})
	}
	if p.Crashes+p.Possible == 0 && !p.Suspect && len(p.Exposures) == 0 {
		return nil
	}
	return p
}

// restoreCrashes applies a stored crash history to a task.
func (d *Dispatcher) restoreCrashes(t *task, p *CrashProgress) {
	if p == nil {
		return
	}
	t.history.crashes, t.history.possible, t.history.suspect, t.history.suspects = p.Crashes, p.Possible, p.Suspect, p.Suspects
	t.history.lateCrash, t.history.doubtful = p.LateCrash, p.Doubtful
	t.step.hasSuspects = true
	for _, e := range p.Exposures {
		w := d.ensureWorker(model.WorkerID(e.Worker))
		if w.entry.Address == "" {
			w.entry.Address = e.Address
		}
		d.addExposure(&exposure{
			task: t, worker: w, incarnation: e.Incarnation, run: e.Run, early: true,
			isolated: e.Isolated, confirmed: e.Confirmed, decisive: e.Decisive, connectionLost: e.ConnectionLost, since: d.startedAt,
		})
	}
}
