package partition

import (
	"slices"
	"strings"
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
)

// fakeWorker implements the worker's side of the contract: epochs, boots, and leases on
// its own clock.
type fakeWorker struct {
	id        model.WorkerID
	bootCount int
	up        bool
	clock     platform.WorkerTime
	epoch     int64
	capacity  model.Resources
	tasks     map[platform.TaskRef]*fakeTask
}

type fakeTask struct {
	start platform.StartRequest
	state platform.TaskState
}

func (w *fakeWorker) boot() string { return string(rune('a' + w.bootCount)) }

// advanceClock advances the worker's clock and expires the tasks whose lease has ended.
func (w *fakeWorker) advanceClock(d time.Duration) {
	w.clock += platform.WorkerTime(d)
	for _, t := range w.tasks {
		if t.state == platform.TaskRunning && t.start.LeaseUntil <= w.clock {
			t.state = platform.TaskExpired
		}
	}
}

func (w *fakeWorker) restart() {
	w.bootCount++
	w.up, w.clock, w.epoch = true, 0, 0
	w.tasks = map[platform.TaskRef]*fakeTask{}
}

func (w *fakeWorker) acceptEpoch(epoch int64) error {
	if epoch < w.epoch {
		return platform.ErrStaleEpoch
	}
	w.epoch = epoch
	return nil
}

func (w *fakeWorker) report(epoch int64) (platform.WorkerReport, error) {
	if err := w.acceptEpoch(epoch); err != nil {
		return platform.WorkerReport{}, err
	}
	r := platform.WorkerReport{Worker: w.id, Boot: w.boot(), Clock: w.clock, Epoch: w.epoch, Capacity: w.capacity}
	for ref, t := range w.tasks {
		r.Tasks = append(r.Tasks, platform.TaskReport{TaskRef: ref, Partition: t.start.Partition,
			Epoch: t.start.Epoch, State: t.state, LeaseUntil: t.start.LeaseUntil})
	}
	slices.SortFunc(r.Tasks, func(a, b platform.TaskReport) int { return strings.Compare(string(a.Task), string(b.Task)) })
	return r, nil
}

func (w *fakeWorker) start(s platform.StartRequest) error {
	ref := platform.TaskRef{Task: s.Task, Attempt: s.Attempt}
	if err := w.acceptEpoch(s.Epoch); err != nil {
		return err
	}
	switch {
	case s.Boot != w.boot():
		return platform.ErrRefused
	case w.tasks[ref] != nil:
		return nil
	case s.LeaseUntil <= w.clock:
		return platform.ErrLeaseExpired
	}
	w.tasks[ref] = &fakeTask{start: s, state: platform.TaskRunning}
	return nil
}

func (w *fakeWorker) renew(r platform.LeaseRenewal) error {
	if err := w.acceptEpoch(r.Epoch); err != nil || r.Boot != w.boot() {
		return err
	}
	for _, ref := range r.Tasks {
		if t := w.tasks[ref]; t != nil && t.state == platform.TaskRunning {
			t.start.LeaseUntil = max(t.start.LeaseUntil, r.LeaseUntil)
		}
	}
	return nil
}

func (w *fakeWorker) stop(epoch int64, ref platform.TaskRef) error {
	if err := w.acceptEpoch(epoch); err != nil {
		return err
	}
	if t := w.tasks[ref]; t != nil && t.state == platform.TaskRunning {
		t.state = platform.TaskStopped
	}
	return nil
}

func (w *fakeWorker) forget(epoch int64, refs []platform.TaskRef) error {
	if err := w.acceptEpoch(epoch); err != nil {
		return err
	}
	for _, ref := range refs {
		if t := w.tasks[ref]; t != nil && t.state != platform.TaskRunning {
			delete(w.tasks, ref)
		}
	}
	return nil
}
