package main

import (
	"errors"
	"fmt"
	"time"
)

const readyTime = 15 * time.Second

// runWave has an executor crash during a wave of upkeep, and another life begin on its machine before the wave reaches
// it. Three tasks of a step that lasts fill each machine of the wave; one machine more is spare. The step's may-miss is one.
func runWave(w *world, trouble bool) error {
	const machines, tasks, id = 6, 18, "5c0e7a21d94b36f8"
	w.putConfiguration(7)
	var names []string
	for range machines {
		m, err := w.addMachine(32000)
		if err != nil {
			return err
		}
		names = append(names, m.name)
	}
	if err := w.startNodes(3); err != nil {
		return err
	}
	mayMiss[id] = 1
	if err := w.submit(id, map[string]any{"spec": "lasts", "steps": []any{map[string]any{
		"count": tasks, "cpu": 10000, "mem-mb": 1024, "est-runtime-ms": 400, "long-running": true, "may-miss": 1}}}); err != nil {
		return err
	}
	if !await(15*time.Second, func() bool { return w.atWork() == tasks }) {
		return errors.New("the tasks are not all at work")
	}
	if _, err := w.addMachine(32000); err != nil { // the spare one
		return err
	}
	time.Sleep(contact)
	w.requestWave(1, names, 1, 60*time.Second)
	if !await(30*time.Second, func() bool { return w.maintained(1) > 0 }) {
		return errors.New("no upkeep begins")
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		w.machines[1].crash(time.Second) // the next one of the wave
	}
	await(60*time.Second, func() bool {
		status, _ := w.store.Get("status/wave/1")
		return string(status) == `{"state":"completed"}`
	})
	status, _ := w.store.Get("status/wave/1")
	w.note("status/wave/1 is %s", status)
	if string(status) == "" {
		return fmt.Errorf("the wave was not taken up")
	}
	return nil
}

// atWork returns the number of tasks at work.
func (w *world) atWork() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, t := range w.tasks {
		if t.atWork {
			n++
		}
	}
	return n
}

// maintained returns the number of machines of a wave whose upkeep has begun.
func (w *world) maintained(number int64) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waves[number].done)
}
