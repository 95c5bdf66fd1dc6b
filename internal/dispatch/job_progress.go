package dispatch

import (
	"slices"

	"filbertcross/internal/fleet"
)

// snapshotProgress returns a copy of the state to be stored. A final state needs no tasks.
func (j *job) snapshotProgress() *Progress {
	p := &Progress{State: j.state, Account: j.sub.Account, FailureCause: j.failureCause}
	if j.state.Final() {
		return p
	}
	large := j.sub.IsLarge()
	if large {
		p.Completed = slices.Clone(j.completed.ranges)
	} else {
		p.Tasks = j.listCompleted()
	}
	for _, o := range j.occurrences {
		for i, s := range o.steps {
			if len(s.gangFailedRuns)+len(s.gangCrashedRuns) > 0 {
				p.Gangs = append(p.Gangs, GangProgress{
					Occurrence: o.number, Step: i, FailedRuns: slices.Clone(s.gangFailedRuns), CrashedRuns: slices.Clone(s.gangCrashedRuns),
				})
			}
			if done := s.doneIndices(); large && len(done) > 0 {
				p.DoneTasks = append(p.DoneTasks, DoneTasks{Occurrence: o.number, Step: i, Indices: done})
			}
			for _, t := range s.tasks {
				crashes := t.history.snapshot()
				if (t.state != taskDone || large) && len(t.failedRuns) == 0 && t.checkpoint == "" && crashes == nil {
					continue
				}
				p.Tasks = append(p.Tasks, TaskProgress{
					Occurrence: o.number, Step: i, Index: t.index, Done: t.state == taskDone,
					FailedRuns: slices.Clone(t.failedRuns), Checkpoint: t.checkpoint, Crashes: crashes,
				})
			}
		}
	}
	return p
}

// Entries returns the number of entries, which its size depends on.
func (p *Progress) Entries() int {
	return len(p.Tasks) + len(p.Gangs) + len(p.DoneTasks) + len(p.Completed)
}

// DropCheckpoints removes all checkpoints, and the entries that contain nothing else.
func (p *Progress) DropCheckpoints() {
	for i := range p.Tasks {
		p.Tasks[i].Checkpoint = ""
	}
	p.Tasks = slices.DeleteFunc(p.Tasks, func(t TaskProgress) bool {
		return !t.Done && len(t.FailedRuns) == 0 && t.Crashes == nil
	})
}

// listCompleted lists the tasks of the occurrences that are complete and no longer held.
func (j *job) listCompleted() []TaskProgress {
	var list []TaskProgress
	for _, r := range j.completed.ranges {
		for k := r.First; k < r.End; k++ {
			for i := range j.sub.Steps {
				for index := range j.sub.Steps[i].Tasks {
					list = append(list, TaskProgress{Occurrence: k, Step: i, Index: index, Done: true})
				}
			}
		}
	}
	return list
}

// doneIndices returns the indices of the tasks that are done.
func (s *step) doneIndices() []IndexRange {
	var ranges []IndexRange
	for i, t := range s.tasks {
		switch last := len(ranges) - 1; {
		case t.state != taskDone:
		case last >= 0 && ranges[last].End == i:
			ranges[last].End++
		default:
			ranges = append(ranges, IndexRange{First: i, End: i + 1})
		}
	}
	return ranges
}

// restoreProgress applies stored progress to a job without runs.
func (d *Dispatcher) restoreProgress(j *job, p *Progress) {
	j.state, j.durableState = p.State, p.State
	if j.state.Final() {
		j.canceled, j.failureCause = j.state == fleet.StateCanceled, p.FailureCause
		return
	}
	j.state = fleet.StatePending
	if j.completed = newIndexSet(p.Completed, j.occurrenceCount()); j.completed.count > 0 {
		j.started = true
	}
	for _, g := range p.Gangs {
		if t := d.findTask(fleet.TaskID{StepID: fleet.StepID{Job: j.sub.ID, Occurrence: g.Occurrence, Step: g.Step}}); t != nil {
			t.step.gangFailedRuns, t.step.gangCrashedRuns = g.FailedRuns, g.CrashedRuns
			j.started = true
		}
	}
	for _, done := range p.DoneTasks {
		d.restoreDone(j, done)
	}
	for _, tp := range p.Tasks {
		t := d.findTask(fleet.TaskID{StepID: fleet.StepID{Job: j.sub.ID, Occurrence: tp.Occurrence, Step: tp.Step}, Index: tp.Index})
		if t == nil {
			continue
		}
		j.started = true
		t.failedRuns, t.checkpoint = tp.FailedRuns, tp.Checkpoint
		d.restoreCrashes(t, tp.Crashes)
		if tp.Done {
			t.restoreDone()
		}
	}
}

// restoreDone applies the completed tasks of a step. It ignores indices that the step does not have.
func (d *Dispatcher) restoreDone(j *job, done DoneTasks) {
	t := d.findTask(fleet.TaskID{StepID: fleet.StepID{Job: j.sub.ID, Occurrence: done.Occurrence, Step: done.Step}})
	if t == nil {
		return
	}
	j.started = true
	indices := newIndexSet(done.Indices, len(t.step.tasks))
	for _, r := range indices.ranges {
		for _, other := range t.step.tasks[r.First:r.End] {
			other.restoreDone()
		}
	}
}

// restoreDone makes a waiting task a completed one.
func (t *task) restoreDone() {
	if t.state != taskWaiting {
		return
	}
	t.state = taskDone
	t.step.done++
	t.step.waiting--
}
