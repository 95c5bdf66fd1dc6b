package partition

import (
	"time"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

// firstFit is a Decider that places waiting tasks in order on the first worker
// with room, and preempts when asked to.
type firstFit struct {
	jobs     map[model.JobID]*fitJob
	order    []model.JobID
	workers  []schedule.Worker
	placed   map[model.TaskID]schedule.Placement
	stops    []schedule.Decision
	unsure   map[model.TaskID]bool // assumed
	overfill bool                  // ignores capacity: the owner must not
}

type fitJob struct {
	job      model.Job
	waiting  map[model.TaskID]bool
	canceled bool
}

func newFirstFit() *firstFit {
	return &firstFit{jobs: map[model.JobID]*fitJob{}, placed: map[model.TaskID]schedule.Placement{}, unsure: map[model.TaskID]bool{}}
}

func (f *firstFit) SetBranches(time.Time, []model.Branch) {}

func (f *firstFit) UpsertWorker(_ time.Time, w schedule.Worker) {
	for i := range f.workers {
		if f.workers[i].ID == w.ID {
			f.workers[i] = w
			return
		}
	}
	f.workers = append(f.workers, w)
}

func (f *firstFit) RemoveWorker(_ time.Time, id model.WorkerID) {
	for i := range f.workers {
		if f.workers[i].ID == id {
			f.workers = append(f.workers[:i], f.workers[i+1:]...)
			return
		}
	}
}

func (f *firstFit) Submit(_ time.Time, job model.Job) schedule.Status {
	j := &fitJob{job: job, waiting: map[model.TaskID]bool{}}
	for i := range job.Tasks {
		j.waiting[taskID(job.ID, i)] = true
	}
	f.jobs[job.ID] = j
	f.order = append(f.order, job.ID)
	return schedule.Status{}
}

func (f *firstFit) Adopt(_ time.Time, p schedule.Placement) {
	f.placed[p.Task] = p
	delete(f.jobs[p.Job].waiting, p.Task)
}

func (f *firstFit) Cancel(_ time.Time, id model.JobID) {
	j := f.jobs[id]
	j.canceled, j.waiting = true, nil
	for i := range j.job.Tasks {
		if p, ok := f.placed[taskID(id, i)]; ok {
			f.stops = append(f.stops, schedule.Decision{Action: schedule.ActionStop, Task: p.Task, Job: id})
		}
	}
}

func (f *firstFit) Observe(time.Time, schedule.Usage) {}

func (f *firstFit) Finish(_ time.Time, task model.TaskID, outcome model.Outcome) {
	p, ok := f.placed[task]
	if !ok {
		return
	}
	delete(f.placed, task)
	delete(f.unsure, task)
	j := f.jobs[p.Job]
	final := outcome == model.OutcomeDone || outcome == model.OutcomeCanceled ||
		outcome != model.OutcomeNotStart && !j.job.Restartable
	if !j.canceled && !final {
		j.waiting[task] = true
	}
}

func (f *firstFit) Decide(time.Time, int) []schedule.Decision {
	decisions := f.stops
	f.stops = nil
	for _, id := range f.order {
		for i := range f.jobs[id].job.Tasks {
			task := taskID(id, i)
			if f.jobs[id].waiting[task] {
				decisions = f.place(decisions, f.jobs[id], task)
			}
		}
	}
	return decisions
}

func (f *firstFit) place(d []schedule.Decision, j *fitJob, task model.TaskID) []schedule.Decision {
	for _, w := range f.workers {
		used := j.job.Size
		for _, p := range f.placed {
			if p.Worker == w.ID {
				used = used.Add(p.Size)
			}
		}
		if w.Unreachable || w.Leaving || !f.overfill && !used.Fits(w.Capacity) {
			continue
		}
		delete(j.waiting, task)
		f.unsure[task] = true
		f.placed[task] = schedule.Placement{Task: task, Job: j.job.ID, Worker: w.ID, Size: j.job.Size}
		return append(d, schedule.Decision{Action: schedule.ActionPlace, Task: task, Job: j.job.ID,
			Branch: j.job.Branch, Worker: w.ID, Size: j.job.Size})
	}
	return d
}

func (f *firstFit) Confirm(_ time.Time, task model.TaskID) { delete(f.unsure, task) }

func (f *firstFit) Forget(now time.Time, task model.TaskID) {
	if f.unsure[task] {
		f.Finish(now, task, model.OutcomeNotStart)
	}
}

func (f *firstFit) Explain(id model.JobID) (schedule.Explanation, bool) {
	j := f.jobs[id]
	if j == nil {
		return schedule.Explanation{}, false
	}
	return schedule.Explanation{Job: id, Waiting: len(j.waiting)}, true
}
