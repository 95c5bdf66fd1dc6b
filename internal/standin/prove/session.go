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

// session is the state of one randomised run.
type session struct {
	cluster *cluster.Cluster
	checks  *cluster.Checks
	load    *cluster.Load
	faults  *faultInjector

	mu               sync.Mutex
	rng              *rand.Rand
	steps            int
	acknowledgedJobs map[model.JobID]submittedJob
	activeRevisions  map[model.VMID]int64 // highest active revision seen, by process
	acceptedSheets   map[int64]string     // sheet text by accepted revision
	responseCounts   cluster.ResponseCounts
}

// submittedJob is a job whose submission was acknowledged.
type submittedJob struct {
	request  api.SubmitJobRequest
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

// startVMs starts the VMs, applies the first sheet and waits until all VMs are ready.
func (s *session) startVMs(ctx context.Context, sheet string) error {
	csv, err := os.ReadFile(sheet)
	if err != nil {
		return err
	}
	var urls []string
	for _, vm := range s.cluster.VMs {
		if err := s.cluster.StartVM(vm); err != nil {
			return err
		}
		urls = append(urls, vm.URL())
	}
	s.load = cluster.NewLoad(urls)
	err = cluster.WaitFor(ctx, "the first sheet to be accepted", func() bool {
		accepted, err := s.cluster.VMs[0].Client().ApplySheet(ctx, 0, csv, "")
		if err == nil {
			s.recordAccepted(accepted.Revision, string(csv))
		}
		return err == nil
	})
	s.load.WatchReadiness(context.WithoutCancel(ctx))
	if err != nil {
		return err
	}
	return cluster.WaitFor(ctx, "every VM to be ready", s.load.AllReady)
}

// runWorkAndFaults generates load, jobs, sheets and faults for the duration.
func (s *session) runWorkAndFaults(ctx context.Context, seed uint64, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	s.faults = newFaultInjector(s.cluster, s.checks, rand.New(rand.NewPCG(seed, 2)))
	var wait sync.WaitGroup
	wait.Go(func() { s.load.Run(ctx, loadPerSecond, "prove") })
	wait.Go(func() { s.repeat(ctx, 20*time.Millisecond, s.repeatBooking) })
	wait.Go(func() { s.repeat(ctx, 300*time.Millisecond, s.submitOrCancelJob) })
	wait.Go(func() { s.repeat(ctx, time.Second, s.applyConcurrentSheets) })
	wait.Go(func() { s.repeat(ctx, 500*time.Millisecond, s.checkRevisions) })
	wait.Go(func() { s.faults.run(ctx) })
	wait.Wait()
	s.responseCounts = s.load.TakeCounts()
}

// repeat runs the action after exponentially distributed pauses with the given mean until
// the context is canceled. Each pause counts as a step.
func (s *session) repeat(ctx context.Context, mean time.Duration, action func(context.Context)) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.steps++
		pause := time.Duration(s.rng.ExpFloat64() * float64(mean))
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		action(ctx)
	}
}

func (s *session) randInt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *session) randomVM() *cluster.VM { return s.cluster.VMs[s.randInt(len(s.cluster.VMs))] }

// repeatBooking sends a booking whose name the load also uses, or will use, through a
// random VM, and in one of four cases concurrently through a second random VM.
func (s *session) repeatBooking(context.Context) {
	booking := fmt.Sprintf("prove-%d", 4*s.randInt(400))
	go s.load.SendBooking(s.randomVM().URL(), booking)
	if s.randInt(4) == 0 {
		go s.load.SendBooking(s.randomVM().URL(), booking)
	}
}

var workloads = []api.SubmitJobRequest{
	{Branch: "sofia-academy", Workload: "timetable-rebuild"},
	{Branch: "sofia-academy", Workload: "timetable-rebuild", RunOnce: true},
	{Branch: "plovdiv-college", Workload: "exam-simulation"},
	{Branch: "sofia-academy", Workload: "room-sync", Tasks: 1},
}

// submitOrCancelJob submits a job twice under one key, or, in one of four cases, cancels
// an acknowledged job.
func (s *session) submitOrCancelJob(ctx context.Context) {
	if s.randInt(4) == 0 {
		s.cancelJob(ctx)
		return
	}
	request := workloads[s.randInt(len(workloads))]
	key := fmt.Sprintf("job-%d", s.randInt(1<<30))
	first, err := s.randomVM().Client().SubmitJob(ctx, request, key)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.acknowledgedJobs[first.ID] = submittedJob{request: request}
	s.mu.Unlock()
	second, err := s.randomVM().Client().SubmitJob(ctx, request, key)
	if err == nil && second.ID != first.ID {
		s.checks.RecordFailure("a repeated submission returns the first job", fmt.Sprintf("%s and %s", first.ID, second.ID))
	}
}

func (s *session) cancelJob(ctx context.Context) {
	s.mu.Lock()
	var id model.JobID
	for candidate, job := range s.acknowledgedJobs {
		if !job.canceled {
			id = candidate
			break
		}
	}
	s.mu.Unlock()
	if id == "" || s.randomVM().Client().CancelJob(ctx, id) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	job := s.acknowledgedJobs[id]
	job.canceled = true
	s.acknowledgedJobs[id] = job
}

// applyConcurrentSheets simulates two operators who concurrently apply different sheets
// based on the same revision.
func (s *session) applyConcurrentSheets(ctx context.Context) {
	statuses, err := s.randomVM().Client().SheetStatus(ctx)
	if err != nil || len(statuses) == 0 {
		return
	}
	base := int64(0)
	for _, status := range statuses {
		base = max(base, status.Revision)
	}
	var wait sync.WaitGroup
	for range 2 {
		csv := s.randomSheet()
		vm := s.randomVM()
		wait.Go(func() {
			accepted, err := vm.Client().ApplySheet(ctx, base, []byte(csv), "")
			if err == nil {
				s.recordAccepted(accepted.Revision, csv)
			}
		})
	}
	wait.Wait()
}

// randomSheet returns the demo's sheet with random shares.
func (s *session) randomSheet() string {
	a, b := 1+s.randInt(1000), 1+s.randInt(1000)
	return fmt.Sprintf(`branch;workload;kind;share;priority;deadline;tasks;cpus;memory;accelerators;runtime;service
sofia-academy;availability;interactive;%[1]d;urgent;5s;;;;;;zalibook
sofia-academy;timetable-rebuild;batch;%[1]d;high;10m;6;2;4GiB;;3s;
sofia-academy;room-sync;service;%[1]d;normal;;3;0,5;512MiB;;;
plovdiv-college;availability;interactive;%[2]d;urgent;5s;;;;;;zalibook
plovdiv-college;exam-simulation;gang;%[2]d;normal;30m;4;4;8GiB;;2s;
`, a, b)
}

// recordAccepted records an accepted sheet and checks that no other sheet was accepted
// under the same revision.
func (s *session) recordAccepted(revision int64, csv string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if earlier, ok := s.acceptedSheets[revision]; ok && earlier != csv {
		s.checks.RecordFailure("two sheets never get the same revision", fmt.Sprint(revision))
	}
	s.acceptedSheets[revision] = csv
}

// checkRevisions checks that the active revision of each process never decreases.
func (s *session) checkRevisions(ctx context.Context) {
	statuses, err := s.randomVM().Client().SheetStatus(ctx)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, status := range statuses {
		if status.Problem != "" {
			continue
		}
		if status.Revision < s.activeRevisions[status.VM] {
			s.checks.RecordFailure("no VM returns to an older revision", fmt.Sprintf("%s from %d to %d", status.VM, s.activeRevisions[status.VM], status.Revision))
		}
		s.activeRevisions[status.VM] = status.Revision
	}
}

func (s *session) printReport() {
	s.checks.Print()
	fmt.Printf("\n%d steps, %d jobs acknowledged, %d sheets accepted, requests %v\n", s.steps, len(s.acknowledgedJobs), len(s.acceptedSheets), s.responseCounts)
	if s.faults != nil {
		fmt.Println("faults:", s.faults)
	}
}
