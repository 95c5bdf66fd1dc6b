package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"filbertcross/internal/api"
	"filbertcross/internal/model"
)

func jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "submit, show, list and cancel jobs",
		Commands: []*cli.Command{
			{
				Name:      "submit",
				Usage:     "submit a run of a workload",
				ArgsUsage: "BRANCH WORKLOAD",
				Flags: clientFlags(
					&cli.IntFlag{Name: "tasks", Usage: "`COUNT` of tasks; default: the sheet's"},
					&cli.DurationFlag{Name: "deadline", Usage: "`DURATION` from now; default: the sheet's"},
					&cli.StringFlag{Name: "key", Usage: "idempotency `KEY`: a repeated submission returns the first job"},
					&cli.BoolFlag{Name: "run-once", Usage: "never run a task again if it may have run"},
				),
				Action: submitJob,
			},
			{
				Name:      "status",
				Usage:     "show a job, its tasks and why tasks are waiting",
				ArgsUsage: "JOB",
				Flags:     clientFlags(),
				Action:    showJob,
			},
			{
				Name:   "list",
				Usage:  "list jobs",
				Flags:  clientFlags(&cli.StringFlag{Name: "branch", Usage: "list only jobs of this `BRANCH`"}),
				Action: listJobs,
			},
			{
				Name:      "cancel",
				Usage:     "cancel a job; its running tasks are stopped",
				ArgsUsage: "JOB",
				Flags:     clientFlags(),
				Action: func(ctx context.Context, c *cli.Command) error {
					id, err := jobArgument(c)
					if err != nil {
						return err
					}
					return newClient(c).CancelJob(ctx, id)
				},
			},
		},
	}
}

func submitJob(ctx context.Context, c *cli.Command) error {
	if c.NArg() != 2 {
		return usageError("job submit requires BRANCH and WORKLOAD")
	}
	request := api.SubmitJobRequest{
		Branch:   model.BranchID(c.Args().Get(0)),
		Workload: model.WorkloadID(c.Args().Get(1)),
		Tasks:    c.Int("tasks"),
		RunOnce:  c.Bool("run-once"),
	}
	if c.IsSet("deadline") {
		request.Deadline = time.Now().Add(c.Duration("deadline"))
	}
	accepted, err := newClient(c).SubmitJob(ctx, request, c.String("key"))
	if err != nil {
		return err
	}
	return writeOutput(c, accepted, string(accepted.ID))
}

func showJob(ctx context.Context, c *cli.Command) error {
	id, err := jobArgument(c)
	if err != nil {
		return err
	}
	job, err := newClient(c).Job(ctx, id)
	if err != nil {
		return err
	}
	return writeOutput(c, job, formatJob(job))
}

func jobArgument(c *cli.Command) (model.JobID, error) {
	if c.NArg() != 1 {
		return "", usageError("job %s requires exactly one JOB", c.Name)
	}
	return model.JobID(c.Args().First()), nil
}

func formatJob(job api.Job) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s  %s/%s (%s)  %s\n", job.ID, job.Branch, job.Workload, job.Kind, job.State)
	fmt.Fprintf(&text, "tasks: %d waiting, %d running, %d done, %d failed\n", job.Waiting, job.Running, job.Done, job.Failed)
	if !job.Deadline.IsZero() {
		fmt.Fprintf(&text, "deadline: %s\n", job.Deadline.Format(time.RFC3339))
	}
	if job.Waiting > 0 && job.Reason != "" {
		fmt.Fprintf(&text, "wait reason: %s\n", job.Reason)
	}
	for _, f := range job.Filters {
		fmt.Fprintf(&text, "  %s rejects %d workers\n", f.Name, f.Workers)
	}
	if len(job.Tasks) > 0 {
		rows := newTable("TASK", "ATTEMPT", "STATE", "WORKER", "GRANTED")
		for _, task := range job.Tasks {
			rows.addRow(task.ID, task.Attempt, task.State, task.Worker, task.Size)
		}
		text.WriteString(rows.String())
	}
	return text.String()
}

func listJobs(ctx context.Context, c *cli.Command) error {
	jobs, err := newClient(c).Jobs(ctx, model.BranchID(c.String("branch")))
	if err != nil {
		return err
	}
	rows := newTable("JOB", "BRANCH", "WORKLOAD", "KIND", "STATE", "WAITING", "RUNNING", "DONE", "FAILED")
	for _, j := range jobs {
		rows.addRow(j.ID, j.Branch, j.Workload, j.Kind, j.State, j.Waiting, j.Running, j.Done, j.Failed)
	}
	return writeOutput(c, jobs, rows.String())
}
