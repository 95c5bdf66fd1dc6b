package dispatch

import (
	"slices"
	"time"
)

// compactionDelay is how long after its final state became durable a submission is compacted in the
// store. It gathers submissions for one write.
const compactionDelay = 3 * time.Second

// finishedJob is a job with a durable final state that is still complete in the store. A new owner
// would read it whole, and the store keeps finished submissions for minutes.
type finishedJob struct {
	job *job
	due time.Duration
}

// queueCompaction makes the submission be compacted in the store after compactionDelay.
func (d *Dispatcher) queueCompaction(now time.Duration, j *job) {
	if !j.sub.IsCompacted() {
		d.finishedJobs = append(d.finishedJobs, finishedJob{j, now + compactionDelay})
	}
}

// appendCompactions adds compactions to a batch of at most limit records, if one is due. A job whose
// runs hold capacity is left for later, as a new owner needs its steps to account for them, and so is one that awaits
// advice, which claims capacity.
func (d *Dispatcher) appendCompactions(now time.Duration, batch []Record, limit int) []Record {
	if len(d.finishedJobs) == 0 || now < d.finishedJobs[0].due || len(batch) >= limit {
		return batch
	}
	running := make(map[*job]bool)
	for _, r := range d.runs {
		running[r.task.step.job] = true
	}
	var postponed []finishedJob
	d.finishedJobs = slices.DeleteFunc(d.finishedJobs, func(f finishedJob) bool {
		switch {
		case d.jobs[f.job.sub.ID] != f.job:
			return true // removed from the store
		case len(batch) >= limit:
			return false
		case running[f.job] || slices.ContainsFunc(f.job.occurrences, (*occurrence).adviceInFlight):
			postponed = append(postponed, finishedJob{f.job, now + compactionDelay})
			return true
		}
		batch = append(batch, Record{Job: f.job.sub.ID, Compacted: f.job.sub.Compacted(), job: f.job})
		return true
	})
	d.finishedJobs = append(d.finishedJobs, postponed...)
	return batch
}
