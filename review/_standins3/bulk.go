package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Figures of runBulk. All tasks of the bulk use 0.39 of the executors' cores and 0.1 of their memory.
const (
	bulkMachines = 8
	bulkTasks    = 100_000
	bulkRun      = 3000 // ms
	bulkID       = "5c0e7a21d94cbeef"
	bulkWatch    = 40 * time.Second
)

// runBulk has a client hand in a submission with very many small tasks beside one that lasts, with may-miss 1, and looks for
// lasting tasks whose leases lapse.
func runBulk(w *world, trouble bool) error {
	const id, tasks = "5c0e7a21d94b36f8", 16
	w.putConfiguration(7)
	for range bulkMachines {
		if _, err := w.addMachine(32000); err != nil {
			return err
		}
	}
	if err := w.startNodes(3); err != nil {
		return err
	}
	mayMiss[id] = 1
	if err := w.submit(id, map[string]any{"spec": "lasts", "steps": []any{map[string]any{
		"count": tasks, "cpu": 2000, "mem-mb": 64, "est-runtime-ms": 400, "long-running": true, "may-miss": 1}}}); err != nil {
		return err
	}
	if !await(15*time.Second, func() bool { return w.atWork() == tasks }) {
		return errors.New("the lasting tasks are not all at work")
	}
	time.Sleep(contact)
	count := bulkTasks
	if n, err := strconv.Atoi(os.Getenv("BULK")); err == nil {
		count = n
	}
	if !trouble {
		count = 4
	}
	if err := w.submit(bulkID, tasksOf(count, 1, 1, bulkRun)); err != nil {
		return err
	}
	await(bulkWatch, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.broken) > 0
	})
	w.noteSummary(id)
	return nil
}

func tasksOf(count, cpu, memMB, ms int) map[string]any {
	return map[string]any{"spec": fmt.Sprintf("ms=%d", ms), "steps": []any{map[string]any{
		"count": count, "cpu": cpu, "mem-mb": memMB, "est-runtime-ms": ms}}}
}

// noteSummary records what has run, and the memory and processor time of the nodes.
func (w *world) noteSummary(id string) {
	w.mu.Lock()
	lost, bulk := map[string]int{}, map[string]int{}
	running := 0
	for name, t := range w.tasks {
		ends := lost
		if strings.HasPrefix(name, bulkID) {
			ends = bulk
			running += len(t.runs)
		}
		for how, n := range t.ended {
			ends[how] += n
		}
	}
	w.noteLocked("ends of the lasting tasks: %v; of the bulk: %v, %d run now", lost, bulk, running)
	w.mu.Unlock()
	for _, n := range w.nodes {
		w.note("%s: resident memory %s, processor time %s", n.name, n.statusLine("VmRSS:"), n.processorTime())
	}
	w.call(w.nodes[0], "GET", id, "")
}

// statusLine returns a line of the process's status.
func (n *node) statusLine(prefix string) string {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, prefix); ok {
			return strings.TrimSpace(value)
		}
	}
	return "unknown"
}

// processorTime returns the process's user and system time.
func (n *node) processorTime() string {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
	fields := strings.Fields(string(data))
	if len(fields) < 15 {
		return "unknown"
	}
	user, _ := strconv.Atoi(fields[13])
	system, _ := strconv.Atoi(fields[14])
	return fmt.Sprintf("%.1f s", float64(user+system)/100)
}

// isBulk reports whether a task is one of very many, which are recorded as counts.
func isBulk(task string) bool { return strings.HasPrefix(task, bulkID) }
