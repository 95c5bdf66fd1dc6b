package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Figures of runCrashes: one of eight executors is 0.125 of them.
const (
	crashMachines    = 8
	crashSubmissions = 10
	crashTasks       = 4
	crashInterval    = 2 * time.Second
	crashDown        = time.Second
	crashCount       = 36
)

// runCrashes has executors crash one after the other, drawn at random with a fixed seed. Each is back after a second. The
// submissions last, and none of their runs ends failed.
func runCrashes(w *world, trouble bool) error {
	w.putConfiguration(7)
	for range crashMachines {
		if _, err := w.addMachine(32000); err != nil {
			return err
		}
	}
	if err := w.startNodes(3); err != nil {
		return err
	}
	var ids []string
	for i := range crashSubmissions {
		id := fmt.Sprintf("5c0e7a21d94b%04x", i)
		ids = append(ids, id)
		if err := w.submit(id, map[string]any{"spec": "lasts", "steps": []any{map[string]any{
			"count": crashTasks, "cpu": 2500, "mem-mb": 1024, "est-runtime-ms": 400, "long-running": true}}}); err != nil {
			return err
		}
	}
	if !await(15*time.Second, func() bool { return w.atWork() == crashSubmissions*crashTasks }) {
		return errors.New("the tasks are not all at work")
	}
	time.Sleep(contact)
	rng := rand.New(rand.NewPCG(3, 3))
	for range crashCount {
		if m := w.machines[rng.IntN(len(w.machines))]; trouble && m.current() != nil {
			m.crash(crashDown)
		}
		time.Sleep(crashInterval)
		if w.checkStates(ids) > 0 {
			break
		}
	}
	time.Sleep(contact)
	w.checkStates(ids)
	return nil
}

// checkStates asks for the submissions, which nobody cancels, and returns how many are shown as failed or cancelled although
// no run of them has ended failed.
func (w *world) checkStates(ids []string) int {
	wrong := 0
	for i, id := range ids {
		status, text, err := w.request(http.MethodGet, "http://"+w.nodes[i%len(w.nodes)].caller+queuePrefix+id, "", 3*time.Second)
		if err != nil || status != http.StatusOK {
			w.note("client GET %s: %d %v", id, status, err)
			continue
		}
		if !strings.Contains(text, `"failed"`) && !strings.Contains(text, `"cancelled"`) {
			continue
		}
		w.mu.Lock()
		ends := map[string]int{}
		running := 0
		for name, t := range w.tasks {
			if strings.HasPrefix(name, id+".") {
				running += len(t.runs)
				for how, n := range t.ended {
					ends[how] += n
				}
			}
		}
		w.noteLocked("client GET %s: 200 %s", id, text)
		if ends["failed"] == 0 {
			wrong++
			w.breakRuleLocked("LOST: %s, which nobody has cancelled, is shown as %s; of its runs %v have ended, none failed; %d run now", id, text, ends, running)
		}
		w.mu.Unlock()
	}
	return wrong
}
