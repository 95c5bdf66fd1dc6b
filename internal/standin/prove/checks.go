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

// waitForCompletion waits, without faults, until all VMs are ready, the newest accepted
// sheet is active and all acknowledged jobs have reached their expected state.
func (s *session) waitForCompletion(ctx context.Context) {
	err := cluster.WaitFor(ctx, "every VM to be ready after the faults", s.load.AllReady)
	s.checks.Record("every VM is ready again after the faults", err == nil, fmt.Sprint(err))
	newest := int64(0)
	for revision := range s.acceptedSheets {
		newest = max(newest, revision)
	}
	err = cluster.WaitFor(ctx, "the newest sheet to be active", func() bool { return s.activeOnAllVMs(ctx, newest) })
	s.checks.Record("the newest accepted sheet is active on every VM", err == nil, fmt.Sprintf("revision %d, %v", newest, err))
	unfinished := ""
	err = cluster.WaitFor(ctx, "the jobs to finish", func() bool {
		unfinished = s.findUnfinishedJob(ctx)
		return unfinished == ""
	})
	s.checks.Record("acknowledged jobs are found and reach their expected state", err == nil, unfinished)
}

// activeOnAllVMs reports whether every VM has at least the newest revision. A later one is
// valid, as an apply whose response was lost may have been accepted.
func (s *session) activeOnAllVMs(ctx context.Context, newest int64) bool {
	statuses, err := s.randomVM().Client().SheetStatus(ctx)
	if err != nil {
		return false
	}
	upToDate := 0
	for _, status := range statuses {
		if status.Problem == "" && status.Revision >= newest {
			upToDate++
		}
	}
	return upToDate >= len(s.cluster.VMs)
}

// findUnfinishedJob describes a job that has not reached its expected state; empty if
// there is none.
func (s *session) findUnfinishedJob(ctx context.Context) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, job := range s.acknowledgedJobs {
		view, err := s.cluster.VMs[0].Client().Job(ctx, id)
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

// isFinished reports whether a job has reached its expected state: canceled jobs run
// nothing, services have no waiting task, run-once jobs are done or failed, others done.
func isFinished(job submittedJob, view api.Job) bool {
	switch {
	case job.canceled:
		return view.Running == 0
	case view.State == api.JobCanceled:
		return true // the response to its cancellation was lost
	case view.Kind == model.KindService:
		return view.Waiting == 0
	case job.request.RunOnce:
		return view.State == api.JobDone || view.State == api.JobFailed
	default:
		return view.State == api.JobDone
	}
}

// checkInvariants compares the stand-ins' records with the responses that callers received.
func (s *session) checkInvariants() {
	runs, err := s.cluster.TaskRuns()
	if err != nil {
		s.checks.RecordFailure("the workers report their task runs", err.Error())
		return
	}
	a, b, found := cluster.FindOverlap(runs)
	detail := fmt.Sprintf("%d runs", len(runs))
	if found {
		detail = fmt.Sprintf("%+v and %+v", a, b)
	}
	s.checks.Record("no two runs of a task overlap", !found, detail)
	worker, over := cluster.FindOverCapacity(runs, cluster.WorkerCapacity)
	s.checks.Record("no worker exceeded its capacity", !over, string(worker))
	s.checkRunOnce(runs)
	s.checkBookings()
	s.checkLogs()
	s.checks.Record("no caller got another's response", s.responseCounts.Mismatched == 0, fmt.Sprint(s.responseCounts.Mismatched))
}

func (s *session) checkRunOnce(runs []standin.TaskRun) {
	runsByTask := map[model.TaskID]int{}
	for _, run := range runs {
		runsByTask[run.Task]++
	}
	for task, n := range runsByTask {
		job := model.JobID(task[:strings.LastIndex(string(task), "/")])
		if s.acknowledgedJobs[job].request.RunOnce && n > 1 {
			s.checks.RecordFailure("a task of a run-once job runs at most once", fmt.Sprintf("%s ran %d times", task, n))
		}
	}
}

func (s *session) checkBookings() {
	time.Sleep(time.Second) // lets interrupted requests finish on the backend servers
	ran, _, err := s.cluster.BookingRuns()
	if err != nil {
		s.checks.RecordFailure("the backend servers report their counts", err.Error())
		return
	}
	cluster.CompareBookings(s.load.BookingVerdicts(), ran).RecordTo(s.checks)
}

// checkLogs searches the logs for invariant violations that the program detected itself
// and for crashes.
func (s *session) checkLogs() {
	lines, err := s.cluster.Processes.GrepLogs("invariant-broken", "panic:", "fatal error:")
	s.checks.Record("no process logged an invariant violation or a crash", err == nil && len(lines) == 0, fmt.Sprint(lines, err))
}
