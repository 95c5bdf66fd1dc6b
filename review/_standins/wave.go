package main

import (
	"errors"
	"syscall"
	"time"
)

// runWave ends the process of the owner shortly after the first machines of a wave were taken down.
func runWave(e *environment) error {
	var machines []string
	for _, x := range e.executors {
		machines = append(machines, x.machine)
	}
	e.requestWave(1, machines, 2, 60*time.Second)
	if !await(20*time.Second, func() bool { return e.takenDown(1) >= 2 }) {
		return errors.New("no upkeep has begun")
	}
	time.Sleep(300 * time.Millisecond) // the answers are stored
	if e.trouble {
		owner := e.owner()
		if owner == nil {
			return errors.New("no process owns the key")
		}
		owner.signal(syscall.SIGKILL)
	}
	if !await(70*time.Second, func() bool { return e.waveStatus(1) == "completed" }) {
		return errors.New("the wave is not completed")
	}
	e.rec.log("wave 1 is shown as completed; %d machines were taken down", e.takenDown(1))
	return nil
}

// takenDown returns the number of machines whose upkeep for the wave has begun.
func (p *platform) takenDown(number int64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, waves := range p.done {
		if waves[number] > 0 {
			n++
		}
	}
	return n
}
