package dispatch

import (
	"slices"
	"time"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
)

// Progress is a job's state in the store, in addition to the submission.
type Progress struct {
	State fleet.State    `cbor:"1,keyasint"`
	Tasks []TaskProgress `cbor:"2,keyasint,omitempty"` // tasks that are done, have failed or have a checkpoint
	Gangs []GangProgress `cbor:"3,keyasint,omitempty"`
	// Account is that of the submission, for VMs that answer callers from this record.
	Account string `cbor:"4,keyasint,omitempty"`
	// FailureCause is why the submission failed; empty in all other states.
	FailureCause string `cbor:"5,keyasint,omitempty"`
	// Completed and DoneTasks are those of a large submission. Its size is thus that of what is at work.
	Completed []IndexRange `cbor:"6,keyasint,omitempty"` // numbers of the completed occurrences
	DoneTasks []DoneTasks  `cbor:"7,keyasint,omitempty"` // of the other occurrences
}

// DoneTasks are the completed tasks of a step of a large submission.
type DoneTasks struct {
	Occurrence int          `cbor:"1,keyasint,omitempty"`
	Step       int          `cbor:"2,keyasint,omitempty"`
	Indices    []IndexRange `cbor:"3,keyasint"`
}

// TaskProgress is the state of a task that outlives its runs.
type TaskProgress struct {
	Occurrence int            `cbor:"1,keyasint,omitempty"`
	Step       int            `cbor:"2,keyasint,omitempty"`
	Index      int            `cbor:"3,keyasint,omitempty"`
	Done       bool           `cbor:"4,keyasint,omitempty"`
	FailedRuns []int64        `cbor:"5,keyasint,omitempty"` // run numbers, so that a result reported again is counted once
	Checkpoint string         `cbor:"6,keyasint,omitempty"`
	Crashes    *CrashProgress `cbor:"7,keyasint,omitempty"`
}

// GangProgress contains the run numbers of a gang that count towards its limits.
type GangProgress struct {
	Occurrence  int     `cbor:"1,keyasint,omitempty"`
	Step        int     `cbor:"2,keyasint,omitempty"`
	FailedRuns  []int64 `cbor:"3,keyasint,omitempty"`
	CrashedRuns []int64 `cbor:"4,keyasint,omitempty"` // shortly after whose start a worker crashed
}

// RecordedWorker is an entry of the durable worker list: a worker on which runs may have been
// started.
type RecordedWorker struct {
	ID      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// Capacity is the most that runs on the worker may hold; zero in records of earlier releases.
	Capacity model.Resources `cbor:"3,keyasint"`
	// Settled is the incarnation whose leases all have the ordinary length; 0 if there is none that is known, and in records
	// of earlier releases. A lease there may then last as long as a worker grants.
	Settled int64 `cbor:"4,keyasint,omitempty"`
}

// Record is one change to be made durable: a job's progress, compaction or removal, the worker list,
// the settings, or a wave's progress.
type Record struct {
	Job          fleet.JobID
	Progress     *Progress        // nil if this is another kind of record
	Remove       bool             // the job is deleted
	Account      string           // of the deleted job
	Workers      []RecordedWorker // the complete worker list, if IsWorkerList
	IsWorkerList bool
	Settings     *StoredSettings
	Wave         *WaveProgress
	// Compacted replaces the submission in the store; its progress must have a final state there.
	Compacted *fleet.Submission

	wave    *wave
	job     *job
	version int64
}

// removal names a job whose records are to be deleted.
type removal struct {
	ID      fleet.JobID
	Account string
}

// HasUrgentRecord reports whether a record should be written without delay: the worker list, a
// wave's progress or a final state.
func (d *Dispatcher) HasUrgentRecord() bool {
	if d.workerListDirty && !d.workerListWriting {
		return true
	}
	return slices.ContainsFunc(d.dirtyWaves, func(v *wave) bool { return !v.writing }) ||
		slices.ContainsFunc(d.dirtyJobs, (*job).hasUnwrittenFinalState)
}

// hasUnwrittenFinalState reports whether the job has a final state that is not being written.
func (j *job) hasUnwrittenFinalState() bool { return j.state.Final() && !j.writing }

// NextBatch returns records to be written in one transaction, final states before other
// progress. They use at most limit entries. Several batches may be in flight; a job, a wave, the
// worker list and the settings are in at most one of them. The result of each batch must be passed to
// HandleBatchResult.
func (d *Dispatcher) NextBatch(now time.Duration, limit int) []Record {
	d.pruneFinalJobs(now)
	var batch []Record
	if d.workerListDirty && !d.workerListWriting {
		d.workerListDirty, d.workerListWriting = false, true
		batch = append(batch, d.workerListRecord())
	}
	if d.settings.dirty && !d.settings.writing {
		d.settings.dirty, d.settings.writing = false, true
		batch = append(batch, Record{Settings: d.storedSettings()})
	}
	d.dirtyWaves = slices.DeleteFunc(d.dirtyWaves, func(v *wave) bool {
		if v.writing || len(batch)+1 >= limit {
			return false
		}
		v.inDirtyList, v.writing = false, true
		batch = append(batch, Record{Wave: v.snapshotProgress(), wave: v, version: v.version})
		limit-- // a wave takes a second entry, for the status that operators read
		return true
	})
	for _, wanted := range []func(*job) bool{(*job).hasUnwrittenFinalState, func(j *job) bool { return !j.writing }} {
		d.dirtyJobs = slices.DeleteFunc(d.dirtyJobs, func(j *job) bool {
			if len(batch) >= limit || now < j.writeDue && !j.state.Final() || !wanted(j) {
				return false
			}
			j.inDirtyList, j.writing = false, true
			batch = append(batch, Record{Job: j.sub.ID, Progress: j.snapshotProgress(), job: j, version: j.version})
			return true
		})
	}
	for len(batch)+keysPerRemoval <= limit && len(d.removals) > 0 {
		batch = append(batch, Record{Job: d.removals[0].ID, Account: d.removals[0].Account, Remove: true})
		d.removals = d.removals[1:]
		limit -= keysPerRemoval - 1
	}
	return d.appendCompactions(now, batch, limit)
}

// workerListRecord lists the workers that may have runs, may be given some, or have results that are not durable.
// A new owner waits for a report of each, or for the end of its lease.
func (d *Dispatcher) workerListRecord() Record {
	rec := Record{IsWorkerList: true}
	for _, w := range d.workerList {
		keep := w.needsRecord()
		w.recorded, w.recordedUnsettled = w.recorded && keep, w.recordedUnsettled && w.settled == 0
		if keep {
			rec.Workers = append(rec.Workers, RecordedWorker{ID: string(w.entry.ID), Address: w.entry.Address, Capacity: w.peakCapacity, Settled: w.settled})
		}
	}
	return rec
}

// keysPerRemoval is the number of entries that the removal of a job takes in a batch.
const keysPerRemoval = 3

// HandleBatchResult processes the result of writing a batch. If ok is false, its records are
// queued to be written again.
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
		case rec.Settings != nil:
			d.settings.writing = false
			d.settings.dirty = d.settings.dirty || !ok
		case rec.Wave != nil:
			rec.wave.writing = false
			if ok {
				rec.wave.durableVersion = max(rec.wave.durableVersion, rec.version)
			} else {
				d.markWaveDirty(rec.wave)
			}
		case rec.Remove:
			if !ok {
				d.removals = append(d.removals, removal{ID: rec.Job, Account: rec.Account})
			}
		case rec.Compacted != nil:
			if ok {
				rec.job.occurrences = nil // a late report finds its job closed
				rec.job.setSubmission(rec.Compacted)
			} else {
				d.queueCompaction(now, rec.job)
			}
		default:
			d.handleProgressWrite(now, rec, ok)
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
			w.recorded = w.peakCapacity.FitsIn(r.Capacity) && r.Address == w.entry.Address
			w.recordedUnsettled = r.Settled == 0
			d.markFreed(w)
		}
	}
}

// handleProgressWrite processes the result of writing a job's progress.
func (d *Dispatcher) handleProgressWrite(now time.Duration, rec Record, ok bool) {
	j := rec.job
	j.writing = false
	switch {
	case ok:
		j.durableVersion = max(j.durableVersion, rec.version)
		j.writeDue = now + time.Duration(j.taskCount())*writeIntervalPerTask
		if rec.Progress.State.Final() {
			j.durableState = rec.Progress.State
			d.queueCompaction(now, j)
		}
	case !j.inDirtyList:
		j.inDirtyList = true
		d.dirtyJobs = append(d.dirtyJobs, j)
	}
}

// DeferProgress queues a job's progress that cannot be written now, as the store holds no value of its
// size. It is written when less is at work.
func (d *Dispatcher) DeferProgress(now time.Duration, rec Record) {
	rec.job.writeDue = now + oversizedRetryDelay
	d.handleProgressWrite(now, rec, false)
}

// oversizedRetryDelay is the time between attempts to write a job's progress that was too large.
const oversizedRetryDelay = 2 * time.Second

// writeIntervalPerTask is the time between two writes of a job's progress for each task that is held. It bounds the
// share of time and bytes that the progress of a large submission takes; a usual one is written with the next batch.
const writeIntervalPerTask = 5 * time.Microsecond

// pruneFinalJobs deletes jobs whose final state is older than Options.Retention.
func (d *Dispatcher) pruneFinalJobs(now time.Duration) {
	n := 0
	for _, j := range d.finalJobs {
		if now-j.finishedAt < d.opts.Retention || !j.durableState.Final() || d.hasRuns(j) {
			break
		}
		n++
		delete(d.jobs, j.sub.ID)
		d.removals = append(d.removals, removal{ID: j.sub.ID, Account: j.sub.Account})
	}
	d.finalJobs = d.finalJobs[n:]
}

// hasRuns reports whether runs of the job still hold capacity.
func (d *Dispatcher) hasRuns(j *job) bool {
	for _, r := range d.runs {
		if r.task.step.job == j {
			return true
		}
	}
	return false
}
