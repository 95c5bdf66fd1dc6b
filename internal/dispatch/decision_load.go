package dispatch

// DecisionLoad describes what there is to decide, for metrics and events.
type DecisionLoad struct {
	Passes         int   // placement passes of this owner
	Examined       int64 // workers examined for a step in these passes, counted each time
	Ready          int   // steps with tasks to place in the last pass
	Unplaced       int   // of them, steps that found no worker for all tasks
	Stopping       int   // runs being stopped
	AdviceInFlight int   // advice calls
	AdviceSlots    int   // maximum number of advice calls in flight
	FreeMilliCPU   int64 // of all workers that have reported
}

// DecisionLoad returns the current load.
func (d *Dispatcher) DecisionLoad() DecisionLoad {
	load := d.load
	load.AdviceInFlight, load.AdviceSlots = d.adviceInFlight, d.adviceSlots
	for _, r := range d.unsettledRuns {
		if r.phase == runStopping && !r.removed {
			load.Stopping++
		}
	}
	for _, w := range d.workerList {
		if w.listed && w.reported {
			load.FreeMilliCPU += w.free().MilliCPU
		}
	}
	return load
}
