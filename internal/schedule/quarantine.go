package schedule

import (
	"container/heap"
	"slices"
	"time"

	"filbertcross/internal/model"
)

const (
	minSuspectJobs      = 2                // distinct jobs that fail on a worker in a row to make it suspect
	recentSuccessPeriod = 10 * time.Minute // without a success this recent, one failed job is enough
	suspectBackoff      = 5 * time.Second  // initial pause before a suspect worker gets a task; doubles
	suspectBackoffMax   = 2 * time.Minute
	maxBackoffShift     = 10
	maxProbeClasses     = 16 // classes checked for a probe task
	maxFailedJobs       = 8  // failed jobs recorded for a worker
)

// health is the state of a worker as observed from its runs. A worker becomes suspect when
// distinct jobs fail on it without a success in between; it then gets one task after each
// pause. It is quarantined when enough of these jobs succeed on other workers; it then gets
// only a probe task after a back-off, and the probe's success releases it.
type health struct {
	failedJobs   []failedJob // distinct jobs since the last success
	suspect      bool        // counted in Scheduler.suspectCount
	suspectUntil time.Time   // accepts no task before
	quarantined  bool
	probing      bool
	probeAt      time.Time
	lastSuccess  time.Time
	backoff      time.Duration
}

// failedJob is a job that failed on a worker.
type failedJob struct {
	job                model.JobID
	succeededElsewhere bool // the job succeeded on another worker
}

// recordOutcome updates the run's worker, job and workload estimate with its outcome.
func (s *Scheduler) recordOutcome(r *run, outcome model.Outcome) {
	switch outcome {
	case model.OutcomeDone:
		r.job.class.estimate.observeRuntime(s.cluster.now.Sub(r.started))
		s.recordSuccess(r)
	case model.OutcomeFailed:
		s.recordFailure(r)
	}
	if r.probe {
		s.endProbe(r.worker)
	}
}

// recordSuccess records a success for the run's worker and job, and counts it against the
// other workers on which the job failed.
func (s *Scheduler) recordSuccess(r *run) {
	j, w := r.job, r.worker
	r.countedSuccess = true
	j.consecutiveFailures = 0
	if len(j.succeeded) < 2 && !slices.Contains(j.succeeded, w) {
		j.succeeded = append(j.succeeded, w)
	}
	if r.probe || !w.health.quarantined {
		s.resetHealth(w)
		w.health.lastSuccess = s.cluster.now
	}
	for _, other := range j.failedOn {
		if other != w {
			s.recordSuccessElsewhere(other, j.ID)
		}
	}
}

// recordSuccessElsewhere records that a job which failed on the worker succeeded on another
// one.
func (s *Scheduler) recordSuccessElsewhere(w *worker, id model.JobID) {
	for pos := range w.health.failedJobs {
		if w.health.failedJobs[pos].job == id {
			w.health.failedJobs[pos].succeededElsewhere = true
		}
	}
	s.quarantineIfFaulty(w)
}

// recordFailure records a failure for the run's worker and job. Which of them is at fault is
// known once the job succeeds or fails on other workers.
func (s *Scheduler) recordFailure(r *run) {
	j, w := r.job, r.worker
	if !j.failedOnWorker(w) {
		j.failedOn = append(j.failedOn, w)
	}
	if r.probe {
		w.health.backoff = min(2*w.health.backoff, s.opts.ProbeBackoffMax)
		return
	}
	s.recordFailedJob(w, j.ID, slices.ContainsFunc(j.succeeded, func(o *worker) bool { return o != w }))
	s.quarantineIfFaulty(w)
}

// recordFailedJob adds a failed job to the worker's health and makes the worker suspect if
// enough jobs failed. The number of suspect workers is limited like that of quarantined ones.
func (s *Scheduler) recordFailedJob(w *worker, id model.JobID, elsewhere bool) {
	h := &w.health
	known := slices.ContainsFunc(h.failedJobs, func(f failedJob) bool { return f.job == id })
	if !known && len(h.failedJobs) < maxFailedJobs {
		h.failedJobs = append(h.failedJobs, failedJob{id, elsewhere})
	}
	if s.cluster.now.Sub(h.lastSuccess) < recentSuccessPeriod && len(h.failedJobs) < minSuspectJobs {
		return
	}
	if !h.suspect && s.suspectCount >= s.maxQuarantined() {
		return
	}
	if !h.suspect {
		h.suspect = true
		s.suspectCount++
	}
	shift := min(len(h.failedJobs)-1, maxBackoffShift)
	s.pauseWorker(w, min(suspectBackoff<<shift, suspectBackoffMax))
}

// pauseWorker keeps tasks off a suspect worker for the given time.
func (s *Scheduler) pauseWorker(w *worker, duration time.Duration) {
	w.health.suspectUntil = s.cluster.now.Add(duration)
	heap.Push(&s.queue.timers, timer{at: w.health.suspectUntil, worker: w})
}

// maxQuarantined returns how many workers may be in quarantine at once; it is at least one.
func (s *Scheduler) maxQuarantined() int {
	return max(int(s.opts.MaxQuarantineFraction*float64(len(s.cluster.ring))), 1)
}

// quarantineIfFaulty quarantines the worker if enough jobs that failed on it succeeded on
// other workers.
func (s *Scheduler) quarantineIfFaulty(w *worker) {
	h := &w.health
	count := 0
	for _, f := range h.failedJobs {
		if f.succeededElsewhere {
			count++
		}
	}
	if h.quarantined || w.removed || count < s.opts.QuarantineJobs || len(s.quarantined) >= s.maxQuarantined() {
		return
	}
	h.quarantined = true
	h.backoff = s.opts.ProbeBackoff
	h.probeAt = s.cluster.now.Add(h.backoff)
	s.quarantined = append(s.quarantined, w)
	s.stats.Quarantines++
	s.cluster.updateIndex(w)
}

// resetHealth clears the worker's health and releases it from quarantine.
func (s *Scheduler) resetHealth(w *worker) {
	h := &w.health
	if h.suspect {
		s.suspectCount--
	}
	if h.quarantined {
		s.quarantined = removeElement(s.quarantined, w)
		s.cluster.changed = true
	}
	*h = health{}
	s.cluster.updateIndex(w)
}

// endProbe schedules the next probe of a worker that is still quarantined.
func (s *Scheduler) endProbe(w *worker) {
	if !w.health.quarantined {
		return
	}
	w.health.probing = false
	w.health.probeAt = s.cluster.now.Add(w.health.backoff)
}

// Quarantined returns the quarantined workers sorted by ID.
func (s *Scheduler) Quarantined() []model.WorkerID {
	ids := make([]model.WorkerID, 0, len(s.quarantined))
	for _, w := range s.quarantined {
		ids = append(ids, w.ID)
	}
	slices.Sort(ids)
	return ids
}

// startProbes starts a probe task on each quarantined worker whose back-off is over. A worker
// for which no probe task is found for Options.ProbeBackoffMax is released as suspect.
// Otherwise a worker for which only gangs, services or urgent work wait would stay in
// quarantine forever.
func (s *Scheduler) startProbes() {
	for _, w := range slices.Clone(s.quarantined) {
		if len(s.decisions) >= s.decisionLimit {
			return
		}
		h := &w.health
		if h.probing || s.cluster.now.Before(h.probeAt) || w.Leaving || w.Unreachable || !w.known {
			continue
		}
		if c := s.probeClass(w); c != nil {
			s.startProbe(c, w)
			continue
		}
		if s.cluster.now.Sub(h.probeAt) >= s.opts.ProbeBackoffMax {
			s.releaseUnprobed(w)
		}
	}
}

// releaseUnprobed ends a quarantine without a probe. The worker becomes suspect, so it gets
// one task at a time until the first success.
func (s *Scheduler) releaseUnprobed(w *worker) {
	s.resetHealth(w)
	w.health.suspect = true
	s.suspectCount++
	s.pauseWorker(w, suspectBackoff)
	s.cluster.updateIndex(w)
}

// probeClass returns a class whose first job may be used as a probe, or nil: restartable
// batch work that is neither urgent nor about to miss its deadline. It prefers low levels.
func (s *Scheduler) probeClass(w *worker) *class {
	remaining := maxProbeClasses
	fits := func(c *class) bool {
		remaining--
		j := c.head()
		if j == nil || c.key.kind != model.KindBatch || c.key.tier == model.TierUrgent || c.level == levelLate {
			return false
		}
		size := s.grantSize(c)
		return j.Restartable && !j.failedOnWorker(w) && size.FitsIn(w.free()) && c.branch.withinQuota(size)
	}
	for l := levelLow; l >= levelHigh; l-- {
		for _, b := range s.queue.active[l] {
			if c := b.activeClasses[l][0]; remaining > 0 && fits(c) {
				return c
			}
		}
	}
	for _, c := range s.queue.blocked {
		if remaining > 0 && fits(c) {
			return c
		}
	}
	return nil
}

// startProbe starts the next task of the class's first job on a quarantined worker.
func (s *Scheduler) startProbe(c *class, w *worker) {
	r := s.Assume(c.head(), w, s.grantSize(c))
	r.probe = true
	w.health.probing = true
	s.stats.Probes++
	s.emit(r, r.newDecision(ActionProbe, 0, "probe of a quarantined worker"))
	s.refreshClass(c)
}

// handleFailedRun counts a failed run against its task and reports whether to abandon the task.
// Failures on suspect and quarantined workers do not count. A service is restarted after a
// back-off regardless of its number of failures.
func (s *Scheduler) handleFailedRun(r *run) bool {
	j := r.job
	if j.Kind == model.KindService {
		s.delayRestart(j)
		return false
	}
	if s.isJobFault(j) {
		s.abandonJob(j, "failed on several workers and succeeded on none")
		return true
	}
	if r.worker.health.suspect || r.worker.health.quarantined {
		return false
	}
	return j.countFailure(r.index) >= s.opts.MaxTaskFailures
}

// isJobFault reports whether the job succeeded nowhere and failed on several workers that are
// neither suspect nor quarantined.
func (s *Scheduler) isJobFault(j *job) bool {
	if len(j.succeeded) > 0 {
		return false
	}
	count := 0
	for _, w := range j.failedOn {
		if !w.health.quarantined && !w.health.suspect {
			count++
		}
	}
	return count >= min(s.opts.JobFaultWorkers, len(s.cluster.ring))
}

// abandonJob drops the job's waiting tasks and ends its retries.
func (s *Scheduler) abandonJob(j *job, reason string) {
	j.abandonReason = reason
	s.stats.Abandoned += int64(j.waiting)
	s.dropWaiting(j)
	for _, r := range j.runs {
		s.queueReview(r)
	}
}

// delayRestart starts the back-off before the next start of a failing service.
func (s *Scheduler) delayRestart(j *job) {
	pause := min(s.opts.RestartBackoff<<min(j.consecutiveFailures, maxBackoffShift), s.opts.RestartBackoffMax)
	j.consecutiveFailures++
	j.notBefore = s.cluster.now.Add(pause)
	if j.heapPos >= 0 {
		s.dequeueJob(j)
	}
}
