// Command measure runs real processes and measures the resource usage of the control
// plane on a VM (idle for several numbers of workers, and under several rates of task
// starts), the size of a poll, the recovery time of the other VMs after one is killed,
// and the requests interrupted by a rolling replacement of all VMs.
// docs/CAPACITY.md and docs/PROMISES.md are derived from its tables.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func main() {
	what := flag.String("what", "slopes", "measurement: slopes, bytes, recovery or rolling")
	vms := flag.Int("vms", 3, "number of entry VMs, each in its own failure domain")
	kills := flag.Int("kills", 5, "number of VM kills in the recovery measurement")
	binaries := flag.String("bin", "bin", "directory of the filbertcross and standin binaries")
	sheetFile := flag.String("sheet", "examples/demo.csv", "file of the sheet for the rolling replacement")
	window := flag.Duration("window", 15*time.Second, "duration of each measurement")
	workers := flag.String("workers", "4,32,128", "numbers of workers per VM, one idle measurement for each")
	rates := flag.String("rates", "10,30,90", "task starts per second in the cluster, one measurement for each")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	switch *what {
	case "slopes":
		measureScaling(ctx, *binaries, *vms, parseInts(*workers), parseInts(*rates), *window)
	case "recovery":
		if err := measureRecovery(ctx, *binaries, *vms, *kills); err != nil {
			fmt.Fprintln(os.Stderr, "measure:", err)
			os.Exit(1)
		}
	case "bytes":
		printPollSizes()
	case "rolling":
		if err := measureRollingReplacement(ctx, *binaries, *vms, *sheetFile); err != nil {
			fmt.Fprintln(os.Stderr, "measure:", err)
			os.Exit(1)
		}
	default:
		fmt.Fprintln(os.Stderr, "measure: -what must be slopes, bytes, recovery or rolling")
		os.Exit(2)
	}
}

func parseInts(list string) []int {
	var values []int
	for text := range strings.SplitSeq(list, ",") {
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil {
			fmt.Fprintln(os.Stderr, "slopes:", err)
			os.Exit(2)
		}
		values = append(values, n)
	}
	return values
}
