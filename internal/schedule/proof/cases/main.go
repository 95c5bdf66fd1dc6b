// Command cases compares the scheduler with variants of it and with the baselines. It simulates
// each scenario with every Decider, all in one run from one seed, and prints Markdown tables of
// the results and of the scheduler's goals.
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

// deciderVariant is a Decider under comparison. Its name is printed in the tables.
type deciderVariant struct {
	name       string
	newDecider func(*rand.Rand) schedule.Decider
}

// schedulerWith returns a constructor of the scheduler with changed default options.
func schedulerWith(change func(*schedule.Options)) func(*rand.Rand) schedule.Decider {
	return func(rng *rand.Rand) schedule.Decider {
		opts := schedule.DefaultOptions()
		change(&opts)
		return schedule.New(opts, rng)
	}
}

// deciderVariants lists the scheduler first, then the scheduler with one feature disabled, then
// the baselines.
func deciderVariants() []deciderVariant {
	unchanged := schedulerWith(func(*schedule.Options) {})
	return []deciderVariant{
		{"scheduler", unchanged},
		{"no fair share", func(rng *rand.Rand) schedule.Decider { return baseline.NewSingleBranch(unchanged(rng)) }},
		{"no quarantine", schedulerWith(func(o *schedule.Options) { o.MaxQuarantineFraction = 0 })}, // at most one worker is in quarantine
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
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the scenarios and the Deciders", Destination: &seed},
			&cli.IntFlag{Name: "parallel", Value: 3, Usage: "number of simulations to run at the same time", Destination: &parallel},
			&cli.StringFlag{Name: "only", Usage: "run only the cases whose title contains this text", Destination: &titlePart},
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

// runCases runs the scenarios of every cluster and prints the tables in a fixed order.
func runCases(out io.Writer, seed uint64, parallel int, titlePart string) error {
	var allGoals goalTable
	for _, c := range clusterSpecs() {
		var dayResults []*result
		for _, s := range buildScenarios(c, seed) {
			if s.name != caseDay && !strings.Contains(s.title(), titlePart) {
				continue // the ordinary day always runs: the flood scenarios are compared with it
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

// runScenario simulates one scenario with each Decider and returns the results in the order of
// deciderVariants.
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
