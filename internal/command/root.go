package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"filbertcross/internal/api"
)

// Version is the version of the build, set by the linker.
var Version = "development"

// New returns the root command, which writes its output to out.
func New(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "filbertcross",
		Usage:                 "cluster scheduler for organisations with branches",
		Version:               Version,
		EnableShellCompletion: true,
		Writer:                out,
		Description: "Durations are written like 250ms, 5s or 1h30m; sizes in the unit that the flag names.\n" +
			"Exit codes: 0 done, 1 failed, 2 wrong usage or settings, 3 conflict with another operator,\n" +
			"4 not available now (try again), 5 not found or rejected input.",
		Commands: []*cli.Command{
			serveCommand(),
			nodeCommand(),
			explainCommand(),
			lossesCommand(),
			sheetCommand(),
			branchCommand(),
			jobCommand(),
			workerCommand(),
			eventsCommand(),
			timelineCommand(),
			versionCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // main exits with ExitCode(err)
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			return writeOutput(c, Version, Version)
		},
	}
}

// clientFlags returns the flags of a command that calls a VM, followed by more.
func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name:    "server",
			Usage:   "`URL` of any VM",
			Value:   "http://127.0.0.1:8080",
			Sources: cli.EnvVars("FILBERTCROSS_SERVER"),
		},
		&cli.StringFlag{
			Name:      "output",
			Aliases:   []string{"o"},
			Usage:     "`FORMAT`: text or json",
			Value:     formatText,
			Validator: validateFormat,
			Sources:   cli.EnvVars("FILBERTCROSS_OUTPUT"),
		},
	}, more...)
}

func newClient(c *cli.Command) *api.Client { return api.NewClient(c.String("server")) }
