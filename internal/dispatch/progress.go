package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// Progress is what the store keeps of a job beside the submission.
type Progress struct {
	State fleet.State    `cbor:"1,keyasint"`
	Tasks []TaskProgress `cbor:"2,keyasint,omitempty"` // those of which something is known
	Gangs []GangProgress `cbor:"3,keyasint,omitempty"`
}

// TaskProgress is what is known of a task that outlives its runs.
type TaskProgress struct {
	Occurrence int     `cbor:"1,keyasint,omitempty"`
	Step       int     `cbor:"2,keyasint,omitempty"`
	Index      int     `cbor:"3,keyasint,omitempty"`
	Done       bool    `cbor:"4,keyasint,omitempty"`
	FailedRuns []int64 `cbor:"5,keyasint,omitempty"` // run numbers, so that an end listed again is counted once
	Checkpoint string  `cbor:"6,keyasint,omitempty"`
}

// GangProgress holds the failed runs of a gang.
type GangProgress struct {
	Occurrence int     `cbor:"1,keyasint,omitempty"`
	Step       int     `cbor:"2,keyasint,omitempty"`
	FailedRuns []int64 `cbor:"3,keyasint,omitempty"`
}

// RecordedWorker is a worker on which runs may have been started.
type RecordedWorker struct {
	ID      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// Record is one change that has to become durable.
type Record struct {
	Job          fleet.JobID
	Progress     *Progress        // nil: see the other fields
	Remove       bool             // the job is forgotten
	Workers      []RecordedWorker // the record of workers
	IsWorkerList bool
	Wave         *WaveProgress

	wave    *wave
	job     *job
	version int64
}

// progress takes a copy of what has to last.
func (j *job) snapshotProgress() *Progress {
	p := &Progress{State: j.state}
	if j.state.Final() {
		return p
	}
	for k, steps := range j.steps {
		for i, s := range steps {
			if len(s.gangFailedRuns) > 0 {
				p.Gangs = append(p.Gangs, GangProgress{Occurrence: k, Step: i, FailedRuns: slices.Clone(s.gangFailedRuns)})
			}
			for _, t := range s.tasks {
				if t.state != taskDone && len(t.failedRuns) == 0 && t.checkpoint == "" {
					continue
				}
				p.Tasks = append(p.Tasks, TaskProgress{
					Occurrence: k, Step: i, Index: t.index, Done: t.state == taskDone,
					FailedRuns: slices.Clone(t.failedRuns), Checkpoint: t.checkpoint,
				})
			}
		}
	}
	return p
}

// restore applies stored progress to a job without runs.
func (d *Dispatcher) restoreProgress(j *job, p *Progress) {
	j.state, j.durableState = p.State, p.State
	if j.state.Final() {
		j.canceled = j.state == fleet.StateCanceled
		return
	}
	j.state = fleet.StatePending
	for _, g := range p.Gangs {
		if t := d.findTask(fleet.TaskID{StepID: fleet.StepID{Job: j.sub.ID, Occurrence: g.Occurrence, Step: g.Step}}); t != nil {
			t.step.gangFailedRuns = g.FailedRuns
			j.started = true
		}
	}
	for _, tp := range p.Tasks {
		t := d.findTask(fleet.TaskID{StepID: fleet.StepID{Job: j.sub.ID, Occurrence: tp.Occurrence, Step: tp.Step}, Index: tp.Index})
		if t == nil {
			continue
		}
		j.started = true
		t.failedRuns, t.checkpoint = tp.FailedRuns, tp.Checkpoint
		if tp.Done {
			t.state = taskDone
			t.step.done++
			t.step.waiting--
		}
	}
}

// HasUrgentRecord reports whether a record that callers wait for is to be written.
func (d *Dispatcher) HasUrgentRecord() bool {
	if d.workerListDirty && !d.workerListWriting {
		return true
	}
	return slices.ContainsFunc(d.dirtyWaves, func(v *wave) bool { return !v.writing }) ||
		slices.ContainsFunc(d.dirtyJobs, (*job).hasUnwrittenFinalState)
}

// ends reports whether the job's final state waits to be written.
func (j *job) hasUnwrittenFinalState() bool { return j.state.Final() && !j.writing }

// NextBatch takes at most limit records to be written together, final states first. Several
// batches may be out at once; no record is in two of them.
func (d *Dispatcher) NextBatch(now time.Duration, limit int) []Record {
	d.pruneFinalJobs(now)
	var batch []Record
	if d.workerListDirty && !d.workerListWriting {
		d.workerListDirty, d.workerListWriting = false, true
		batch = append(batch, d.workerListRecord())
	}
	d.dirtyWaves = slices.DeleteFunc(d.dirtyWaves, func(v *wave) bool {
		if v.writing || len(batch)+1 >= limit {
			return false
		}
		v.inDirtyList, v.writing = false, true
		batch = append(batch, Record{Wave: v.snapshotProgress(), wave: v, version: v.version})
		limit-- // a wave takes one entry more, for what operators read
		return true
	})
	for _, wanted := range []func(*job) bool{(*job).hasUnwrittenFinalState, func(j *job) bool { return !j.writing }} {
		d.dirtyJobs = slices.DeleteFunc(d.dirtyJobs, func(j *job) bool {
			if len(batch) >= limit || !wanted(j) {
				return false
			}
			j.inDirtyList, j.writing = false, true
			batch = append(batch, Record{Job: j.sub.ID, Progress: j.snapshotProgress(), job: j, version: j.version})
			return true
		})
	}
	for len(batch)+keysPerRemoval <= limit && len(d.removals) > 0 {
		batch = append(batch, Record{Job: d.removals[0], Remove: true})
		d.removals = d.removals[1:]
		limit -= keysPerRemoval - 1
	}
	return batch
}

// workersRecord names the workers on which runs may be, or may be started.
func (d *Dispatcher) workerListRecord() Record {
	rec := Record{IsWorkerList: true}
	for _, w := range d.workerList {
		keep := (w.listed || w.recordedByPrevious || len(w.runs) > 0) && !w.drained()
		w.recorded = w.recorded && keep
		if keep {
			rec.Workers = append(rec.Workers, RecordedWorker{ID: string(w.entry.ID), Address: w.entry.Address})
		}
	}
	return rec
}

// removedKeys is how many keys the removal of a job takes.
const keysPerRemoval = 3

// HandleBatchResult takes the result of a batch: written, or to be written again.
func (d *Dispatcher) HandleBatchResult(now time.Duration, batch []Record, ok bool) {
	for _, rec := range batch {
		switch {
		case rec.IsWorkerList:
			d.workerListWriting = false
			d.workerListDirty = d.workerListDirty || !ok
			if ok {
				d.ownerRecorded = true
				d.markRecorded(rec.Workers)
			}
		case rec.Wave != nil:
			rec.wave.writing = false
			if ok {
				rec.wave.durableVersion = max(rec.wave.durableVersion, rec.version)
			} else {
				d.markWaveDirty(rec.wave)
			}
		case rec.Remove:
			if !ok {
				d.removals = append(d.removals, rec.Job)
			}
		default:
			d.handleProgressWrite(rec, ok)
		}
	}
	for _, w := range d.workerList {
		if len(w.pendingAcks) > 0 {
			d.advanceAck(w)
			if len(w.pendingAcks) == 0 && !w.renewInFlight {
				w.renewDue = now
			}
		}
	}
}

func (d *Dispatcher) markRecorded(workers []RecordedWorker) {
	for _, r := range workers {
		if w := d.workers[model.WorkerID(r.ID)]; w != nil {
			w.recorded = true
			d.markFreed(w)
		}
	}
}

// written takes the result of the write of a job's progress.
func (d *Dispatcher) handleProgressWrite(rec Record, ok bool) {
	j := rec.job
	j.writing = false
	switch {
	case ok:
		j.durableVersion = max(j.durableVersion, rec.version)
		if rec.Progress.State.Final() {
			j.durableState = rec.Progress.State
		}
	case !j.inDirtyList:
		j.inDirtyList = true
		d.dirtyJobs = append(d.dirtyJobs, j)
	}
}

// prune forgets jobs whose final state was kept long enough.
func (d *Dispatcher) pruneFinalJobs(now time.Duration) {
	n := 0
	for _, j := range d.finalJobs {
		if now-j.finishedAt < d.opts.Retention || !j.durableState.Final() || d.hasRuns(j) {
			break
		}
		n++
		delete(d.jobs, j.sub.ID)
		d.removals = append(d.removals, j.sub.ID)
	}
	d.finalJobs = d.finalJobs[n:]
}

// busy reports whether runs of a job are still booked.
func (d *Dispatcher) hasRuns(j *job) bool {
	for _, r := range d.runs {
		if r.task.step.job == j {
			return true
		}
	}
	return false
}
