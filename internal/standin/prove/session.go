package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"filbertcross/internal/api"
	"filbertcross/internal/model"
	"filbertcross/internal/standin/cluster"
)

// run is one randomised run.
type session struct {
	cluster *cluster.Cluster
	checks  *cluster.Checks
	load    *cluster.Load
	faults  *faultInjector

	mu               sync.Mutex
	rng              *rand.Rand
	steps            int
	acknowledgedJobs map[model.JobID]submittedJob
	activeRevisions  map[model.VMID]int64 // highest seen in force on each process
	acceptedSheets   map[int64]string     // sheet of each accepted revision
	responseCounts   cluster.ResponseCounts
}

// submitted is a job that was acknowledged.
type submittedJob struct {
	request  api.SubmitJob
	canceled bool // the cancellation was acknowledged
}

func newSession(c *cluster.Cluster, checks *cluster.Checks, rng *rand.Rand) *session {
	return &session{
		cluster:          c,
		checks:           checks,
		rng:              rng,
		acknowledgedJobs: map[model.JobID]submittedJob{},
		activeRevisions:  map[model.VMID]int64{},
		acceptedSheets:   map[int64]string{},
	}
}

// start starts the VMs and puts the first sheet in force.
func (r *session) startVMs(ctx context.Context, sheet string) error {
	csv, err := os.ReadFile(sheet)
	if err != nil {
		return err
	}
	var urls []string
	for _, vm := range r.cluster.VMs {
		if err := r.cluster.StartVM(vm); err != nil {
			return err
		}
		urls = append(urls, vm.URL())
	}
	r.load = cluster.NewLoad(urls)
	err = cluster.WaitFor(ctx, "the first sheet to be accepted", func() bool {
		_, err := r.cluster.VMs[0].Client().ApplySheet(ctx, 0, csv, "")
		return err == nil
	})
	r.acceptedSheets[1] = string(csv)
	r.load.WatchReadiness(context.WithoutCancel(ctx))
	if err != nil {
		return err
	}
	return cluster.WaitFor(ctx, "every VM to be ready", r.load.AllReady)
}

// random drives work and faults for the duration.
func (r *session) runWorkAndFaults(ctx context.Context, seed uint64, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	r.faults = newFaultInjector(r.cluster, r.checks, rand.New(rand.NewPCG(seed, 2)))
	var wait sync.WaitGroup
	wait.Go(func() { r.load.Run(ctx, loadPerSecond, "prove") })
	wait.Go(func() { r.repeat(ctx, 20*time.Millisecond, r.repeatBooking) })
	wait.Go(func() { r.repeat(ctx, 300*time.Millisecond, r.submitOrCancelJob) })
	wait.Go(func() { r.repeat(ctx, time.Second, r.applyConcurrentSheets) })
	wait.Go(func() { r.repeat(ctx, 500*time.Millisecond, r.checkRevisions) })
	wait.Go(func() { r.faults.run(ctx) })
	wait.Wait()
	r.responseCounts = r.load.TakeCounts()
}

// loop takes steps at random intervals around the mean until the context ends.
func (r *session) repeat(ctx context.Context, mean time.Duration, action func(context.Context)) {
	for ctx.Err() == nil {
		r.mu.Lock()
		r.steps++
		pause := time.Duration(r.rng.ExpFloat64() * float64(mean))
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		action(ctx)
	}
}

func (r *session) randInt(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func (r *session) randomVM() *cluster.VM { return r.cluster.VMs[r.randInt(len(r.cluster.VMs))] }

// rebook repeats an earlier booking of the load through any VM, or makes a new one
// and sends it through two VMs at the same time.
func (r *session) repeatBooking(context.Context) {
	booking := fmt.Sprintf("prove-%d", 4*r.randInt(400))
	go r.load.SendBooking(r.randomVM().URL(), booking)
	if r.randInt(4) == 0 {
		go r.load.SendBooking(r.randomVM().URL(), booking)
	}
}

var workloads = []api.SubmitJob{
	{Branch: "sofia-academy", Workload: "timetable-rebuild"},
	{Branch: "sofia-academy", Workload: "timetable-rebuild", RunOnce: true},
	{Branch: "plovdiv-college", Workload: "exam-simulation"},
	{Branch: "sofia-academy", Workload: "room-sync", Tasks: 1},
}

// job submits a job, sometimes twice under one key, or cancels one.
func (r *session) submitOrCancelJob(ctx context.Context) {
	if r.randInt(4) == 0 {
		r.cancelJob(ctx)
		return
	}
	request := workloads[r.randInt(len(workloads))]
	key := fmt.Sprintf("job-%d", r.randInt(1<<30))
	first, err := r.randomVM().Client().SubmitJob(ctx, request, key)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.acknowledgedJobs[first.ID] = submittedJob{request: request}
	r.mu.Unlock()
	second, err := r.randomVM().Client().SubmitJob(ctx, request, key)
	if err == nil && second.ID != first.ID {
		r.checks.RecordFailure("a job's key finds the first job", fmt.Sprintf("%s and %s", first.ID, second.ID))
	}
}

func (r *session) cancelJob(ctx context.Context) {
	r.mu.Lock()
	var id model.JobID
	for candidate, job := range r.acknowledgedJobs {
		if !job.canceled {
			id = candidate
			break
		}
	}
	r.mu.Unlock()
	if id == "" || r.randomVM().Client().CancelJob(ctx, id) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	job := r.acknowledgedJobs[id]
	job.canceled = true
	r.acknowledgedJobs[id] = job
}

// operators lets two operators apply different sheets from the same revision.
func (r *session) applyConcurrentSheets(ctx context.Context) {
	status, err := r.randomVM().Client().SheetStatus(ctx)
	if err != nil || len(status) == 0 {
		return
	}
	base := int64(0)
	for _, s := range status {
		base = max(base, s.Revision)
	}
	var wait sync.WaitGroup
	for range 2 {
		csv := r.randomSheet()
		vm := r.randomVM()
		wait.Go(func() {
			accepted, err := vm.Client().ApplySheet(ctx, base, []byte(csv), "")
			if err == nil {
				r.recordAccepted(accepted.Revision, csv)
			}
		})
	}
	wait.Wait()
}

// sheet is the demo's sheet with random shares.
func (r *session) randomSheet() string {
	a, b := 1+r.randInt(1000), 1+r.randInt(1000)
	return fmt.Sprintf(`branch;workload;kind;share;priority;deadline;tasks;cpus;memory;accelerators;runtime;service
sofia-academy;availability;interactive;%[1]d;urgent;5s;;;;;;zalibook
sofia-academy;timetable-rebuild;batch;%[1]d;high;10m;6;2;4GiB;;3s;
sofia-academy;room-sync;service;%[1]d;normal;;3;0,5;512MiB;;;
plovdiv-college;availability;interactive;%[2]d;urgent;5s;;;;;;zalibook
plovdiv-college;exam-simulation;gang;%[2]d;normal;30m;4;4;8GiB;;2s;
`, a, b)
}

// acceptedAs notes an accepted sheet; one revision is one sheet.
func (r *session) recordAccepted(revision int64, csv string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if earlier, ok := r.acceptedSheets[revision]; ok && earlier != csv {
		r.checks.RecordFailure("two operators never get the same revision", fmt.Sprint(revision))
	}
	r.acceptedSheets[revision] = csv
}

// watchRevisions asks for the revision in force on each process, which must never fall.
func (r *session) checkRevisions(ctx context.Context) {
	statuses, err := r.randomVM().Client().SheetStatus(ctx)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range statuses {
		if s.Problem != "" {
			continue
		}
		if s.Revision < r.activeRevisions[s.VM] {
			r.checks.RecordFailure("no VM goes back to an older configuration", fmt.Sprintf("%s from %d to %d", s.VM, r.activeRevisions[s.VM], s.Revision))
		}
		r.activeRevisions[s.VM] = s.Revision
	}
}

func (r *session) printReport() {
	r.checks.Print()
	fmt.Printf("\n%d steps, %d jobs acknowledged, %d sheets accepted, requests %v\n", r.steps, len(r.acknowledgedJobs), len(r.acceptedSheets), r.responseCounts)
	if r.faults != nil {
		fmt.Println("faults:", r.faults)
	}
}
