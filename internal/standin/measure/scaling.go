package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/api"
	"filbertcross/internal/standin"
	"filbertcross/internal/standin/cluster"
)

// workersPerVMUnderLoad applies to the measurements with task starts.
const workersPerVMUnderLoad = 32

// measureScaling prints one table row for each number of workers and each rate.
func measureScaling(ctx context.Context, bin string, vms int, workers, rates []int, window time.Duration) {
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "VMs\tworkers/VM\tstarts/s\tcore %/VM\tMiB/VM\tstore reads/s\twrites/s\tmean write\twrites/start")
	for _, n := range workers {
		printMeasurement(ctx, out, bin, vms, n, 0, window)
	}
	for _, n := range rates {
		printMeasurement(ctx, out, bin, vms, workersPerVMUnderLoad, n, window)
	}
}

func printMeasurement(ctx context.Context, out *tabwriter.Writer, bin string, vms, workers, rate int, window time.Duration) {
	m, err := measureWindow(ctx, bin, vms, workers, rate, window)
	if err != nil {
		fmt.Fprintf(out, "%d\t%d\t%d\tnot measured: %v\n", vms, workers, rate, err)
	} else {
		seconds := window.Seconds()
		fmt.Fprintf(out, "%d\t%d\t%.1f\t%.2f\t%.1f\t%.1f\t%.1f\t%.0f B\t%.3f\n", vms, workers, float64(m.starts)/seconds,
			100*m.cpu/seconds/float64(vms), m.memory/float64(vms)/(1<<20), float64(m.store.Reads)/seconds, float64(m.store.Writes)/seconds,
			ratio(m.store.WriteBytes, m.store.Writes), ratio(m.store.Writes, m.starts))
	}
	out.Flush()
}

func ratio(a, b int64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// measurement holds the resource usage of the VMs and the store in one window.
type measurement struct {
	cpu    float64 // CPU seconds, all VMs
	memory float64 // resident bytes at the end of the window, all VMs
	starts int64   // tasks started
	store  standin.StoreCounts
}

const loadSheet = `branch,workload,kind,share,priority,deadline,tasks,cpus,memory,accelerators,runtime,service
load,availability,interactive,1,urgent,,,,,,,zalibook
load,short,batch,1,normal,,10,0.25,64MiB,,1s,
`

func measureWindow(ctx context.Context, bin string, vms, workers, rate int, window time.Duration) (m measurement, err error) {
	c, err := cluster.Start(ctx, cluster.Options{
		BinDir: bin, VMs: vms, WorkersPerDomain: workers, WorkerFlags: []string{"--default-runtime", "1s"},
	})
	if c != nil {
		defer c.Processes.KillAll()
		defer os.RemoveAll(c.Processes.LogDir)
	}
	if err != nil {
		return m, err
	}
	if err := startVMsWithLoadSheet(ctx, c); err != nil {
		return m, err
	}
	bounded, cancel := context.WithTimeout(ctx, window+warmUpDuration)
	defer cancel()
	var submitting sync.WaitGroup
	if rate > 0 {
		submitting.Go(func() { submitJobs(bounded, c, rate) })
	}
	time.Sleep(warmUpDuration)
	before, err := sampleUsage(c)
	if err != nil {
		return m, err
	}
	time.Sleep(window)
	after, err := sampleUsage(c)
	cancel()
	submitting.Wait()
	m = measurement{cpu: after.cpu - before.cpu, memory: after.memory, starts: after.starts - before.starts, store: standin.StoreCounts{
		Reads:      after.store.Reads - before.store.Reads,
		Writes:     after.store.Writes - before.store.Writes,
		WriteBytes: after.store.WriteBytes - before.store.WriteBytes,
	}}
	return m, err
}

const warmUpDuration = 5 * time.Second

func startVMsWithLoadSheet(ctx context.Context, c *cluster.Cluster) error {
	return startVMs(ctx, c, []byte(loadSheet))
}

// startVMs starts the VMs, applies a sheet and waits until all VMs are ready.
func startVMs(ctx context.Context, c *cluster.Cluster, csv []byte) error {
	for _, vm := range c.VMs {
		if err := c.StartVM(vm); err != nil {
			return err
		}
	}
	err := cluster.WaitFor(ctx, "the sheet to be accepted", func() bool {
		_, err := c.VMs[0].Client().ApplySheet(ctx, 0, csv, "")
		return err == nil
	})
	if err != nil {
		return err
	}
	return cluster.WaitFor(ctx, "the VMs to be ready", func() bool {
		for _, vm := range c.VMs {
			if cluster.GetJSON(vm.URL()+"/readyz", nil) == nil {
				continue
			}
			return false
		}
		return true
	})
}

const tasksPerJob = 10

// submitJobs submits jobs of tasksPerJob tasks through the VMs in turn, so that rate
// tasks are submitted per second.
func submitJobs(ctx context.Context, c *cluster.Cluster, rate int) {
	ticker := time.NewTicker(time.Second * tasksPerJob / time.Duration(rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		client := c.VMs[n%len(c.VMs)].Client()
		go func() { _, _ = client.SubmitJob(ctx, api.SubmitJobRequest{Branch: "load", Workload: "short"}, "") }()
	}
}

// sampleUsage reads the VMs' CPU time and memory, and the stand-ins' counts.
func sampleUsage(c *cluster.Cluster) (m measurement, err error) {
	for _, vm := range c.VMs {
		metrics, err := vm.Client().GetBody(context.Background(), "/metrics")
		if err != nil {
			return m, err
		}
		cpu, cpuErr := metricValue(string(metrics), "process_cpu_seconds_total")
		memory, memoryErr := metricValue(string(metrics), "process_resident_memory_bytes")
		if err := errors.CombineErrors(cpuErr, memoryErr); err != nil {
			return m, err
		}
		m.cpu += cpu
		m.memory += memory
	}
	runs, err := c.TaskRuns()
	if err != nil {
		return m, err
	}
	m.starts = int64(len(runs))
	return m, cluster.GetJSON(c.StoreURL+"/counts", &m.store)
}

// metricValue returns the value of a metric without labels from the Prometheus text format.
func metricValue(metrics, name string) (float64, error) {
	for line := range strings.Lines(metrics) {
		if text, ok := strings.CutPrefix(line, name+" "); ok {
			return strconv.ParseFloat(strings.TrimSpace(text), 64)
		}
	}
	return 0, errors.Newf("metric %s not found", name)
}
