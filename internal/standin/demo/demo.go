package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/api"
	"filbertcross/internal/model"
	"filbertcross/internal/standin"
	"filbertcross/internal/standin/cluster"
	"filbertcross/internal/verdict"
)

const (
	vmCount          = 3
	workersPerDomain = 4
	loadPerSecond    = 200
)

// demo is the state of one run of the demo.
type demo struct {
	bin, sheet string
	short      bool
	cluster    *cluster.Cluster
	checks     cluster.Checks
	load       *cluster.Load
	jobs       []model.JobID
}

// runSteps runs all steps up to the graceful stop; it stops at the first error.
func (d *demo) runSteps(ctx context.Context) error {
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{"start the platform, workers and backend servers", d.startStandIns},
		{"start three VMs", d.startVMs},
		{"apply the sheet", d.applySheet},
		{"send availability checks and bookings", d.checkAvailability},
		{"send one booking through two VMs", d.sendDuplicateBooking},
		{"submit a batch job, a gang job and a service job", d.submitJobs},
		{"kill one VM and freeze another under load", d.killAndFreeze},
		{"wait for the jobs", d.waitForJobs},
		{"make the workers of a failure domain unreachable", d.failDomain},
		{"check the runs and bookings that the stand-ins recorded", d.checkTaskRuns},
		{"show the merged time line", d.showTimeline},
	}
	started := time.Now()
	for _, step := range steps {
		fmt.Printf("%6.1fs  %s\n", time.Since(started).Seconds(), step.name)
		if err := step.do(ctx); err != nil {
			return errors.Wrap(err, step.name)
		}
	}
	return nil
}

func (d *demo) startStandIns(ctx context.Context) (err error) {
	d.cluster, err = cluster.Start(ctx, cluster.Options{
		BinDir:           d.bin,
		VMs:              vmCount,
		WorkersPerDomain: workersPerDomain,
		VMFlags:          []string{"--worker-interval", "250ms", "--lease-lead", "5s", "--list-interval", "500ms"},
		WorkerFlags:      []string{"--runtime", "room-sync=0s", "--runtime", "timetable-rebuild=3s", "--runtime", "exam-simulation=2s"},
	})
	return err
}

func (d *demo) startVMs(ctx context.Context) error {
	var urls []string
	for _, vm := range d.cluster.VMs {
		if err := d.cluster.StartVM(vm); err != nil {
			return err
		}
		urls = append(urls, vm.URL())
	}
	d.load = cluster.NewLoad(urls)
	return cluster.WaitFor(ctx, "the VMs to answer", func() bool {
		for _, url := range urls {
			if cluster.GetJSON(url+"/healthz", nil) != nil {
				return false
			}
		}
		return true
	})
}

// recordTimed records a check that depends on the speed of the machine; short runs skip it.
func (d *demo) recordTimed(name string, ok bool, detail string) {
	if !d.short {
		d.checks.Record(name, ok, detail)
	}
}

// loadDuration returns the duration of a load phase; short runs halve it.
func (d *demo) loadDuration(full time.Duration) time.Duration {
	if d.short {
		return full / 2
	}
	return full
}

func (d *demo) client(i int) *api.Client { return d.cluster.VMs[i].Client() }

func (d *demo) applySheet(ctx context.Context) error {
	csv, err := os.ReadFile(d.sheet)
	if err != nil {
		return err
	}
	accepted, err := d.client(0).ApplySheet(ctx, 0, csv, "")
	if err != nil {
		return err
	}
	started := time.Now()
	err = cluster.WaitFor(ctx, "the sheet to be active on every VM", func() bool {
		statuses, err := d.client(1).SheetStatus(ctx)
		active := 0
		for _, s := range statuses {
			if s.Revision == accepted.Revision {
				active++
			}
		}
		return err == nil && active == vmCount
	})
	d.recordTimed("the sheet is active on every VM within 6 s", err == nil && time.Since(started) < 6*time.Second,
		fmt.Sprintf("revision %d after %v", accepted.Revision, time.Since(started).Round(time.Millisecond)))
	if err != nil {
		return err
	}
	go d.load.WatchReadiness(context.WithoutCancel(ctx))
	return cluster.WaitFor(ctx, "every VM to be ready", d.load.AllReady)
}

func (d *demo) checkAvailability(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, d.loadDuration(2*time.Second))
	defer cancel()
	d.load.Run(bounded, loadPerSecond, "quiet")
	counts := d.load.TakeCounts()
	d.recordTimed("every check and booking is done and gets its own response", counts.Done == counts.Sent && counts.Sent > 0, counts.String())
	return nil
}

func (d *demo) sendDuplicateBooking(context.Context) error {
	first, firstVerdict := d.load.SendBooking(d.cluster.VMs[0].URL(), "hall-204-monday")
	second, secondVerdict := d.load.SendBooking(d.cluster.VMs[1].URL(), "hall-204-monday")
	same := first == second && firstVerdict == verdict.Done && secondVerdict == verdict.Done
	ran, _, err := d.cluster.BookingRuns()
	if err != nil {
		return err
	}
	d.checks.Record("a booking sent through two VMs runs once, with one response", same && ran["hall-204-monday"] == 1,
		fmt.Sprintf("ran %d time(s); %v, %v", ran["hall-204-monday"], firstVerdict, secondVerdict))
	return nil
}

var demoJobs = []api.SubmitJobRequest{
	{Branch: "sofia-academy", Workload: "timetable-rebuild"},
	{Branch: "plovdiv-college", Workload: "exam-simulation"},
	{Branch: "sofia-academy", Workload: "room-sync"},
}

func (d *demo) submitJobs(ctx context.Context) error {
	for i, job := range demoJobs {
		key := fmt.Sprintf("demo-%d", i)
		accepted, err := d.client(i).SubmitJob(ctx, job, key)
		if err != nil {
			return err
		}
		again, err := d.client((i+1)%vmCount).SubmitJob(ctx, job, key)
		if err != nil {
			return err
		}
		d.checks.Record(fmt.Sprintf("%s submitted twice with one key is one job", job.Workload), again.ID == accepted.ID, string(accepted.ID))
		d.jobs = append(d.jobs, accepted.ID)
	}
	return nil
}

func (d *demo) killAndFreeze(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, d.loadDuration(12*time.Second))
	defer cancel()
	go func() {
		time.Sleep(time.Second)
		d.cluster.Processes.Signal(d.cluster.VMs[2].ProcessName(), syscall.SIGKILL)
		time.Sleep(2 * time.Second)
		d.cluster.Processes.Signal(d.cluster.VMs[1].ProcessName(), syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		d.cluster.Processes.Signal(d.cluster.VMs[1].ProcessName(), syscall.SIGCONT)
	}()
	d.load.Run(bounded, loadPerSecond, "faults")
	counts := d.load.TakeCounts()
	d.checks.Record("no caller gets another's response during a kill and a freeze", counts.Mismatched == 0, counts.String())
	d.recordTimed("at least 4 of 5 requests are done during a kill and a freeze", counts.Done*10 >= counts.Sent*8, fmt.Sprintf("%d of %d done", counts.Done, counts.Sent))
	return nil
}

func (d *demo) waitForJobs(ctx context.Context) error {
	want := []api.JobState{api.JobDone, api.JobDone, api.JobRunning}
	for i, id := range d.jobs {
		var job api.Job
		err := cluster.WaitFor(ctx, string(demoJobs[i].Workload), func() bool {
			var err error
			job, err = d.client(0).Job(ctx, id)
			return err == nil && job.State == want[i]
		})
		detail := fmt.Sprintf("%d waiting, %d running, %d done %s", job.Waiting, job.Running, job.Done, job.Reason)
		d.checks.Record(fmt.Sprintf("%s is %s", demoJobs[i].Workload, want[i]), err == nil, detail)
	}
	return nil
}

// failedDomain is the domain whose workers fail; its VM has not been killed before.
const failedDomain = "bg-south-2"

// failDomain makes all workers of a failure domain unreachable and submits jobs until
// one has its home partition there. That job must be handed over to another partition
// and complete.
func (d *demo) failDomain(ctx context.Context) error {
	if err := d.setWorkersDown(true); err != nil {
		return err
	}
	job, err := d.submitToPartition(ctx, "w-"+failedDomain+"-")
	if err != nil {
		return err
	}
	started := time.Now()
	err = cluster.WaitFor(ctx, "the job of the unreachable failure domain", func() bool {
		view, err := d.client(0).Job(ctx, job)
		return err == nil && view.State == api.JobDone
	})
	d.checks.Record("a job of an unreachable failure domain is done elsewhere", err == nil, fmt.Sprintf("after %v", time.Since(started).Round(100*time.Millisecond)))
	return d.setWorkersDown(false)
}

func (d *demo) setWorkersDown(down bool) error {
	for _, address := range d.cluster.WorkersOf(failedDomain) {
		if err := cluster.PutJSON("http://"+address+"/faults", standin.FaultSettings{Down: down}); err != nil {
			return err
		}
	}
	return nil
}

// submitToPartition submits jobs under new keys until the home partition of one has the
// prefix. It gives up after 100 jobs.
func (d *demo) submitToPartition(ctx context.Context, prefix string) (model.JobID, error) {
	for n := range 100 {
		job, err := d.client(0).SubmitJob(ctx, demoJobs[0], fmt.Sprintf("lost-%d", n))
		if err != nil {
			return "", err
		}
		if strings.HasPrefix(string(job.ID), prefix) {
			return job.ID, nil
		}
	}
	return "", errors.Newf("none of 100 jobs has a home partition with prefix %s", prefix)
}

func (d *demo) checkTaskRuns(context.Context) error {
	runs, err := d.cluster.TaskRuns()
	if err != nil {
		return err
	}
	a, b, found := cluster.FindOverlap(runs)
	detail := fmt.Sprintf("%d runs", len(runs))
	if found {
		detail = fmt.Sprintf("%+v and %+v", a, b)
	}
	d.checks.Record("no two runs of a task overlap", !found && len(runs) > 0, detail)
	worker, over := cluster.FindOverCapacity(runs, cluster.WorkerCapacity)
	d.checks.Record("no worker exceeded its capacity", !over, string(worker))
	return d.checkBookings()
}

// checkBookings compares the callers' verdicts with the backend servers' counts.
func (d *demo) checkBookings() error {
	ran, peak, err := d.cluster.BookingRuns()
	if err != nil {
		return err
	}
	d.checks.Record("no backend server runs more requests than it has slots", peak <= cluster.BackendSlots, fmt.Sprintf("maximum %d", peak))
	cluster.CompareBookings(d.load.BookingVerdicts(), ran).RecordTo(&d.checks)
	return nil
}

const timelineLines = 15

func (d *demo) showTimeline(ctx context.Context) error {
	text, err := d.client(0).GetBody(ctx, "/v1/timeline?limit=5000")
	if err != nil {
		return err
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, line := range lines[max(0, len(lines)-timelineLines):] {
		fmt.Println("   ", line)
	}
	d.checks.Record("the time line has events of both remaining VMs", strings.Contains(string(text), d.cluster.VMs[0].Name) && strings.Contains(string(text), d.cluster.VMs[1].Name),
		fmt.Sprintf("%d lines", len(lines)))
	var counts standin.StoreCounts
	if err := cluster.GetJSON(d.cluster.StoreURL+"/counts", &counts); err != nil {
		return err
	}
	fmt.Printf("    store: %d reads, %d writes, %d watches, %d refused\n", counts.Reads, counts.Writes, counts.Watches, counts.Refused)
	return nil
}

// stopGracefully stops the remaining VMs under load, one at a time.
func (d *demo) stopGracefully(ctx context.Context) {
	fmt.Println("        stop gracefully under load")
	bounded, cancel := context.WithCancel(ctx)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		d.load.Run(bounded, loadPerSecond, "stop")
	}()
	time.Sleep(500 * time.Millisecond)
	for _, i := range []int{1, 0} {
		vm := d.cluster.VMs[i]
		d.cluster.Processes.Signal(vm.ProcessName(), syscall.SIGTERM)
		code, exited := d.cluster.Processes.Wait(vm.ProcessName(), 20*time.Second)
		d.checks.Record(vm.Name+" stops gracefully with exit code 0", exited && code == 0, fmt.Sprintf("exit code %d", code))
	}
	cancel()
	<-finished
	counts := d.load.TakeCounts()
	interrupted := counts.NoResponse + counts.MayHaveRun + counts.Mismatched
	d.checks.Record("a graceful stop interrupts no request", interrupted == 0 && counts.Done > 0, counts.String())
	if err := d.checkBookings(); err != nil {
		d.checks.RecordFailure("the backend servers report their counts after the stop", err.Error())
	}
}

func (d *demo) printCommands() {
	fmt.Println("\nall processes run until Ctrl-C; commands to try:")
	for _, command := range []string{"sheet status", "branch", "worker list", "job list", "timeline"} {
		fmt.Printf("  FILBERTCROSS_SERVER=http://%s %s %s\n", d.cluster.VMs[0].HTTPAddress, filepath.Join(d.bin, "filbertcross"), command)
	}
	fmt.Printf("  curl -i http://%s/v1/branches/sofia-academy/services/zalibook/availability/hall-1\n", d.cluster.VMs[0].HTTPAddress)
}
