package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
)

// Timing of maintenance waves.
const (
	maintenanceRetry  = 300 * time.Millisecond  // after an order without an answer
	busyRetry         = time.Second             // of a machine that is not up
	maintenanceMargin = 500 * time.Millisecond  // beyond the maintenance time, until a machine counts as back without its worker listed
	orderingTime      = 500 * time.Millisecond  // of a machine's turn beyond its maintenance: a stop, its report, a write and the order
	heardLately       = 1500 * time.Millisecond // a report this old still tells that a task is at work: two long polls
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
type turn uint8

const (
	turnWaiting  turn = iota
	turnVacating      // its worker takes nothing new, and what runs there ends or moves
	turnOrdered       // it is or will be ordered down; it counts as down
	turnDone          // the order was confirmed
)

// wave is a maintenance wave that is not over. Invariant: no more than MaxParallel of its
// machines are turnOrdered, or turnDone and not back.
type wave struct {
	def       fleet.MaintenanceWave
	begun     time.Time
	due       time.Duration // when the last machine's maintenance should have begun
	machines  []*machineTurn
	completed bool
	version   int64 // of what is to be durable
	durable   int64
	listedIn  bool // in Dispatcher.dirtyWaves
	writing   bool // in a batch that is out
}

// machineTurn is one machine in a wave.
type machineTurn struct {
	id         fleet.MachineID
	turn       turn
	worker     *worker // that was vacated; nil: none was listed
	born       int64   // its incarnation
	version    int64   // of the wave, with turnOrdered in it
	out        bool    // the order is on its way
	nextTry    time.Duration
	doubtUntil time.Duration // until when an unanswered order may be carried out
	downUntil  time.Duration // of one that is done
	vacateBy   time.Duration // when what still runs there is stopped
}

// SetWave takes the operators' request; progress is nil for one that no owner has begun.
func (d *Dispatcher) SetWave(now time.Duration, wall time.Time, def fleet.MaintenanceWave, p *WaveProgress) {
	if d.wave(def.Number) != nil {
		return
	}
	v := &wave{def: def, begun: wall, due: now + def.StartWithin}
	d.waves = append(d.waves, v)
	if p != nil {
		v.begun, v.completed = p.StartedAt, p.Completed
		spent := min(max(wall.Sub(p.StartedAt), 0), def.StartWithin) // clocks of VMs differ
		v.due = now + def.StartWithin - spent
	}
	for _, id := range def.Machines {
		m := &machineTurn{id: id}
		switch {
		case p == nil:
		case slices.Contains(p.Done, id):
			m.turn, m.downUntil = turnDone, now+d.opts.MaintenanceTime+maintenanceMargin
		case slices.Contains(p.Ordered, id):
			// The owner before ordered it or was about to; holders of the machine must not take
			// turns faster than this.
			m.turn, m.nextTry, m.doubtUntil = turnOrdered, now+d.opts.HolderCooldown, now+lateOrders
		}
		v.machines = append(v.machines, m)
	}
	d.events.Record(event.WaveTaken, def.Number, len(def.Machines), def.MaxParallel, v.due-now, v.completed)
	if !v.completed {
		d.waveChanged(v)
	}
}

func (d *Dispatcher) wave(number int64) *wave {
	for _, v := range d.waves {
		if v.def.Number == number {
			return v
		}
	}
	return nil
}

func (d *Dispatcher) waveChanged(v *wave) {
	v.version++
	if !v.listedIn {
		v.listedIn = true
		d.dirtyWaves = append(d.dirtyWaves, v)
	}
}

// progress takes a copy of what has to last.
func (v *wave) progress() *WaveProgress {
	p := &WaveProgress{Wave: v.def.Number, StartedAt: v.begun, Completed: v.completed}
	for _, m := range v.machines {
		switch m.turn {
		case turnOrdered:
			p.Ordered = append(p.Ordered, m.id)
		case turnDone:
			p.Done = append(p.Done, m.id)
		}
	}
	return p
}

// maintain advances the waves: the machines that are next are vacated, empty ones are
// ordered down, as many at once as the wave allows.
func (d *Dispatcher) maintain(now time.Duration) {
	for _, v := range d.waves {
		if v.completed {
			continue
		}
		d.nextTurns(now, v)
		down, left := d.down(now, v)
		for _, m := range v.machines {
			w := d.workerAt(m.id)
			if m.turn == turnVacating && w != nil {
				d.vacate(now, w, m.vacateBy)
			}
			if m.turn == turnVacating && d.empty(w) && down < v.def.MaxParallel {
				down++
				m.turn, m.worker = turnOrdered, w
				if w != nil {
					m.born = w.entry.Incarnation
				}
				d.waveChanged(v)
				m.version = v.version
			}
			if m.turn == turnOrdered && !m.out && now >= m.nextTry && v.durable >= m.version {
				m.out = true
				d.events.Record(event.MaintenanceOrdered, v.def.Number, m.id, down, left, v.due-now)
				d.emit(MaintainCommand{Request: fleet.MaintenanceRequest{Machine: m.id, Wave: v.def.Number, Fence: d.opts.Fence}})
			}
		}
		if left == 0 && down == 0 {
			v.completed = true
			d.waveChanged(v)
			d.events.Record(event.WaveCompleted, v.def.Number, len(v.machines), now-v.due)
		}
	}
	d.markVacating()
}

// empty reports whether nothing can run on a machine, by what its worker has told this owner;
// nil is a machine without one.
func (d *Dispatcher) empty(w *worker) bool {
	if w == nil {
		return d.recovered
	}
	return w.heard && len(w.runs) == 0
}

// down counts the machines that may be down for a wave, and those whose turn is not over.
func (d *Dispatcher) down(now time.Duration, v *wave) (down, left int) {
	for _, m := range v.machines {
		if m.turn == turnOrdered || m.turn == turnDone && !d.back(now, m) {
			down++
		}
		if m.turn != turnDone {
			left++
		}
	}
	return down, left
}

// markVacating notes which workers take nothing because their machine is to be maintained.
func (d *Dispatcher) markVacating() {
	for _, w := range d.order {
		if w.vacating {
			w.vacating = false
			d.gain(w)
		}
	}
	for _, v := range d.waves {
		if v.completed {
			continue
		}
		for _, m := range v.machines {
			if m.turn != turnVacating && m.turn != turnOrdered {
				continue
			}
			if w := d.workerAt(m.id); w != nil {
				w.vacating = true
			}
		}
	}
}

// nextTurns lets the machines vacate that are next, those with the least running first: as
// many as may be down, while others are. Each gets its share of the time that is left.
func (d *Dispatcher) nextTurns(now time.Duration, v *wave) {
	vacating, left := 0, 0
	var waiting []*machineTurn
	for _, m := range v.machines {
		switch m.turn {
		case turnVacating:
			vacating++
			left++
		case turnWaiting:
			left++
			if now >= m.nextTry {
				waiting = append(waiting, m)
			}
		}
	}
	room := min(v.def.MaxParallel-vacating, len(waiting))
	if room <= 0 {
		return
	}
	rounds := (left + v.def.MaxParallel - 1) / v.def.MaxParallel
	spare := v.due - now - time.Duration(rounds-1)*d.opts.MaintenanceTime - time.Duration(rounds)*orderingTime
	slices.SortStableFunc(waiting, func(a, b *machineTurn) int {
		return int(d.occupied(a.id) - d.occupied(b.id))
	})
	for _, m := range waiting[:room] {
		m.turn = turnVacating
		m.vacateBy = now + max(spare, 0)/time.Duration(rounds)
	}
}

// occupied is the processor time in use on a machine; those without a worker come last.
func (d *Dispatcher) occupied(id fleet.MachineID) int64 {
	w := d.workerAt(id)
	if w == nil {
		return 1 << 40
	}
	return w.used.MilliCPU
}

// workerAt finds the listed worker of a machine, or nil.
func (d *Dispatcher) workerAt(id fleet.MachineID) *worker {
	for _, w := range d.order {
		if w.listed && !w.retired && w.entry.Machine == id {
			return w
		}
	}
	return nil
}

// back reports whether a machine that was ordered down works again.
func (d *Dispatcher) back(now time.Duration, m *machineTurn) bool {
	return now >= m.downUntil || d.workerAt(m.id) != nil
}

// vacate moves off a worker what loses nothing by it, lets the rest end, and stops what is
// left at the given time. Tasks with a disruption budget move as far as it allows.
func (d *Dispatcher) vacate(now time.Duration, w *worker, by time.Duration) {
	for _, r := range d.sorted(w.runs) {
		s := r.task.step
		last := now+d.opts.StopTimeout >= by
		switch {
		case r.phase == runStopping:
		case s.def.Gang:
			if last && (!s.def.LongRunning || s.def.MaxUnavailable == 0) {
				d.breakGang(now, r, "a member's machine is to be maintained")
				d.stop(now, r, "its machine is to be maintained")
			}
		case s.def.LongRunning:
			if !d.spares(now, r) {
				continue
			}
			if !last && s.job.queue.Advice != nil && !d.hasTicket(now, s) {
				d.ask(now, s)
				continue
			}
			d.stop(now, r, "its machine is to be maintained")
		case last || s.def.Checkpointing && now+remaining(r) > by:
			d.stop(now, r, "its machine is to be maintained")
		}
	}
}

// remaining estimates how much longer a run takes.
func remaining(r *run) time.Duration {
	return time.Duration(float64(r.task.step.def.Estimate) * float64(fullPace-r.percent) / fullPace)
}

// spares reports whether the disruption budget of the run's step lets this one end, at work or
// not: it may be since the last report. Other tasks that are not at work for any reason count,
// and so do those whose workers are silent.
func (d *Dispatcher) spares(now time.Duration, r *run) bool {
	s := r.task.step
	if s.def.MaxUnavailable == 0 {
		return true
	}
	away := 0
	for _, t := range s.tasks {
		if t != r.task && !slices.ContainsFunc(t.runs, func(other *run) bool { return atWork(now, other) }) {
			away++
		}
	}
	return away < s.def.MaxUnavailable
}

func atWork(now time.Duration, r *run) bool {
	return r.phase == runRunning && r.percent >= fullPace && r.worker.failing == 0 && now-r.worker.lastHeard < heardLately
}

// HandleMaintenanceResponse takes the answer to an order.
func (d *Dispatcher) HandleMaintenanceResponse(now time.Duration, order fleet.MaintenanceRequest, err error) {
	v := d.wave(order.Wave)
	m := v.machine(order.Machine)
	m.out = false
	d.events.Record(event.MaintenanceAnswered, order.Wave, order.Machine, err)
	switch refusal := fleet.RejectReasonOf(err); {
	case err == nil:
		m.turn, m.downUntil = turnDone, now+d.opts.MaintenanceTime+maintenanceMargin
		if m.worker != nil && m.worker.entry.Incarnation == m.born {
			m.worker.retired, m.worker.retiredBorn = true, m.born
		}
		d.waveChanged(v)
	case refusal == fleet.RejectedStaleFence:
		d.deposed = true
	case refusal == fleet.RejectedInvalid, refusal == fleet.RejectedWave:
		m.turn = turnDone // it is not there any more, or not wanted down
		d.waveChanged(v)
	case refusal == fleet.RejectedMachineBusy:
		m.nextTry = now + busyRetry
		if now >= m.doubtUntil { // no order of ours can have taken it down
			m.turn = turnWaiting
			d.waveChanged(v)
		}
	case fleet.IsNotRun(err):
		m.nextTry = now + maintenanceRetry
	default:
		m.nextTry, m.doubtUntil = now+maintenanceRetry, now+lateOrders
	}
}

func (v *wave) machine(id fleet.MachineID) *machineTurn {
	i := slices.IndexFunc(v.machines, func(m *machineTurn) bool { return m.id == id })
	return v.machines[i]
}
