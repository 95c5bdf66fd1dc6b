package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// Timing of maintenance waves.
const (
	maintenanceRetryDelay = 300 * time.Millisecond  // after an order without an answer
	busyRetryDelay        = time.Second             // of a machine that is not up
	maintenanceMargin     = 500 * time.Millisecond  // beyond the maintenance time, until a machine counts as back without its worker listed
	machineTurnaround     = 500 * time.Millisecond  // of a machine's turn beyond its maintenance: a stop, its report, a write and the order
	maxReportAge          = 1500 * time.Millisecond // a report this old still tells that a task is at work: two long polls
)

// WaveProgress is what the store keeps of a wave. It is written before a machine is ordered
// down, so that a successor counts those that may be down.
type WaveProgress struct {
	Wave      int64             `cbor:"1,keyasint"`
	StartedAt time.Time         `cbor:"2,keyasint"` // wall clock of the owner that saw the wave first
	Ordered   []fleet.MachineID `cbor:"3,keyasint,omitempty"`
	Done      []fleet.MachineID `cbor:"4,keyasint,omitempty"`
	Completed bool              `cbor:"5,keyasint,omitempty"`
}

// turn is where a machine of a wave stands.
type machinePhase uint8

const (
	machineWaiting   machinePhase = iota
	machineVacating               // its worker takes nothing new, and what runs there ends or moves
	machineOrdered                // it is or will be ordered down; it counts as down
	machineConfirmed              // the order was confirmed
)

// wave is a maintenance wave that is not over. Invariant: no more than MaxParallel of its
// machines are turnOrdered, or turnDone and not back.
type wave struct {
	def            fleet.MaintenanceWave
	startedAt      time.Time
	startDeadline  time.Duration // when the last machine's maintenance should have begun
	machines       []*waveMachine
	completed      bool
	version        int64 // of what is to be durable
	durableVersion int64
	inDirtyList    bool // in Dispatcher.dirtyWaves
	writing        bool // in a batch that is out
}

// machineTurn is one machine in a wave.
type waveMachine struct {
	id              fleet.MachineID
	phase           machinePhase
	worker          *worker // that was vacated; nil: none was listed
	incarnation     int64   // its incarnation
	version         int64   // of the wave, with turnOrdered in it
	commandInFlight bool    // the order is on its way
	retryAt         time.Duration
	uncertainUntil  time.Duration // until when an unanswered order may be carried out
	downUntil       time.Duration // of one that is done
	vacateBy        time.Duration // when what still runs there is stopped
}

// SetWave takes the operators' request; progress is nil for one that no owner has begun.
func (d *Dispatcher) SetWave(now time.Duration, wall time.Time, def fleet.MaintenanceWave, p *WaveProgress) {
	if d.findWave(def.Number) != nil {
		return
	}
	v := &wave{def: def, startedAt: wall, startDeadline: now + def.StartWithin}
	d.waves = append(d.waves, v)
	if p != nil {
		v.startedAt, v.completed = p.StartedAt, p.Completed
		spent := min(max(wall.Sub(p.StartedAt), 0), def.StartWithin) // clocks of VMs differ
		v.startDeadline = now + def.StartWithin - spent
	}
	for _, id := range def.Machines {
		m := &waveMachine{id: id}
		switch {
		case p == nil:
		case slices.Contains(p.Done, id):
			m.phase, m.downUntil = machineConfirmed, now+d.opts.MaintenanceTime+maintenanceMargin
		case slices.Contains(p.Ordered, id):
			// The owner before ordered it or was about to; holders of the machine must not take
			// turns faster than this.
			m.phase, m.retryAt, m.uncertainUntil = machineOrdered, now+d.opts.HolderCooldown, now+maxCommandDelay
		}
		v.machines = append(v.machines, m)
	}
	d.events.Record(event.WaveTaken, def.Number, len(def.Machines), def.MaxParallel, v.startDeadline-now, v.completed)
	if !v.completed {
		d.markWaveDirty(v)
	}
}

func (d *Dispatcher) findWave(number int64) *wave {
	for _, v := range d.waves {
		if v.def.Number == number {
			return v
		}
	}
	return nil
}

func (d *Dispatcher) markWaveDirty(v *wave) {
	v.version++
	if !v.inDirtyList {
		v.inDirtyList = true
		d.dirtyWaves = append(d.dirtyWaves, v)
	}
}

// progress takes a copy of what has to last.
func (v *wave) snapshotProgress() *WaveProgress {
	p := &WaveProgress{Wave: v.def.Number, StartedAt: v.startedAt, Completed: v.completed}
	for _, m := range v.machines {
		switch m.phase {
		case machineOrdered:
			p.Ordered = append(p.Ordered, m.id)
		case machineConfirmed:
			p.Done = append(p.Done, m.id)
		}
	}
	return p
}

// maintain advances the waves: the machines that are next are vacated, empty ones are
// ordered down, as many at once as the wave allows.
func (d *Dispatcher) advanceWaves(now time.Duration) {
	for _, v := range d.waves {
		if v.completed {
			continue
		}
		d.startVacating(now, v)
		down, left := d.countDown(now, v)
		for _, m := range v.machines {
			w := d.workerOnMachine(m.id)
			if m.phase == machineVacating && w != nil {
				d.vacateWorker(now, w, m.vacateBy)
			}
			if m.phase == machineVacating && d.vacant(w) && down < v.def.MaxParallel {
				down++
				m.phase, m.worker = machineOrdered, w
				if w != nil {
					m.incarnation = w.entry.Incarnation
				}
				d.markWaveDirty(v)
				m.version = v.version
			}
			if m.phase == machineOrdered && !m.commandInFlight && now >= m.retryAt && v.durableVersion >= m.version {
				m.commandInFlight = true
				d.events.Record(event.MaintenanceOrdered, v.def.Number, m.id, down, left, v.startDeadline-now)
				d.emit(MaintainCommand{Request: fleet.MaintenanceRequest{Machine: m.id, Wave: v.def.Number, Fence: d.opts.Fence}})
			}
		}
		if left == 0 && down == 0 {
			v.completed = true
			d.markWaveDirty(v)
			d.events.Record(event.WaveCompleted, v.def.Number, len(v.machines), now-v.startDeadline)
		}
	}
	d.markVacating()
}

// empty reports whether nothing can run on a machine, by what its worker has told this owner;
// nil is a machine without one.
func (d *Dispatcher) vacant(w *worker) bool {
	if w == nil {
		return d.recovered
	}
	return w.reported && len(w.runs) == 0
}

// down counts the machines that may be down for a wave, and those whose turn is not over.
func (d *Dispatcher) countDown(now time.Duration, v *wave) (down, left int) {
	for _, m := range v.machines {
		if m.phase == machineOrdered || m.phase == machineConfirmed && !d.isBack(now, m) {
			down++
		}
		if m.phase != machineConfirmed {
			left++
		}
	}
	return down, left
}

// markVacating notes which workers take nothing because their machine is to be maintained.
func (d *Dispatcher) markVacating() {
	for _, w := range d.workerList {
		if w.vacating {
			w.vacating = false
			d.markFreed(w)
		}
	}
	for _, v := range d.waves {
		if v.completed {
			continue
		}
		for _, m := range v.machines {
			if m.phase != machineVacating && m.phase != machineOrdered {
				continue
			}
			if w := d.workerOnMachine(m.id); w != nil {
				w.vacating = true
			}
		}
	}
}

// nextTurns lets the machines vacate that are next, those with the least running first: as
// many as may be down, while others are. Each gets its share of the time that is left.
func (d *Dispatcher) startVacating(now time.Duration, v *wave) {
	vacating, left := 0, 0
	var waiting []*waveMachine
	for _, m := range v.machines {
		switch m.phase {
		case machineVacating:
			vacating++
			left++
		case machineWaiting:
			left++
			if now >= m.retryAt {
				waiting = append(waiting, m)
			}
		}
	}
	room := min(v.def.MaxParallel-vacating, len(waiting))
	if room <= 0 {
		return
	}
	rounds := (left + v.def.MaxParallel - 1) / v.def.MaxParallel
	spare := v.startDeadline - now - time.Duration(rounds-1)*d.opts.MaintenanceTime - time.Duration(rounds)*machineTurnaround
	slices.SortStableFunc(waiting, func(a, b *waveMachine) int {
		return int(d.usedMilliCPU(a.id) - d.usedMilliCPU(b.id))
	})
	for _, m := range waiting[:room] {
		m.phase = machineVacating
		m.vacateBy = now + max(spare, 0)/time.Duration(rounds)
	}
}

// occupied is the processor time in use on a machine; those without a worker come last.
func (d *Dispatcher) usedMilliCPU(id fleet.MachineID) int64 {
	w := d.workerOnMachine(id)
	if w == nil {
		return 1 << 40
	}
	return w.used.MilliCPU
}

// workerAt finds the listed worker of a machine, or nil.
func (d *Dispatcher) workerOnMachine(id fleet.MachineID) *worker {
	for _, w := range d.workerList {
		if w.listed && !w.retired && w.entry.Machine == id {
			return w
		}
	}
	return nil
}

// back reports whether a machine that was ordered down works again.
func (d *Dispatcher) isBack(now time.Duration, m *waveMachine) bool {
	return now >= m.downUntil || d.workerOnMachine(m.id) != nil
}

// vacate moves off a worker what loses nothing by it, lets the rest end, and stops what is
// left at the given time. Tasks with a disruption budget move as far as it allows.
func (d *Dispatcher) vacateWorker(now time.Duration, w *worker, by time.Duration) {
	for _, r := range d.sortedRuns(w.runs) {
		s := r.task.step
		last := now+d.opts.StopTimeout >= by
		switch {
		case r.phase == runStopping:
		case s.def.Gang:
			if last && (!s.def.LongRunning || s.def.MaxUnavailable == 0) {
				d.stopGang(now, r, "a member's machine is to be maintained")
				d.requestStop(now, r, "its machine is to be maintained")
			}
		case s.def.LongRunning:
			if !d.withinDisruptionBudget(now, r) {
				continue
			}
			if !last && s.job.queue.Advice != nil && !d.hasFeasibleWorker(now, s) {
				d.requestAdvice(now, s)
				continue
			}
			d.requestStop(now, r, "its machine is to be maintained")
		case last || s.def.Checkpointing && now+remainingTime(r) > by:
			d.requestStop(now, r, "its machine is to be maintained")
		}
	}
}

// remaining estimates how much longer a run takes.
func remainingTime(r *run) time.Duration {
	return time.Duration(float64(r.task.step.def.Estimate) * float64(fullPace-r.percent) / fullPace)
}

// spares reports whether the disruption budget of the run's step lets this one end, at work or
// not: it may be since the last report. Other tasks that are not at work for any reason count,
// and so do those whose workers are silent.
func (d *Dispatcher) withinDisruptionBudget(now time.Duration, r *run) bool {
	s := r.task.step
	if s.def.MaxUnavailable == 0 {
		return true
	}
	away := 0
	for _, t := range s.tasks {
		if t != r.task && !slices.ContainsFunc(t.runs, func(other *run) bool { return isAvailable(now, other) }) {
			away++
		}
	}
	return away < s.def.MaxUnavailable
}

func isAvailable(now time.Duration, r *run) bool {
	return r.phase == runRunning && r.percent >= fullPace && r.worker.failedRenewals == 0 && now-r.worker.lastReportAt < maxReportAge
}

// HandleMaintenanceResponse takes the answer to an order.
func (d *Dispatcher) HandleMaintenanceResponse(now time.Duration, order fleet.MaintenanceRequest, err error) {
	v := d.findWave(order.Wave)
	m := v.findMachine(order.Machine)
	m.commandInFlight = false
	d.events.Record(event.MaintenanceAnswered, order.Wave, order.Machine, err)
	switch refusal := fleet.RejectReasonOf(err); {
	case err == nil:
		m.phase, m.downUntil = machineConfirmed, now+d.opts.MaintenanceTime+maintenanceMargin
		if m.worker != nil && m.worker.entry.Incarnation == m.incarnation {
			m.worker.retired, m.worker.retiredIncarnation = true, m.incarnation
		}
		d.markWaveDirty(v)
	case refusal == fleet.RejectedStaleFence:
		d.lostOwnership = true
	case refusal == fleet.RejectedInvalid, refusal == fleet.RejectedWave:
		m.phase = machineConfirmed // it is not there any more, or not wanted down
		d.markWaveDirty(v)
	case refusal == fleet.RejectedMachineBusy:
		m.retryAt = now + busyRetryDelay
		if now >= m.uncertainUntil { // no order of ours can have taken it down
			m.phase = machineWaiting
			d.markWaveDirty(v)
		}
	case fleet.IsNotRun(err):
		m.retryAt = now + maintenanceRetryDelay
	default:
		m.retryAt, m.uncertainUntil = now+maintenanceRetryDelay, now+maxCommandDelay
	}
}

func (v *wave) findMachine(id fleet.MachineID) *waveMachine {
	i := slices.IndexFunc(v.machines, func(m *waveMachine) bool { return m.id == id })
	return v.machines[i]
}
