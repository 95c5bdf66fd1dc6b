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
type deciderVariant struct {
	name       string
	newDecider func(*rand.Rand) schedule.Decider
}

// scheduler builds the real one with an option changed.
func schedulerWith(change func(*schedule.Options)) func(*rand.Rand) schedule.Decider {
	return func(rng *rand.Rand) schedule.Decider {
		opts := schedule.DefaultOptions()
		change(&opts)
		return schedule.New(opts, rng)
	}
}

// contenders lists the scheduler first, then it with a feature off, then the baselines.
func deciderVariants() []deciderVariant {
	unchanged := schedulerWith(func(*schedule.Options) {})
	return []deciderVariant{
		{"scheduler", unchanged},
		{"no fair share", func(rng *rand.Rand) schedule.Decider { return baseline.NewSingleBranch(unchanged(rng)) }},
		{"no quarantine", schedulerWith(func(o *schedule.Options) { o.MaxQuarantineFraction = 0 })}, // one worker is out at most
		{"no correction", schedulerWith(func(o *schedule.Options) { o.LearnFromUsage = false })},
		{"waits for the loss", func(rng *rand.Rand) schedule.Decider { return baseline.WithoutDrain{Decider: unchanged(rng)} }},
		{"first fit", func(*rand.Rand) schedule.Decider { return baseline.NewFirstFit() }},
		{"random fit", func(rng *rand.Rand) schedule.Decider { return baseline.NewRandomFit(rng) }},
	}
}

func main() {
	var seed uint64
	var parallel int
	var titlePart string
	cmd := &cli.Command{
		Name:  "cases",
		Usage: "compare the scheduler with its baselines",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the scenarios and the Deciders", Destination: &seed},
			&cli.IntFlag{Name: "parallel", Value: 3, Usage: "runs at the same time", Destination: &parallel},
			&cli.StringFlag{Name: "only", Usage: "play the cases whose title has this part", Destination: &titlePart},
		},
		Action: func(context.Context, *cli.Command) error {
			return runCases(os.Stdout, seed, parallel, titlePart)
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// compare plays the cases of every cell and prints the tables in a fixed order.
func runCases(out io.Writer, seed uint64, parallel int, titlePart string) error {
	var allGoals goalTable
	for _, c := range clusterSpecs() {
		var dayResults []*result
		for _, s := range buildScenarios(c, seed) {
			if s.name != caseDay && !strings.Contains(s.title(), titlePart) {
				continue // the day is what the flood is compared with
			}
			results, err := runScenario(s, seed, parallel)
			if err != nil {
				return err
			}
			if s.name == caseDay {
				dayResults = results
			}
			writeCase(out, s, results, dayResults)
			allGoals.addScenario(s, results, dayResults)
		}
	}
	allGoals.write(out)
	return nil
}

// playAll plays one scenario against each contender.
func runScenario(s *scenario, seed uint64, parallel int) ([]*result, error) {
	variants := deciderVariants()
	results := make([]*result, len(variants))
	var group errgroup.Group
	group.SetLimit(parallel)
	for i, v := range variants {
		group.Go(func() error {
			results[i] = newResult(v.name)
			newSimulation(s, v.newDecider(rand.New(rand.NewPCG(seed, 2))), results[i]).run()
			return nil
		})
	}
	return results, group.Wait()
}
