// Command cases plays the comparison cases of the placement decision against the scheduler
// and the baselines, all in one run from one seed, and prints a table for each case.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"filbertcross/internal/schedule"
	"filbertcross/internal/schedule/baseline"
)

// contender is a named way to build a Decider.
type contender struct {
	name  string
	build func(*rand.Rand) schedule.Decider
}

// scheduler builds the real one with an option changed.
func scheduler(change func(*schedule.Options)) func(*rand.Rand) schedule.Decider {
	return func(rng *rand.Rand) schedule.Decider {
		opts := schedule.DefaultOptions()
		change(&opts)
		return schedule.New(opts, rng)
	}
}

// contenders lists the scheduler first, then it with a feature off, then the baselines.
func contenders() []contender {
	asItIs := scheduler(func(*schedule.Options) {})
	return []contender{
		{"scheduler", asItIs},
		{"no fair share", func(rng *rand.Rand) schedule.Decider { return baseline.NewSingleBranch(asItIs(rng)) }},
		{"no quarantine", scheduler(func(o *schedule.Options) { o.MaxQuarantineFraction = 0 })}, // one worker is out at most
		{"no correction", scheduler(func(o *schedule.Options) { o.LearnFromUsage = false })},
		{"waits for the loss", func(rng *rand.Rand) schedule.Decider { return baseline.WithoutDrain{Decider: asItIs(rng)} }},
		{"first fit", func(*rand.Rand) schedule.Decider { return baseline.NewFirstFit() }},
		{"random fit", func(rng *rand.Rand) schedule.Decider { return baseline.NewRandomFit(rng) }},
	}
}

func main() {
	var seed uint64
	var parallel int
	var only string
	cmd := &cli.Command{
		Name:  "cases",
		Usage: "compare the scheduler with its baselines",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the scenarios and the Deciders", Destination: &seed},
			&cli.IntFlag{Name: "parallel", Value: 3, Usage: "runs at the same time", Destination: &parallel},
			&cli.StringFlag{Name: "only", Usage: "play the cases whose title has this part", Destination: &only},
		},
		Action: func(context.Context, *cli.Command) error {
			return compare(os.Stdout, seed, parallel, only)
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// compare plays the cases of every cell and prints the tables in a fixed order.
func compare(out io.Writer, seed uint64, parallel int, only string) error {
	var verdicts goals
	for _, c := range cells() {
		var day []*result
		for _, s := range allCases(c, seed) {
			if s.name != caseDay && !strings.Contains(s.title(), only) {
				continue // the day is what the flood is compared with
			}
			results, err := playAll(s, seed, parallel)
			if err != nil {
				return err
			}
			if s.name == caseDay {
				day = results
			}
			writeCase(out, s, results, day)
			verdicts.judge(s, results, day)
		}
	}
	verdicts.write(out)
	return nil
}

// playAll plays one scenario against each contender.
func playAll(s *scenario, seed uint64, parallel int) ([]*result, error) {
	all := contenders()
	results := make([]*result, len(all))
	var group errgroup.Group
	group.SetLimit(parallel)
	for i, c := range all {
		group.Go(func() error {
			results[i] = newResult(c.name)
			newCluster(s, c.build(rand.New(rand.NewPCG(seed, 2))), results[i]).play()
			return nil
		})
	}
	return results, group.Wait()
}
