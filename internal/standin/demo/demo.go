package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/api"
	"filbertcross/internal/model"
	"filbertcross/internal/platform"
	"filbertcross/internal/standin"
	"filbertcross/internal/standin/cluster"
	"filbertcross/internal/verdict"
)

const (
	vmCount          = 3
	workersPerDomain = 4
	backendsPerVM    = 2
	loadPerSecond    = 200
	slots            = 8
	connections      = 64
)

var workerCapacity = model.Resources{MilliCPU: 32_000, MemoryMiB: 128 << 10}

var domains = [vmCount]string{"bg-south-1", "bg-south-2", "bg-south-3"}

// demo is one run.
type demo struct {
	bin, sheet string
	procs      *cluster.Processes
	checks     cluster.Checks
	load       *cluster.Load

	storeURL, listURL string
	vmHTTP            []string // host:port
	workers, backends []string // host:port
	jobs              []model.JobID
}

func newDemo(bin, sheet string) (*demo, error) {
	procs, err := cluster.NewProcesses()
	if err != nil {
		return nil, err
	}
	for _, name := range []string{"filbertcross", "standin"} {
		if _, err := os.Stat(filepath.Join(bin, name)); err != nil {
			return nil, errors.Wrap(err, "build first with make build")
		}
	}
	return &demo{bin: bin, sheet: sheet, procs: procs}, nil
}

// run is the demo from start to the last check before the stop.
func (d *demo) run(ctx context.Context) error {
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{"start the platform, workers and backend servers", d.startStandins},
		{"start three VMs", d.startVMs},
		{"apply the sheet", d.applySheet},
		{"answer availability checks", d.answerChecks},
		{"file one booking twice through two VMs", d.bookTwice},
		{"submit a rebuild, a gang and a watch", d.submitJobs},
		{"kill one VM and freeze another under load", d.killAndFreeze},
		{"wait for the work", d.awaitJobs},
		{"check the ground truth", d.checkTruth},
		{"merge the time line", d.showTimeline},
	}
	begun := time.Now()
	for _, step := range steps {
		fmt.Printf("%6.1fs  %s\n", time.Since(begun).Seconds(), step.name)
		if err := step.do(ctx); err != nil {
			return errors.Wrap(err, step.name)
		}
	}
	return nil
}

func (d *demo) startStandins(ctx context.Context) error {
	addresses, err := cluster.FreeAddresses(2 + vmCount*(workersPerDomain+backendsPerVM))
	if err != nil {
		return err
	}
	d.storeURL, d.listURL = "http://"+addresses[0], "http://"+addresses[1]
	addresses = addresses[2:]
	d.workers, d.backends = addresses[:vmCount*workersPerDomain], addresses[vmCount*workersPerDomain:]
	standinBinary := filepath.Join(d.bin, "standin")
	err = d.procs.Start("platform", standinBinary, "platform",
		"--store", strings.TrimPrefix(d.storeURL, "http://"), "--list", strings.TrimPrefix(d.listURL, "http://"))
	if err != nil {
		return err
	}
	if err := await(ctx, "the platform", func() bool { return get(d.listURL+"/v1/vms", nil) == nil }); err != nil {
		return err
	}
	for i, domain := range domains {
		if err := d.startDomain(i, domain, standinBinary); err != nil {
			return err
		}
	}
	return nil
}

// startDomain starts and lists the workers and backend servers of a failure domain.
func (d *demo) startDomain(index int, domain, standinBinary string) error {
	workerArgs := []string{"workers", "--runtime", "room-sync=0s", "--runtime", "timetable-rebuild=3s", "--runtime", "exam-simulation=2s"}
	for n := range workersPerDomain {
		address := d.workers[index*workersPerDomain+n]
		id := fmt.Sprintf("worker-%s-%d", domain, n)
		workerArgs = append(workerArgs, "--worker", id+"="+address)
		row := platform.VM{ID: id, Role: platform.RoleWorker, Address: address, Capacity: workerCapacity}
		if err := d.list(row, domain, fmt.Sprintf("%s-rack-%d", domain, n/2)); err != nil {
			return err
		}
	}
	backendArgs := []string{"backends"}
	for n := range backendsPerVM {
		address := d.backends[index*backendsPerVM+n]
		id := fmt.Sprintf("backend-%s-%d", domain, n)
		backendArgs = append(backendArgs, "--backend", id+"="+address)
		row := platform.VM{ID: id, Role: platform.RoleBackend, Address: address, Service: "zalibook", Slots: slots, Connections: connections}
		if err := d.list(row, domain, fmt.Sprintf("%s-rack-%d", domain, n)); err != nil {
			return err
		}
	}
	if err := d.procs.Start("workers-"+domain, standinBinary, workerArgs...); err != nil {
		return err
	}
	return d.procs.Start("backends-"+domain, standinBinary, backendArgs...)
}

func (d *demo) list(vm platform.VM, domain, rack string) error {
	vm.FailureDomain = model.FailureDomain(domain)
	vm.Rack = rack
	body, err := json.Marshal(vm)
	if err != nil {
		return err
	}
	return put(d.listURL+"/v1/vms/"+vm.ID, body)
}

func (d *demo) startVMs(ctx context.Context) error {
	addresses, err := cluster.FreeAddresses(2 * vmCount)
	if err != nil {
		return err
	}
	var urls []string
	for i, domain := range domains {
		httpAddress, peerAddress := addresses[2*i], addresses[2*i+1]
		name := vmName(i)
		row := platform.VM{ID: name, Role: platform.RoleEntry, Address: peerAddress}
		if err := d.list(row, domain, ""); err != nil {
			return err
		}
		err := d.procs.Start(name, filepath.Join(d.bin, "filbertcross"), "serve",
			"--name", name, "--failure-domain", domain,
			"--http-address", httpAddress, "--peer-address", peerAddress,
			"--store-url", d.storeURL, "--vm-list-url", d.listURL,
			"--worker-interval", "250ms", "--lease-lead", "5s", "--list-interval", "500ms")
		if err != nil {
			return err
		}
		d.vmHTTP = append(d.vmHTTP, httpAddress)
		urls = append(urls, "http://"+httpAddress)
	}
	d.load = cluster.NewLoad(urls)
	return await(ctx, "the VMs to answer", func() bool {
		for _, url := range urls {
			if get(url+"/healthz", nil) != nil {
				return false
			}
		}
		return true
	})
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i+1) }

func (d *demo) client(i int) *api.Client { return api.NewClient("http://" + d.vmHTTP[i]) }

func (d *demo) applySheet(ctx context.Context) error {
	csv, err := os.ReadFile(d.sheet)
	if err != nil {
		return err
	}
	accepted, err := d.client(0).ApplySheet(ctx, 0, csv, "")
	if err != nil {
		return err
	}
	begun := time.Now()
	err = await(ctx, "the sheet to be in force on every VM", func() bool {
		statuses, err := d.client(1).SheetStatus(ctx)
		inForce := 0
		for _, s := range statuses {
			if s.Revision == accepted.Revision {
				inForce++
			}
		}
		return err == nil && inForce == vmCount
	})
	d.checks.Expect("the sheet is in force everywhere within 6 s", err == nil && time.Since(begun) < 6*time.Second,
		fmt.Sprintf("revision %d after %v", accepted.Revision, time.Since(begun).Round(time.Millisecond)))
	if err != nil {
		return err
	}
	go d.load.WatchReadiness(context.WithoutCancel(ctx))
	return await(ctx, "every VM to be ready", d.load.Ready)
}

func (d *demo) answerChecks(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	d.load.Run(bounded, loadPerSecond, "quiet")
	counts := d.load.Counts()
	d.checks.Expect("every check and booking is answered, its own answer", counts.Done == counts.Sent && counts.Sent > 0, counts.String())
	return nil
}

func (d *demo) bookTwice(context.Context) error {
	first, firstVerdict := d.load.Book("http://"+d.vmHTTP[0], "hall-204-monday")
	second, secondVerdict := d.load.Book("http://"+d.vmHTTP[1], "hall-204-monday")
	same := first == second && firstVerdict == verdict.Done && secondVerdict == verdict.Done
	ran, err := d.ran()
	if err != nil {
		return err
	}
	d.checks.Expect("one booking sent twice through two VMs runs once, same answer", same && ran["hall-204-monday"] == 1,
		fmt.Sprintf("ran %d time(s); %v, %v", ran["hall-204-monday"], firstVerdict, secondVerdict))
	return nil
}

var demoJobs = []api.SubmitJob{
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
		d.checks.Expect(fmt.Sprintf("%s submitted twice with one key is one job", job.Workload), again.ID == accepted.ID, string(accepted.ID))
		d.jobs = append(d.jobs, accepted.ID)
	}
	return nil
}

func (d *demo) killAndFreeze(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, 12*time.Second)
	defer cancel()
	go func() {
		time.Sleep(time.Second)
		d.procs.Signal(vmName(2), syscall.SIGKILL)
		time.Sleep(2 * time.Second)
		d.procs.Signal(vmName(1), syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		d.procs.Signal(vmName(1), syscall.SIGCONT)
	}()
	d.load.Run(bounded, loadPerSecond, "faults")
	counts := d.load.Counts()
	d.checks.Expect("no caller gets another's answer under a kill and a freeze", counts.Wrong == 0, counts.String())
	d.checks.Expect("service goes on under a kill and a freeze", counts.Done*10 >= counts.Sent*8, fmt.Sprintf("%d of %d done", counts.Done, counts.Sent))
	return nil
}

func (d *demo) awaitJobs(ctx context.Context) error {
	want := []api.JobState{api.JobDone, api.JobDone, api.JobRunning}
	for i, id := range d.jobs {
		var job api.Job
		err := await(ctx, string(demoJobs[i].Workload), func() bool {
			var err error
			job, err = d.client(0).Job(ctx, id)
			return err == nil && job.State == want[i]
		})
		detail := fmt.Sprintf("%d waiting, %d running, %d done %s", job.Waiting, job.Running, job.Done, job.Reason)
		d.checks.Expect(fmt.Sprintf("%s is %s", demoJobs[i].Workload, want[i]), err == nil, detail)
	}
	return nil
}

func (d *demo) checkTruth(context.Context) error {
	var runs []standin.Run
	for _, address := range d.workers {
		var own []standin.Run
		if err := get("http://"+address+"/history", &own); err != nil {
			return err
		}
		runs = append(runs, own...)
	}
	a, b, found := cluster.Overlap(runs)
	detail := fmt.Sprintf("%d runs", len(runs))
	if found {
		detail = fmt.Sprintf("%+v and %+v", a, b)
	}
	d.checks.Expect("no task ran in two places at once", !found && len(runs) > 0, detail)
	worker, over := cluster.OverCapacity(runs, workerCapacity)
	d.checks.Expect("no worker was given more than it has", !over, string(worker))
	return d.checkBookings()
}

// checkBookings compares the callers' verdicts with the backend servers' account.
func (d *demo) checkBookings() error {
	ran, err := d.ran()
	if err != nil {
		return err
	}
	twice, lied, lost := 0, 0, 0
	verdicts := d.load.Verdicts()
	for booking, v := range verdicts {
		if ran[booking] > 1 {
			twice++
		}
		if v == verdict.NotRun && ran[booking] > 0 {
			lied++
		}
		if v == verdict.Done && ran[booking] == 0 {
			lost++
		}
	}
	total := fmt.Sprintf("of %d bookings", len(verdicts))
	d.checks.Expect("no booking ran twice", twice == 0, fmt.Sprintf("%d %s", twice, total))
	d.checks.Expect("no booking told 'not run' ran", lied == 0, fmt.Sprintf("%d %s", lied, total))
	d.checks.Expect("every booking told 'done' ran", lost == 0, fmt.Sprintf("%d %s", lost, total))
	return nil
}

// ran returns how often each booking ran, by the backend servers' own account.
func (d *demo) ran() (map[string]int, error) {
	ran := map[string]int{}
	for _, address := range d.backends {
		var counts standin.BackendCounts
		if err := get("http://"+address+"/counts", &counts); err != nil {
			return nil, err
		}
		if counts.Peak > slots {
			d.checks.Fail("no backend server has more requests than slots", fmt.Sprintf("%s had %d", counts.ID, counts.Peak))
		}
		for booking, n := range counts.Bookings {
			ran[booking] += n
		}
	}
	return ran, nil
}

const timelineLines = 15

func (d *demo) showTimeline(ctx context.Context) error {
	text, err := d.client(0).Text(ctx, "/v1/timeline?limit=200")
	if err != nil {
		return err
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, line := range lines[max(0, len(lines)-timelineLines):] {
		fmt.Println("   ", line)
	}
	d.checks.Expect("the time line has events of both VMs left", strings.Contains(string(text), vmName(0)) && strings.Contains(string(text), vmName(1)),
		fmt.Sprintf("%d lines", len(lines)))
	var counts standin.Counts
	if err := get(d.storeURL+"/counts", &counts); err != nil {
		return err
	}
	fmt.Printf("    store: %d reads, %d writes, %d watches, %d refused\n", counts.Reads, counts.Writes, counts.Watches, counts.Refused)
	return nil
}

// stopGracefully stops the VMs left one after the other under load.
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
		d.procs.Signal(vmName(i), syscall.SIGTERM)
		code, ended := d.procs.Wait(vmName(i), 20*time.Second)
		d.checks.Expect(vmName(i)+" stops by itself, exit code 0", ended && code == 0, fmt.Sprintf("exit code %d", code))
	}
	cancel()
	<-finished
	counts := d.load.Counts()
	cut := counts.NoAnswer + counts.MayHaveRun + counts.Wrong
	d.checks.Expect("a graceful stop cuts off no request", cut == 0 && counts.Done > 0, counts.String())
	if err := d.checkBookings(); err != nil {
		d.checks.Fail("the backend servers' account after the stop", err.Error())
	}
}

func (d *demo) printCommands() {
	fmt.Println("\neverything stays up until Ctrl-C; try:")
	for _, command := range []string{"sheet status", "branch", "worker list", "job list", "timeline"} {
		fmt.Printf("  FILBERTCROSS_SERVER=http://%s %s %s\n", d.vmHTTP[0], filepath.Join(d.bin, "filbertcross"), command)
	}
	fmt.Printf("  curl -i http://%s/v1/branches/sofia-academy/services/zalibook/availability/hall-1\n", d.vmHTTP[0])
}

const awaitInterval = 50 * time.Millisecond
const awaitTimeout = 40 * time.Second

// await polls until the condition holds.
func await(ctx context.Context, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for !holds() {
		select {
		case <-ctx.Done():
			return errors.Newf("waited in vain for %s", what)
		case <-time.After(awaitInterval):
		}
	}
	return nil
}

var httpClient = &http.Client{Timeout: 5 * time.Second}

func get(url string, into any) error {
	resp, err := httpClient.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s: status %d", url, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

func put(url string, body []byte) error {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
