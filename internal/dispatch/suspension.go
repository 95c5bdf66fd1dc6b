package dispatch

import "time"

// An owner that cannot confirm its lease is suspended: the store may be down, or another owner may
// have been elected. For Options.RenewGrace it renews the leases of the workers and starts tasks, so
// that an outage of the store does not idle the cluster. A task must not run twice even if there is
// a successor. The successor starts no submission that is older than its fencing token before each
// worker of the durable list has reported to it, which fences that worker, or all leases have expired
// that an owner could have granted until the end of its grace (Options.MaxInheritedLease). Hence a
// suspended owner starts a task only
//
//   - of a submission that is older than any successor's token: its revision is not above that of
//     the last write that the store made on condition that this owner holds the key;
//   - on a worker of the durable list whose incarnation reported while the owner had authority: a
//     restarted worker has lost the successor's token;
//   - if no run of its submission has ended without a result since the owner had authority. That the
//     worker has restarted, does not list the run any more, or that its lease has expired does not show
//     how the run ended: a successor may have acknowledged its result before, or extended the lease;
//   - with a deadline that counts from the decision, so that a command that is sent or executed late
//     grants nothing beyond the grace.
//
// It neither preempts nor copies runs, and creates no occurrences.

// decideSuspended decides without authority.
func (d *Dispatcher) decideSuspended(now time.Duration) {
	if now >= d.suspensionEnd() {
		return
	}
	d.suspended = true
	for _, w := range d.workerList {
		w.unproven = w.incarnationSince > d.authorizedAt
	}
	d.sendStops(now)
	d.sendRenewals(now)
	d.placeIfDue(now)
	for _, w := range d.workerList {
		w.unproven = false
	}
	d.suspended = false
}

// eligibleWhileSuspended reports whether tasks of the job may be started without authority.
func (d *Dispatcher) eligibleWhileSuspended(j *job) bool {
	return j.revision <= d.provenRevision && j.runLostAt <= d.authorizedAt
}

// suspensionEnd returns when an owner without authority stops to renew leases and to start tasks.
func (d *Dispatcher) suspensionEnd() time.Duration { return d.authorizedAt + d.opts.RenewGrace }

// ProveOwnership states that at this revision of the store this owner held the owner key.
func (d *Dispatcher) ProveOwnership(revision int64) {
	d.provenRevision = max(d.provenRevision, revision)
}
