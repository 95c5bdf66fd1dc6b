package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"filbertcross/internal/api"
	"filbertcross/internal/model"
	"filbertcross/internal/standin"
	"filbertcross/internal/standin/cluster"
)

// settle waits, without faults, until the work that was acknowledged is done.
func (r *session) waitForCompletion(ctx context.Context) {
	err := cluster.WaitFor(ctx, "every VM to be ready after the faults", r.load.AllReady)
	r.checks.Record("every VM is ready again after the faults", err == nil, fmt.Sprint(err))
	newest := int64(0)
	for revision := range r.acceptedSheets {
		newest = max(newest, revision)
	}
	err = cluster.WaitFor(ctx, "the newest sheet to be in force", func() bool { return r.activeOnAllVMs(ctx, newest) })
	r.checks.Record("the newest accepted sheet is in force everywhere", err == nil, fmt.Sprintf("revision %d, %v", newest, err))
	unfinished := ""
	err = cluster.WaitFor(ctx, "the jobs to end", func() bool {
		unfinished = r.findUnfinishedJob(ctx)
		return unfinished == ""
	})
	r.checks.Record("every acknowledged job is found and ends as it should", err == nil, unfinished)
}

// inForceEverywhere reports whether every VM has a revision of at least newest: an
// apply whose answer was lost may have been accepted later.
func (r *session) activeOnAllVMs(ctx context.Context, newest int64) bool {
	statuses, err := r.randomVM().Client().SheetStatus(ctx)
	if err != nil {
		return false
	}
	current := 0
	for _, s := range statuses {
		if s.Problem == "" && s.Revision >= newest {
			current++
		}
	}
	return current >= len(r.cluster.VMs)
}

// unsettledJob names a job that is not in its final state, or nothing.
func (r *session) findUnfinishedJob(ctx context.Context) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, job := range r.acknowledgedJobs {
		view, err := r.cluster.VMs[0].Client().Job(ctx, id)
		if err != nil {
			return fmt.Sprintf("%s: %v", id, err)
		}
		if !isFinished(job, view) {
			return fmt.Sprintf("%s %s: %s, %d waiting, %d running, %d done, %d failed; %s",
				id, view.Workload, view.State, view.Waiting, view.Running, view.Done, view.Failed, view.Reason)
		}
	}
	return ""
}

func isFinished(job submittedJob, view api.Job) bool {
	switch {
	case job.canceled:
		return view.Running == 0
	case view.State == api.JobCanceled:
		return true // the answer to its cancellation was lost
	case view.Kind == model.KindService:
		return view.Waiting == 0
	case job.request.RunOnce:
		return view.State == api.JobDone || view.State == api.JobFailed
	default:
		return view.State == api.JobDone
	}
}

// judge compares the stand-ins' account with what callers were told.
func (r *session) checkInvariants() {
	runs, err := r.cluster.TaskRuns()
	if err != nil {
		r.checks.RecordFailure("the workers tell what they ran", err.Error())
		return
	}
	a, b, found := cluster.FindOverlap(runs)
	detail := fmt.Sprintf("%d runs", len(runs))
	if found {
		detail = fmt.Sprintf("%+v and %+v", a, b)
	}
	r.checks.Record("no task ran in two places at once", !found, detail)
	worker, over := cluster.FindOverCapacity(runs, cluster.WorkerCapacity)
	r.checks.Record("no worker was given more than it has", !over, string(worker))
	r.checkRunOnce(runs)
	r.checkBookings()
	r.checkLogs()
	r.checks.Record("no caller got another's answer", r.responseCounts.Mismatched == 0, fmt.Sprint(r.responseCounts.Mismatched))
}

func (r *session) checkRunOnce(runs []standin.TaskRun) {
	ran := map[model.TaskID]int{}
	for _, run := range runs {
		ran[run.Task]++
	}
	for task, n := range ran {
		job := model.JobID(task[:strings.LastIndex(string(task), "/")])
		if r.acknowledgedJobs[job].request.RunOnce && n > 1 {
			r.checks.RecordFailure("a task of a run-once job runs at most once", fmt.Sprintf("%s ran %d times", task, n))
		}
	}
}

func (r *session) checkBookings() {
	time.Sleep(time.Second) // requests that were cut off end
	ran, _, err := r.cluster.BookingRuns()
	if err != nil {
		r.checks.RecordFailure("the backend servers tell what they ran", err.Error())
		return
	}
	cluster.CompareBookings(r.load.BookingVerdicts(), ran).RecordTo(r.checks)
}

// judgeEvents looks for invariants that the program itself saw broken and for
// processes that ended by themselves.
func (r *session) checkLogs() {
	broken, err := r.cluster.Processes.GrepLogs("invariant-broken", "panic:", "fatal error:")
	r.checks.Record("no invariant was seen broken inside the program", err == nil && len(broken) == 0, fmt.Sprint(broken, err))
}
