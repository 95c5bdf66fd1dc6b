package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/fleet"
)

// The entry of a worker stays in the list for some time after its machine was taken down. So a listed worker
// shows that the machine is back only if its life is known to have begun after the maintenance.

// findWorker returns the recorded life on a machine; nil: it is not known.
func (p *WaveProgress) findWorker(id fleet.MachineID) *MachineWorker {
	i := slices.IndexFunc(p.Workers, func(l MachineWorker) bool { return l.Machine == id })
	if i < 0 {
		return nil
	}
	recorded := p.Workers[i]
	return &recorded
}

// onMachine returns the listed life of a worker; nil for no worker.
func (w *worker) onMachine() *MachineWorker {
	if w == nil {
		return nil
	}
	return &MachineWorker{Machine: w.entry.Machine, Worker: w.entry.ID, Incarnation: w.entry.Incarnation}
}

// workerOnMachine returns the listed worker of a machine, or nil.
func (d *Dispatcher) workerOnMachine(id fleet.MachineID) *worker {
	for _, w := range d.workerList {
		if w.listed && !w.retired && w.entry.Machine == id {
			return w
		}
	}
	return nil
}

// isBack reports whether a machine that was taken down is available again. A new owner does not know
// whether the listed life is the one that ended: the worker may have restarted before the command was
// executed. So only the time shows it, unless an earlier owner has recorded that the machine was back.
func (d *Dispatcher) isBack(now time.Duration, m *waveMachine) bool {
	if m.back || now >= m.downUntil {
		m.back = true
		return true
	}
	w := d.workerOnMachine(m.id)
	m.back = w != nil && !m.inherited && d.listedAfterMaintenance(m, w)
	return m.back
}

// listedAfterMaintenance reports whether a life of a worker was listed so late that it began after the
// maintenance, whichever of this owner's commands was executed: the last of them at the latest.
func (d *Dispatcher) listedAfterMaintenance(m *waveMachine, w *worker) bool {
	return w.listedSince >= m.lastSentAt+d.opts.MaintenanceTime
}

// correctWorker updates which life the maintenance ended, as the worker may have restarted before the command
// was executed. If that cannot be decided, as the command was sent repeatedly or by an earlier owner, the life is not known.
func (d *Dispatcher) correctWorker(m *waveMachine) {
	w := d.workerOnMachine(m.id)
	if w == nil || m.worker != nil && *w.onMachine() == *m.worker {
		return
	}
	switch {
	case m.inherited || m.firstSentAt != m.lastSentAt:
		m.worker = nil
	case !d.listedAfterMaintenance(m, w):
		m.worker = w.onMachine()
	}
}

// markRetired updates which listed lives of workers have ended with the maintenance of their machines.
func (d *Dispatcher) markRetired() {
	for _, w := range d.workerList {
		w.retired = false
	}
	for _, v := range d.waves {
		for _, m := range v.machines {
			if m.phase != machineConfirmed || m.worker == nil {
				continue
			}
			if w := d.workers[m.worker.Worker]; w != nil && *w.onMachine() == *m.worker {
				w.retired = true
			}
		}
	}
}
