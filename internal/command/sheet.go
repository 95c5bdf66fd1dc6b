package command

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"filbertcross/internal/api"
	"filbertcross/internal/sheet"
)

func sheetCommand() *cli.Command {
	return &cli.Command{
		Name:  "sheet",
		Usage: "check, compare and apply the operators' sheet (CSV), and show its status",
		Commands: []*cli.Command{
			{
				Name:      "check",
				Usage:     "check a sheet and list all problems, without a VM",
				ArgsUsage: "FILE",
				Flags:     clientFlags(charsetFlag()),
				Action:    checkSheet,
			},
			{
				Name:      "diff",
				Usage:     "show what a sheet would change",
				ArgsUsage: "FILE",
				Flags:     clientFlags(charsetFlag()),
				Action: func(ctx context.Context, c *cli.Command) error {
					csv, err := readSheet(c)
					if err != nil {
						return err
					}
					diff, err := newClient(c).DiffSheet(ctx, csv, charsetOf(c))
					if err != nil {
						return withRowDetails(err)
					}
					return writeOutput(c, diff, formatResult(fmt.Sprintf("changes against revision %d:", diff.Revision), diff))
				},
			},
			{
				Name:      "apply",
				Usage:     "apply a sheet as the new active configuration",
				ArgsUsage: "FILE",
				Flags: clientFlags(charsetFlag(), &cli.Int64Flag{
					Name:     "base",
					Usage:    "`REVISION` that the sheet is based on (0: none); a conflict if another one is active",
					Required: true,
				}),
				Action: func(ctx context.Context, c *cli.Command) error {
					csv, err := readSheet(c)
					if err != nil {
						return err
					}
					accepted, err := newClient(c).ApplySheet(ctx, c.Int64("base"), csv, charsetOf(c))
					if err != nil {
						return withRowDetails(err)
					}
					return writeOutput(c, accepted, formatResult(fmt.Sprintf("accepted as revision %d:", accepted.Revision), accepted))
				},
			},
			{
				Name:   "status",
				Usage:  "show the active revision of every VM",
				Flags:  clientFlags(),
				Action: showSheetStatus,
			},
		},
	}
}

func charsetFlag() cli.Flag {
	return &cli.StringFlag{Name: "charset", Usage: "`ENCODING` of the file: windows-1251 or windows-1252; default: UTF-8, or UTF-16 with a byte order mark"}
}

func charsetOf(c *cli.Command) sheet.Charset { return sheet.Charset(c.String("charset")) }

func checkSheet(_ context.Context, c *cli.Command) error {
	csv, err := readSheet(c)
	if err != nil {
		return err
	}
	parsed, report := sheet.Parse(csv, charsetOf(c))
	if err := report.Err(); err != nil {
		return errors.Mark(err, errRejected)
	}
	lines := []string{fmt.Sprintf("%d branches, %d workloads, no problems", len(parsed.Branches), len(parsed.Workloads))}
	for _, notice := range report.Notices {
		lines = append(lines, "notice: "+notice.String())
	}
	return writeOutput(c, report, strings.Join(lines, "\n"))
}

func readSheet(c *cli.Command) ([]byte, error) {
	if c.NArg() != 1 {
		return nil, usageError("sheet %s requires exactly one FILE", c.Name)
	}
	csv, err := os.ReadFile(c.Args().First())
	if err != nil {
		return nil, errors.Mark(err, errInvalidUsage)
	}
	return csv, nil
}

func formatResult(title string, result api.SheetResult) string {
	lines := append([]string{title}, result.Changes...)
	if len(result.Changes) == 0 {
		lines = append(lines, "no changes")
	}
	for _, notice := range result.Notices {
		lines = append(lines, "notice: "+notice)
	}
	return strings.Join(lines, "\n  ")
}

// withRowDetails adds the invalid rows and the conflicts of a rejected sheet to the error.
func withRowDetails(err error) error {
	var statusErr *api.StatusError
	if !errors.As(err, &statusErr) {
		return err
	}
	var lines []string
	for _, problem := range statusErr.Problem.Rows {
		lines = append(lines, problem.String())
	}
	lines = append(lines, statusErr.Problem.Conflicts...)
	if len(lines) == 0 {
		return err
	}
	return errors.Wrap(err, "\n  "+strings.Join(lines, "\n  ")+"\n")
}

func showSheetStatus(ctx context.Context, c *cli.Command) error {
	statuses, err := newClient(c).SheetStatus(ctx)
	if err != nil {
		return err
	}
	rows := newTable("VM", "REVISION", "SINCE", "PROBLEM")
	for _, s := range statuses {
		rows.addRow(s.VM, s.Revision, s.Since.Format("15:04:05.000"), s.Problem)
	}
	return writeOutput(c, statuses, rows.String())
}
