package command

import (
	"context"
	"fmt"
	"net/url"

	"github.com/urfave/cli/v3"
)

func branchCommand() *cli.Command {
	return &cli.Command{
		Name:  "branch",
		Usage: "show the branches, shares and workloads of the active configuration",
		Flags: clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			branches, err := newClient(c).Branches(ctx)
			if err != nil {
				return err
			}
			rows := newTable("BRANCH", "SHARE", "WORKLOAD", "KIND", "TIER", "DEADLINE", "TASKS", "SIZE")
			for _, b := range branches {
				for _, w := range b.Workloads {
					rows.addRow(b.ID, b.Share, w.ID, w.Kind, int(w.Tier), w.Deadline, w.Tasks, w.Size)
				}
			}
			return writeOutput(c, branches, rows.String())
		},
	}
}

func workerCommand() *cli.Command {
	return &cli.Command{
		Name:  "worker",
		Usage: "show workers",
		Commands: []*cli.Command{{
			Name:  "list",
			Usage: "list the workers with their granted resources",
			Flags: clientFlags(),
			Action: func(ctx context.Context, c *cli.Command) error {
				workers, err := newClient(c).Workers(ctx)
				if err != nil {
					return err
				}
				rows := newTable("WORKER", "DOMAIN", "RACK", "STATE", "TASKS", "GRANTED", "CAPACITY")
				for _, w := range workers {
					rows.addRow(w.ID, w.FailureDomain, w.Rack, w.State, w.Tasks, w.Granted, w.Capacity)
				}
				return writeOutput(c, workers, rows.String())
			},
		}},
	}
}

func eventsCommand() *cli.Command {
	return &cli.Command{
		Name:  "events",
		Usage: "print the recent events of one VM",
		Flags: clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return printEventsFrom(ctx, c, "/v1/events")
		},
	}
}

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "print the recent events of all VMs ordered by stamp",
		Flags: clientFlags(&cli.IntFlag{Name: "limit", Value: 1000, Usage: "maximum `COUNT` of the latest events of each VM"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			return printEventsFrom(ctx, c, fmt.Sprintf("/v1/timeline?limit=%d", c.Int("limit")))
		},
	}
}

// printEventsFrom prints the response of a VM for path in the format of --output.
func printEventsFrom(ctx context.Context, c *cli.Command, path string) error {
	target, err := url.Parse(path)
	if err != nil {
		return err
	}
	query := target.Query()
	query.Set("format", c.String("output"))
	target.RawQuery = query.Encode()
	body, err := newClient(c).GetBody(ctx, target.String())
	if err != nil {
		return err
	}
	_, err = c.Root().Writer.Write(body)
	return err
}
