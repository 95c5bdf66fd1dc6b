// Command trial plays one case of the review against processes of filbertcross and stand-ins on loopback. It
// exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// scenarios are the cases, by name. Each returns what broke the rule; empty: it held.
var scenarios = map[string]func(rec *record, trouble bool) (string, error){
	"outage":  outage,
	"late":    late,
	"probe":   probe,
	"isolate": isolate,
	"ack":     ack,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial SCENARIO RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupts
		killProcesses()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("scenario %s, trouble %v", os.Args[1], trouble)
	broken, err := scenarios[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		rec.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	rec.add("the rule held")
	fmt.Println("held")
	return 0
}
