package command

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// maxLogLineBytes is the longest line of a log that is read, in bytes.
const maxLogLineBytes = 1 << 20

// logRecord is an event as a process wrote it.
type logRecord struct {
	fields map[string]any
	stamp  float64 // hybrid logical clock: orders the lines of all processes
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the history of a submission from the logs of all VMs on standard input",
		ArgsUsage: "SUBMISSION",
		Action: func(_ context.Context, c *cli.Command) error {
			id := c.Args().First()
			if id == "" || c.Args().Len() != 1 {
				return cli.Exit("explain takes the id of one submission", 2)
			}
			lines, err := readLog(os.Stdin)
			if err != nil {
				return err
			}
			return writeHistory(c.Root().Writer, submissionHistory(lines, id))
		},
	}
}

// readLog takes the JSON objects of a log; a prefix before the object is passed over, and
// so are lines without one.
func readLog(r io.Reader) ([]logRecord, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	var lines []logRecord
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		var raw map[string]any
		if json.Unmarshal([]byte(text[begin:]), &raw) != nil {
			continue
		}
		stamp, _ := raw["stamp"].(float64)
		lines = append(lines, logRecord{fields: raw, stamp: stamp})
	}
	slices.SortStableFunc(lines, func(a, b logRecord) int { return cmp.Compare(a.stamp, b.stamp) })
	return lines, errors.Wrap(scanner.Err(), "read log")
}

// submissionHistory selects the lines of a submission, and those that tell what was believed of a
// worker while one of its runs was there.
func submissionHistory(lines []logRecord, id string) []logRecord {
	var out []logRecord
	running := map[string]int{} // runs of the submission by worker
	for _, l := range lines {
		worker, _ := l.fields["worker"].(string)
		about := l.mentions(id)
		name, _ := l.fields["name"].(string)
		if about || worker != "" && running[worker] > 0 && strings.HasPrefix(name, "worker-") || strings.HasPrefix(name, "owner-") && len(running) > 0 {
			out = append(out, l)
		}
		switch {
		case about && name == "run-placed":
			running[worker]++
		case about && name == "run-ended":
			running[worker]--
		}
	}
	return out
}

// mentions reports whether the line names the submission, one of its steps or one of its tasks.
func (l logRecord) mentions(id string) bool {
	for _, key := range []string{"submission", "task", "step"} {
		if value, _ := l.fields[key].(string); value == id || strings.HasPrefix(value, id+".") {
			return true
		}
	}
	return false
}

// writeHistory prints a line an event, without what all lines have.
func writeHistory(w io.Writer, lines []logRecord) error {
	for _, l := range lines {
		var keys []string
		for key := range l.fields {
			if !slices.Contains([]string{"time", "level", "msg", "event", "name", "vm", "failure_domain", "stamp"}, key) {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		var b strings.Builder
		fmt.Fprintf(&b, "%v  %v  %v", l.fields["time"], l.fields["vm"], l.fields["name"])
		for _, key := range keys {
			fmt.Fprintf(&b, "  %s=%v", key, l.fields[key])
		}
		if _, err := fmt.Fprintln(w, b.String()); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return nil
}
