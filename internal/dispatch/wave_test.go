package dispatch

import (
	"fmt"
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
	"filbertcross/internal/verdict"
)

// waveRig is a rig whose workers run on machines m0, m1, and so on.
type waveHarness struct {
	*harness
	workers  int
	restarts map[int]int64 // incarnation of the worker on each machine
	down     map[int]bool  // down for maintenance
	orders   []fleet.MaintenanceRequest
}

func newWaveHarness(t *testing.T, workers int) *waveHarness {
	t.Helper()
	r := &waveHarness{harness: &harness{t: t, now: time.Hour, wall: time.Unix(1_800_000_000, 0), resultNumbers: map[model.WorkerID]int64{}},
		workers: workers, restarts: map[int]int64{}, down: map[int]bool{}}
	r.startOwner(testFence)
	return r
}

// takeOver begins an owner that knows the workers' entries only.
func (r *waveHarness) startOwner(fence int64) {
	opts := testOptions()
	opts.Fence, opts.MaintenanceTime, opts.HolderCooldown = fence, 2*time.Second, 3*time.Second
	r.d = New(r.now, opts, event.Discard{})
	r.d.SetConfiguration(testConfiguration())
	r.listMachines()
	r.commitAll()
}

func machineID(i int) fleet.MachineID { return fleet.MachineID(fmt.Sprintf("m%d", i)) }

func (r *waveHarness) listMachines() {
	var entries []fleet.WorkerEntry
	for i := range r.workers {
		if !r.down[i] {
			e := workerEntry(i)
			e.Machine, e.Incarnation = machineID(i), 1+r.restarts[i]
			entries = append(entries, e)
		}
	}
	r.d.SetWorkers(r.now, entries)
}

// step lets time go on and keeps what was ordered.
func (r *waveHarness) tick() []MaintainCommand {
	r.advance(sweepInterval)
	r.commitAll()
	var orders []MaintainCommand
	r.renewals, r.starts, r.stops = nil, nil, nil
	for _, c := range r.d.Decide(r.now, r.wall, true) {
		switch c := c.(type) {
		case MaintainCommand:
			orders = append(orders, c)
			r.orders = append(r.orders, c.Request)
		case StartCommand:
			r.starts = append(r.starts, c)
		case StopCommand:
			r.stops = append(r.stops, c)
		}
	}
	return orders
}

// hear lets every worker that is up report; lasting tasks are at work.
func (r *waveHarness) reportAll() {
	for i := range r.workers {
		if r.down[i] {
			continue
		}
		var rows []fleet.RunStatus
		for _, run := range r.d.RunsAt(workerID(i)) {
			rows = append(rows, fleet.RunStatus{RunID: run, Percent: fullPace})
		}
		r.d.HandleReport(r.now, r.now, workerID(i), false, fleet.Report{Incarnation: 1 + r.restarts[i], Clock: r.now.Milliseconds(), Running: rows})
	}
}

// stopAll carries the stops out: the ends are listed at once.
func (r *waveHarness) completeStops() {
	for _, s := range r.stops {
		r.d.HandleStopResponse(r.now, s.Run, s.To.ID, nil)
		r.resultNumbers[s.To.ID]++
		end := fleet.RunResult{Number: r.resultNumbers[s.To.ID], RunID: s.Run, Outcome: fleet.OutcomeStopped}
		var rows []fleet.RunStatus
		for _, run := range r.d.RunsAt(s.To.ID) {
			if run != s.Run {
				rows = append(rows, fleet.RunStatus{RunID: run, Percent: fullPace})
			}
		}
		var i int
		fmt.Sscanf(string(s.To.ID), "w%d", &i)
		r.now += time.Millisecond
		r.d.HandleReport(r.now, r.now, s.To.ID, false, fleet.Report{Incarnation: 1 + r.restarts[i], Clock: r.now.Milliseconds(), Running: rows, Ended: []fleet.RunResult{end}})
	}
}

func (r *waveHarness) index(id fleet.MachineID) (i int) {
	fmt.Sscanf(string(id), "m%d", &i)
	return i
}

func wholeWave(workers, parallel int) fleet.MaintenanceWave {
	w := fleet.MaintenanceWave{Number: 1, StartWithin: 20 * time.Second, MaxParallel: parallel}
	for i := range workers {
		w.Machines = append(w.Machines, machineID(i))
	}
	return w
}

// Pattern: all machines of a busy pool are to be maintained, two at once, while watches with a
// disruption budget run there.
func TestWaveTakesDownVacantMachinesWithinDisruptionBudgets(t *testing.T) {
	const workers, parallel = 6, 2
	r := newWaveHarness(t, workers)
	r.reportAll()
	watch := tasks(4, 8)
	watch.LongRunning, watch.MaxUnavailable, watch.MaxPerWorker = true, 1, 1
	r.submit("quick", "watch", watch)
	r.tick()
	r.acceptStarts(r.starts)
	r.reportAll()
	r.d.SetWave(r.now, r.wall, wholeWave(workers, parallel), nil)
	backAt := map[int]time.Duration{}
	for range 800 {
		for i, at := range backAt {
			if r.now >= at {
				delete(backAt, i)
				r.down[i] = false
				r.restarts[i]++
				r.resultNumbers[workerID(i)] = 0
				r.listMachines()
			}
		}
		orders := r.tick()
		for _, o := range orders {
			i := r.index(o.Request.Machine)
			if n := len(r.d.RunsAt(workerID(i))); n > 0 {
				t.Fatalf("machine %d is ordered down with %d runs", i, n)
			}
			backAt[i], r.down[i] = r.now+2*time.Second, true
			r.listMachines()
			r.d.HandleMaintenanceResponse(r.now, o.Request, nil)
		}
		if len(backAt) > parallel {
			t.Fatalf("%d machines are down, %d may be", len(backAt), parallel)
		}
		for _, s := range r.starts {
			if r.down[r.index(fleet.MachineID("m"+string(s.To.ID[1:])))] {
				t.Fatalf("a start goes to %s, which is down", s.To.ID)
			}
		}
		r.acceptStarts(r.starts)
		away := 0
		for _, task := range r.d.jobs["watch"].steps[0][0].tasks {
			if len(task.runs) == 0 || task.runs[0].phase != runRunning {
				away++
			}
		}
		if len(r.stops) > 1 || away > 1 {
			t.Fatalf("%d stops, %d watches away, one may be", len(r.stops), away)
		}
		r.completeStops()
		r.reportAll()
	}
	if len(r.orders) != workers {
		t.Fatalf("%d orders for %d machines", len(r.orders), workers)
	}
	if v := r.d.findWave(1); !v.completed || r.now > v.startDeadline+20*time.Second {
		t.Fatalf("wave completed: %v", v.completed)
	}
}

// Pattern: the owner is lost in the middle of a wave; its successor has not heard the workers yet.
func TestNewOwnerTakesNoMachineDownBeforeItsWorkerReports(t *testing.T) {
	r := newWaveHarness(t, 4)
	r.d.SetWave(r.now, r.wall, wholeWave(4, 4), &WaveProgress{Wave: 1, StartedAt: r.wall})
	for range 10 {
		if orders := r.tick(); len(orders) > 0 {
			t.Fatalf("%v is ordered down, and what runs there is not known", orders[0].Request.Machine)
		}
	}
	r.reportAll()
	r.tick()
	r.tick()
	if len(r.orders) != 4 {
		t.Fatalf("%d machines of 4 are ordered down when their workers run nothing", len(r.orders))
	}
}

// Pattern: the owner is lost between an order and its answer.
func TestNewOwnerCountsMachinesThatMayBeDown(t *testing.T) {
	r := newWaveHarness(t, 4)
	r.d.SetWave(r.now, r.wall, wholeWave(4, 1), &WaveProgress{Wave: 1, StartedAt: r.wall, GoingDown: []fleet.MachineID{machineID(2)}})
	r.reportAll()
	for r.now < time.Hour+2900*time.Millisecond {
		if orders := r.tick(); len(orders) > 0 {
			t.Fatalf("%v is ordered while m2 may be down, or too soon after the last owner's order", orders[0].Request.Machine)
		}
		r.reportAll()
	}
	for len(r.orders) == 0 && r.now < time.Hour+5*time.Second {
		r.tick()
		r.reportAll()
	}
	if len(r.orders) != 1 || r.orders[0].Machine != machineID(2) {
		t.Fatalf("orders %v, want m2 settled first", r.orders)
	}
	r.d.HandleMaintenanceResponse(r.now, r.orders[0], nil) // it had been done before; its worker is the new one
	r.tick()
	if w := r.d.workers[workerID(2)]; w.retired {
		t.Fatal("the worker that came back is taken for the one that was ordered down")
	}
}

func TestMaintenanceCommandWaitsForDurableRecord(t *testing.T) {
	r := newWaveHarness(t, 1)
	r.reportAll()
	r.d.SetWave(r.now, r.wall, wholeWave(1, 1), nil)
	for range 5 {
		r.advance(sweepInterval)
		for _, c := range r.d.Decide(r.now, r.wall, true) {
			if m, ok := c.(MaintainCommand); ok {
				t.Fatalf("%v is ordered down before that is durable", m.Request.Machine)
			}
		}
	}
	if r.tick(); len(r.orders) != 1 {
		t.Fatalf("%d orders once it is durable", len(r.orders))
	}
}

// Pattern: a machine of the wave is down for another reason; the others must not wait for it.
func TestBusyMachineDoesNotBlockWave(t *testing.T) {
	r := newWaveHarness(t, 3)
	r.reportAll()
	r.d.SetWave(r.now, r.wall, wholeWave(3, 1), nil)
	ordered := map[fleet.MachineID]bool{}
	for range 400 {
		for _, o := range r.tick() {
			ordered[o.Request.Machine] = true
			var err error
			if o.Request.Machine == machineID(0) {
				err = &fleet.CallError{Op: "maintain", RejectReason: fleet.RejectedMachineBusy, Verdict: verdict.NotRun}
			}
			r.d.HandleMaintenanceResponse(r.now, o.Request, err)
		}
		r.reportAll()
	}
	if !ordered[machineID(1)] || !ordered[machineID(2)] {
		t.Fatalf("ordered: %v", ordered)
	}
	if r.d.findWave(1).completed {
		t.Fatal("the wave is called complete while a machine is left")
	}
}

func TestStaleFenceRejectionEndsOwnership(t *testing.T) {
	r := newWaveHarness(t, 1)
	r.reportAll()
	r.d.SetWave(r.now, r.wall, wholeWave(1, 1), nil)
	r.tick()
	r.tick()
	r.d.HandleMaintenanceResponse(r.now, r.orders[0], rejection(fleet.RejectedStaleFence))
	if !r.d.LostOwnership() {
		t.Fatal("an owner goes on although a machine has seen a higher fencing token")
	}
}

// Pattern: work that does not checkpoint fills the machines; the wave has to be in time.
func TestRunsWithoutCheckpointsMayFinishUntilWaveDeadline(t *testing.T) {
	r := newWaveHarness(t, 1)
	r.reportAll()
	long := tasks(1, 8)
	long.Estimate = 60 * time.Second
	r.submit("rebuild", "long", long)
	r.tick()
	r.acceptStarts(r.starts)
	begin := r.now
	wave := wholeWave(1, 1)
	r.d.SetWave(r.now, r.wall, wave, nil)
	for len(r.stops) == 0 && r.now < begin+wave.StartWithin {
		r.tick()
		r.d.HandleReport(r.now, r.now, workerID(0), false, fleet.Report{Incarnation: 1, Clock: r.now.Milliseconds(),
			Running: []fleet.RunStatus{{RunID: r.d.RunsAt(workerID(0))[0], Percent: int((r.now - begin) * 100 / long.Estimate)}}})
	}
	if len(r.stops) != 1 {
		t.Fatalf("%d stops when the wave is due", len(r.stops))
	}
	if early := begin + wave.StartWithin - r.now; early > 2*time.Second {
		t.Fatalf("work that does not checkpoint is stopped %v before the wave is due", early)
	}
}

// Pattern: a wave begins while watches with a disruption budget have just started. The last report
// tells that none is at work yet; by now they may be.
func TestDisruptionBudgetCountsStartingTasksAsUnavailable(t *testing.T) {
	r := newWaveHarness(t, 4)
	r.reportAll()
	watch := tasks(4, 8)
	watch.LongRunning, watch.MaxUnavailable, watch.MaxPerWorker = true, 1, 1
	r.submit("quick", "watch", watch)
	r.tick()
	r.acceptStarts(r.starts)
	for i := range 4 {
		rows := r.runStatuses(workerID(i))
		for j := range rows {
			rows[j].Percent = 50
		}
		r.d.HandleReport(r.now, r.now, workerID(i), false, fleet.Report{Incarnation: 1, Clock: r.now.Milliseconds(), Running: rows})
	}
	r.d.SetWave(r.now, r.wall, wholeWave(4, 4), nil)
	for range 3 {
		r.tick()
		if len(r.stops) > 0 {
			t.Fatalf("%d watches are stopped, none of the others is known to be at work", len(r.stops))
		}
	}
}
