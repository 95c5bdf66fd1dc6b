package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(w *world, trouble bool) error{
	"bulk": runBulk,
	"wave": runWave,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE RECORD")
		os.Exit(notRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		os.Exit(notRun)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		fmt.Println("not run: stopped by a signal")
		w.close()
		os.Exit(notRun)
	}()
	err = cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	w.mu.Lock()
	rules := w.broken
	w.mu.Unlock()
	code := held
	switch {
	case err != nil:
		w.note("NOT RUN: %v", err)
		fmt.Println("not run:", err)
		code = notRun
	case len(rules) > 0:
		fmt.Println(rules[0])
		code = broken
	default:
		w.note("HELD")
		fmt.Println("held")
	}
	w.close()
	os.Exit(code)
}

// startNodes starts nodes against the store and waits until they are ready.
func (w *world) startNodes(n int) error {
	address, err := w.serve(w.store)
	if err != nil {
		return err
	}
	for range n {
		added, err := w.addNode(address)
		if err != nil {
			return err
		}
		if err := added.start(); err != nil {
			return err
		}
	}
	return w.awaitReady(readyTime)
}
