// Command loadbench measures the request path on loopback: backend servers, entry
// VMs and an open arrival process in one process. Every scenario of one run uses
// the same seed; times are counted from the moment an arrival was due.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"
)

// settings size the run.
type settings struct {
	servers     int
	slots       int
	vms         int
	domains     int
	serviceTime time.Duration // mean; uniform between half and one and a half of it
	linkDelay   time.Duration // one way, of calls between VMs of different failure domains
	warmUp      time.Duration
	measured    time.Duration
	deadline    time.Duration // of every request
	seed        uint64
}

// capacity is the requests a second that the slots can serve.
func (s settings) capacity() float64 {
	return float64(s.servers*s.slots) / s.serviceTime.Seconds()
}

func main() {
	var s settings
	var only string
	flag.IntVar(&s.servers, "servers", 24, "backend servers")
	flag.IntVar(&s.slots, "slots", 8, "slots of each server")
	flag.IntVar(&s.vms, "vms", 6, "entry VMs")
	flag.IntVar(&s.domains, "domains", 3, "failure domains")
	flag.DurationVar(&s.serviceTime, "service", 100*time.Millisecond, "mean service time")
	flag.DurationVar(&s.linkDelay, "link", 5*time.Millisecond, "one-way delay of calls between failure domains")
	flag.DurationVar(&s.warmUp, "warmup", 2*time.Second, "not measured")
	flag.DurationVar(&s.measured, "measure", 4*time.Second, "measured")
	flag.DurationVar(&s.deadline, "deadline", time.Second, "of every request")
	flag.Uint64Var(&s.seed, "seed", 1, "seed of arrivals and service times")
	flag.StringVar(&only, "only", "", "names of scenarios to run, by prefix, separated by commas")
	flag.Parse()
	fmt.Printf("%+v capacity %.0f/s\n%s\n", s, s.capacity(), tableHeader)
	for _, sc := range scenarios() {
		if !matchesAny(sc.name, only) {
			continue
		}
		result, err := sc.run(s)
		if err != nil {
			fmt.Fprintln(os.Stderr, sc.name+":", err)
			os.Exit(1)
		}
		fmt.Println(result.tableRow(sc.name))
	}
}

func matchesAny(name, only string) bool {
	if only == "" {
		return true
	}
	for prefix := range strings.SplitSeq(only, ",") {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}
