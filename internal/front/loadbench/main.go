// Command loadbench measures the request path on loopback. It runs backend servers,
// entry VMs and an open-loop load generator in one process. All scenarios of a run
// use the same seed. Response times start when a request was due to be sent.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"
)

// settings are the parameters of a run. The field names are printed with its results.
type settings struct {
	servers     int
	slots       int
	vms         int
	domains     int
	serviceTime time.Duration // mean; uniform between 0.5 and 1.5 times the mean
	linkDelay   time.Duration // one way, for calls between VMs of different failure domains
	warmUp      time.Duration
	measured    time.Duration
	deadline    time.Duration // of every request
	seed        uint64
}

// capacity returns the requests per second that all slots together can serve.
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

// matchesAny reports whether name starts with one of the prefixes, which are separated
// by commas. An empty list matches all names.
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
