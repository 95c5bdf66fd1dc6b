// Command soak runs seeded soaks and exits with status 1 if one of them finds a violation.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"filbertcross/internal/soak"
)

func main() {
	opts := soak.Options{Out: os.Stdout}
	seeds, dir, knownRedFile, regressions := 1, "", "", false
	app := &cli.Command{
		Name:  "soak",
		Usage: "run the real binaries under injected faults and check the platform's rules",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Value: "bin/filbertcross", Usage: "`FILE` of the filbertcross binary", Destination: &opts.Binary},
			&cli.StringFlag{Name: "dir", Usage: "`DIR` for settings and logs; kept if a violation is found", Destination: &dir},
			&cli.StringFlag{Name: "known-red", Usage: "`FILE` whose lines \"soak: SEED RULE\" name violations that are printed and passed over", Destination: &knownRedFile},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first `SEED`", Destination: &opts.Seed},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "`NUMBER` of consecutive seeds to run", Destination: &seeds},
			&cli.BoolFlag{Name: "regressions", Usage: "run the seeds that have found a bug, instead of --seed and --seeds", Destination: &regressions},
			&cli.BoolFlag{Name: "recuts-only", Usage: "inject no faults but worker-recut", Destination: &opts.RecutsOnly},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "`TIME` of load and faults for each seed", Destination: &opts.Duration},
			&cli.IntFlag{Name: "vms", Value: 3, Usage: "`NUMBER` of entry VMs", Destination: &opts.VMs},
			&cli.IntFlag{Name: "workers", Value: 6, Usage: "`NUMBER` of workers", Destination: &opts.Workers},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			list := slices.Sorted(maps.Keys(soak.RegressionSeeds))
			if !regressions {
				list = list[:0]
				for i := range seeds {
					list = append(list, opts.Seed+uint64(i))
				}
			}
			known, err := readKnownRed(knownRedFile)
			if err != nil {
				return err
			}
			return runSeeds(ctx, opts, list, dir, known)
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func runSeeds(ctx context.Context, opts soak.Options, seeds []uint64, dir string, known knownRed) error {
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return errors.Wrap(err, "directory")
		}
	}
	failedSeeds := 0
	for _, seed := range seeds {
		opts.Seed = seed
		opts.Dir = filepath.Join(dir, fmt.Sprint(opts.Seed))
		if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
			return errors.Wrap(err, "directory")
		}
		violations, err := soak.Run(ctx, opts)
		if err != nil {
			return err
		}
		unknown := 0
		for _, v := range violations {
			if known.contains(seed, v) {
				fmt.Println("  known red:", v)
				continue
			}
			unknown++
			fmt.Println(" ", v)
		}
		if unknown > 0 {
			failedSeeds++
			fmt.Printf("seed %d found faults; settings and logs are in %s\n", opts.Seed, opts.Dir)
		} else if err := os.RemoveAll(opts.Dir); err != nil {
			return errors.Wrap(err, "directory")
		}
	}
	fmt.Printf("%d seeds, %d with faults\n", len(seeds), failedSeeds)
	if failedSeeds > 0 {
		return errors.Newf("%d of %d seeds found faults", failedSeeds, len(seeds))
	}
	return nil
}
