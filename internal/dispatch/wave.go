package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// Timing of maintenance waves.
const (
	maintenanceRetryDelay = 300 * time.Millisecond // after a maintenance command without a response
	busyRetryDelay        = time.Second            // after a command rejected because the machine is not up
	// maintenanceMargin is added to the maintenance time. After that a machine counts as back even
	// if none of its workers is listed.
	maintenanceMargin = 500 * time.Millisecond
	// machineTurnaround is the time per machine in addition to its maintenance, for a stop, its
	// report, a store write and the command.
	machineTurnaround = 500 * time.Millisecond
	maxReportAge      = 1500 * time.Millisecond // age up to which a report shows that a task is available: two long polls
)

// WaveProgress is a wave's state in the store. It is written before a machine is taken down, so
// that a new owner knows all machines that may be down.
type WaveProgress struct {
	Wave      int64             `cbor:"1,keyasint"`
	StartedAt time.Time         `cbor:"2,keyasint"` // wall clock of the first owner that processed the wave
	GoingDown []fleet.MachineID `cbor:"3,keyasint,omitempty"`
	Done      []fleet.MachineID `cbor:"4,keyasint,omitempty"`
	Completed bool              `cbor:"5,keyasint,omitempty"`
	// Back are those of Done that are known to be available again. A new owner counts the others as down for
	// the time of a maintenance.
	Back []fleet.MachineID `cbor:"7,keyasint,omitempty"`
	// Workers are the lives of workers that end with the maintenance of GoingDown and Done, as far as they are known.
	Workers []MachineWorker `cbor:"6,keyasint,omitempty"`
}

// MachineWorker is one life of a worker on a machine.
type MachineWorker struct {
	Machine     fleet.MachineID `cbor:"1,keyasint"`
	Worker      model.WorkerID  `cbor:"2,keyasint"`
	Incarnation int64           `cbor:"3,keyasint"`
}

// machinePhase is the progress of a machine in a wave.
type machinePhase uint8

const (
	machineWaiting   machinePhase = iota
	machineVacating               // its worker gets no new runs; its runs end or are moved
	machineGoingDown              // the command is being recorded or sent; counts as down
	machineConfirmed              // the command was confirmed or is no longer needed
)

// wave is a maintenance wave. Invariant: at most MaxParallel of its machines are machineGoingDown,
// or machineConfirmed and not back up.
type wave struct {
	def            fleet.MaintenanceWave
	startedAt      time.Time
	startDeadline  time.Duration // when the maintenance of the last machine should have started
	machines       []*waveMachine
	completed      bool
	version        int64 // increases with every change of the progress
	durableVersion int64 // latest version in the store
	inDirtyList    bool  // in Dispatcher.dirtyWaves
	writing        bool  // in a batch in flight
}

// waveMachine is one machine of a wave.
type waveMachine struct {
	id    fleet.MachineID
	phase machinePhase
	// worker is the life of a worker that ends with the maintenance; nil: it is not known. Its entry
	// stays in the list for some time.
	worker    *MachineWorker
	inherited bool // an earlier owner recorded it as going down or as done
	back      bool // it was confirmed, and is available again
	// firstSentAt and lastSentAt are when this owner sent the command; 0: not yet, or it is known to have had no effect.
	firstSentAt     time.Duration
	lastSentAt      time.Duration
	version         int64 // of the wave; once it is durable the command may be sent
	commandInFlight bool
	retryAt         time.Duration
	uncertainUntil  time.Duration // an unanswered command may be executed until then
	downUntil       time.Duration // a confirmed machine counts as down until then at the latest
	vacateBy        time.Duration // when the remaining runs are stopped
}

// SetWave adds a maintenance wave. p is its stored progress, or nil if no owner has processed it
// yet. A wave that is already known is ignored.
func (d *Dispatcher) SetWave(now time.Duration, wall time.Time, def fleet.MaintenanceWave, p *WaveProgress) {
	if d.findWave(def.Number) != nil {
		return
	}
	def.Machines = withoutRepetitions(def.Machines)
	def.MaxParallel = max(min(def.MaxParallel, len(def.Machines)), 1)
	v := &wave{def: def, startedAt: wall, startDeadline: now + def.StartWithin}
	d.waves = append(d.waves, v)
	if p != nil {
		v.startedAt, v.completed = p.StartedAt, p.Completed
		elapsed := min(max(wall.Sub(p.StartedAt), 0), def.StartWithin) // clocks of VMs differ
		v.startDeadline = now + def.StartWithin - elapsed
	}
	for _, id := range def.Machines {
		m := &waveMachine{id: id}
		if p != nil {
			m.worker = p.findWorker(id)
			m.inherited = slices.Contains(p.Done, id) || slices.Contains(p.GoingDown, id)
			m.back = slices.Contains(p.Back, id)
		}
		switch {
		case p == nil:
		case slices.Contains(p.Done, id):
			m.phase, m.downUntil = machineConfirmed, now+d.opts.MaintenanceTime+maintenanceMargin
		case slices.Contains(p.GoingDown, id):
			// The previous owner sent the command or was about to. Two owners must not send commands
			// to a machine within HolderCooldown.
			m.phase, m.retryAt, m.uncertainUntil = machineGoingDown, now+d.opts.HolderCooldown, now+maxCommandDelay
		}
		v.machines = append(v.machines, m)
	}
	d.markRetired()
	d.events.Record(event.WaveReceived, def.Number, len(def.Machines), def.MaxParallel, v.startDeadline-now, v.completed)
	if !v.completed {
		d.markWaveDirty(v)
	}
}

// withoutRepetitions returns the machines of a list in its order, each once, and none without an ID: workers whose
// entry names no machine are on none.
func withoutRepetitions(machines []fleet.MachineID) []fleet.MachineID {
	seen := map[fleet.MachineID]bool{"": true}
	return slices.DeleteFunc(slices.Clone(machines), func(id fleet.MachineID) bool {
		repeated := seen[id]
		seen[id] = true
		return repeated
	})
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

// snapshotProgress returns a copy of the state to be stored.
func (v *wave) snapshotProgress() *WaveProgress {
	p := &WaveProgress{Wave: v.def.Number, StartedAt: v.startedAt, Completed: v.completed}
	for _, m := range v.machines {
		switch m.phase {
		case machineGoingDown:
			p.GoingDown = append(p.GoingDown, m.id)
		case machineConfirmed:
			p.Done = append(p.Done, m.id)
			if m.back {
				p.Back = append(p.Back, m.id)
			}
		default:
			continue
		}
		if m.worker != nil {
			p.Workers = append(p.Workers, *m.worker)
		}
	}
	return p
}

// advanceWaves advances the waves: it vacates the next machines and takes vacant ones down, at
// most MaxParallel of a wave at once.
func (d *Dispatcher) advanceWaves(now time.Duration) {
	for _, v := range d.waves {
		if v.completed {
			continue
		}
		d.startVacating(now, v)
		down, left := d.machineCounts(now, v)
		for _, m := range v.machines {
			w := d.workerOnMachine(m.id)
			if m.phase == machineVacating && w != nil {
				d.vacateWorker(now, w, m.vacateBy)
			}
			if m.phase == machineVacating && d.vacant(w) && down < v.def.MaxParallel {
				down++
				m.phase, m.worker = machineGoingDown, w.onMachine()
				d.markWaveDirty(v)
				m.version = v.version
			}
			if m.phase == machineGoingDown && !m.commandInFlight && now >= m.retryAt && v.durableVersion >= m.version {
				m.commandInFlight = true
				if m.lastSentAt = now; m.firstSentAt == 0 {
					m.firstSentAt = now
				}
				d.events.Record(event.MaintenanceRequested, v.def.Number, m.id, down, left, v.startDeadline-now)
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

// vacant reports whether no run can be on a machine according to its worker's reports to this
// owner. w is nil for a machine without a worker.
func (d *Dispatcher) vacant(w *worker) bool {
	if w == nil {
		return d.recovered
	}
	return w.vacant()
}

// machineCounts returns how many machines of the wave may be down, and how many are not confirmed
// yet.
func (d *Dispatcher) machineCounts(now time.Duration, v *wave) (down, left int) {
	for _, m := range v.machines {
		if m.phase == machineGoingDown || m.phase == machineConfirmed && !d.isBack(now, m) {
			down++
		}
		if m.phase != machineConfirmed {
			left++
		}
	}
	return down, left
}

// markVacating updates which workers get no runs because their machine is about to be maintained.
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
			if m.phase != machineVacating && m.phase != machineGoingDown {
				continue
			}
			if w := d.workerOnMachine(m.id); w != nil {
				w.vacating = true
			}
		}
	}
}

// startVacating starts vacating the next machines, the least used first. Up to MaxParallel are
// vacated while as many others may be down. Each gets an equal share of the spare time.
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
	count := min(v.def.MaxParallel-vacating, len(waiting))
	if count <= 0 {
		return
	}
	rounds := (left + v.def.MaxParallel - 1) / v.def.MaxParallel
	spare := v.startDeadline - now - time.Duration(rounds-1)*d.opts.MaintenanceTime - time.Duration(rounds)*machineTurnaround
	slices.SortStableFunc(waiting, func(a, b *waveMachine) int {
		return int(d.usedMilliCPU(a.id) - d.usedMilliCPU(b.id))
	})
	for _, m := range waiting[:count] {
		m.phase = machineVacating
		m.vacateBy = now + max(spare, 0)/time.Duration(rounds)
	}
}

// usedMilliCPU returns the reserved CPU on a machine, and a very large value if it has no worker,
// which sorts it last.
func (d *Dispatcher) usedMilliCPU(id fleet.MachineID) int64 {
	w := d.workerOnMachine(id)
	if w == nil {
		return 1 << 40
	}
	return w.used.MilliCPU
}

// vacateWorker stops long-running tasks as far as their disruption budgets allow, and
// checkpointing runs that cannot end before the deadline. Other runs may end on their own; those
// left shortly before the deadline are stopped.
func (d *Dispatcher) vacateWorker(now time.Duration, w *worker, deadline time.Duration) {
	for _, r := range d.sortedRuns(w.runs) {
		s := r.task.step
		deadlineNear := now+d.opts.StopTimeout >= deadline
		switch {
		case r.phase == runStopping:
		case s.def.Gang:
			if deadlineNear && (!s.def.LongRunning || s.def.MaxUnavailable == 0) {
				d.stopGang(now, r, "the machine of a gang member is due for maintenance")
				d.requestStop(now, r, "its machine is due for maintenance")
			}
		case s.def.LongRunning:
			if !d.withinDisruptionBudget(now, r) {
				continue
			}
			if !deadlineNear && s.job.queue.Advice != nil && !d.hasFeasibleWorker(now, s) {
				d.requestAdvice(now, s)
				continue
			}
			d.requestStop(now, r, "its machine is due for maintenance")
		case deadlineNear || s.def.Checkpointing && now+remainingTime(r) > deadline:
			d.requestStop(now, r, "its machine is due for maintenance")
		}
	}
}

// remainingTime estimates a run's remaining run time.
func remainingTime(r *run) time.Duration {
	return time.Duration(float64(r.task.step.def.Estimate) * float64(fullPace-r.percent) / fullPace)
}

// withinDisruptionBudget reports whether the step's disruption budget allows stopping this run.
// The run counts as available, because it may have become so since the last report. Other tasks
// that are unavailable for any reason count against the budget, including those on workers that
// do not respond.
func (d *Dispatcher) withinDisruptionBudget(now time.Duration, r *run) bool {
	s := r.task.step
	if s.def.MaxUnavailable == 0 {
		return true
	}
	unavailable := 0
	for _, t := range s.tasks {
		if t != r.task && !slices.ContainsFunc(t.runs, func(other *run) bool { return isAvailable(now, other) }) {
			unavailable++
		}
	}
	return unavailable < s.def.MaxUnavailable
}

// isAvailable reports whether a recent report shows the run as fully started.
func isAvailable(now time.Duration, r *run) bool {
	return r.phase == runRunning && r.percent >= fullPace && r.worker.failedRenewals == 0 && now-r.worker.lastReportAt < maxReportAge
}

// HandleMaintenanceResponse processes the response to a MaintainCommand.
func (d *Dispatcher) HandleMaintenanceResponse(now time.Duration, request fleet.MaintenanceRequest, err error) {
	v := d.findWave(request.Wave)
	m := v.findMachine(request.Machine)
	m.commandInFlight = false
	d.events.Record(event.MaintenanceRequestCompleted, request.Wave, request.Machine, err)
	switch reason := fleet.RejectReasonOf(err); {
	case err == nil:
		m.phase, m.downUntil = machineConfirmed, now+d.opts.MaintenanceTime+maintenanceMargin
		d.correctWorker(m)
		d.markRetired()
		d.markWaveDirty(v)
	case reason == fleet.RejectedStaleFence:
		d.lostOwnership = true
	case reason == fleet.RejectedInvalid, reason == fleet.RejectedWave:
		m.phase, m.worker = machineConfirmed, nil // the machine does not exist any more, or its maintenance is not requested
		d.markRetired()
		d.markWaveDirty(v)
	case reason == fleet.RejectedMachineBusy:
		m.retryAt = now + busyRetryDelay
		if now >= m.uncertainUntil { // no command of this owner can have taken it down
			m.phase, m.firstSentAt, m.lastSentAt = machineWaiting, 0, 0
			d.markWaveDirty(v)
		}
	case fleet.IsNotRun(err):
		m.retryAt = now + maintenanceRetryDelay
		if now >= m.uncertainUntil {
			m.firstSentAt, m.lastSentAt = 0, 0
		}
	default:
		m.retryAt, m.uncertainUntil = now+maintenanceRetryDelay, now+maxCommandDelay
	}
}

func (v *wave) findMachine(id fleet.MachineID) *waveMachine {
	i := slices.IndexFunc(v.machines, func(m *waveMachine) bool { return m.id == id })
	return v.machines[i]
}
