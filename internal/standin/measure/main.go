// Command measure measures real processes: what control costs a VM at several sizes
// (at rest by the number of workers, under task starts by their rate), and how long
// the others take to go on after a VM was killed. docs/CAPACITY.md and
// docs/PROMISES.md are worked out from its tables.
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
	what := flag.String("what", "slopes", "slopes, bytes, recovery or rolling")
	vms := flag.Int("vms", 3, "entry VMs, one failure domain each")
	kills := flag.Int("kills", 5, "VMs killed by the recovery measurement, one after the other")
	binaries := flag.String("bin", "bin", "directory of the filbertcross and standin binaries")
	sheetFile := flag.String("sheet", "examples/demo.csv", "sheet of the rolling replacement")
	window := flag.Duration("window", 15*time.Second, "of each measurement")
	workers := flag.String("workers", "4,32,128", "workers of each VM, one measurement at rest each")
	rates := flag.String("rates", "10,30,90", "task starts a second of the cluster, one measurement each")
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
		fmt.Fprintln(os.Stderr, "measure: -what is slopes, bytes, recovery or rolling")
		os.Exit(2)
	}
}

func parseInts(list string) []int {
	var found []int
	for text := range strings.SplitSeq(list, ",") {
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil {
			fmt.Fprintln(os.Stderr, "slopes:", err)
			os.Exit(2)
		}
		found = append(found, n)
	}
	return found
}
