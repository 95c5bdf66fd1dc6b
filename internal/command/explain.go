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

// maxLogLineBytes is the maximum length of a line. A longer line makes readLog fail.
const maxLogLineBytes = 1 << 20

// logRecord is an event that a process logged, with its JSON fields.
type logRecord struct {
	fields map[string]any
	stamp  float64 // hybrid logical clock: orders the records of all processes
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "read the logs of all VMs from standard input and print the history of a submission",
		ArgsUsage: "SUBMISSION",
		Action: func(_ context.Context, c *cli.Command) error {
			id := c.Args().First()
			if id == "" || c.Args().Len() != 1 {
				return usageError("explain requires exactly one submission ID")
			}
			records, err := readLog(os.Stdin)
			if err != nil {
				return err
			}
			return writeHistory(c.Root().Writer, submissionHistory(records, id))
		},
	}
}

// readLog returns the JSON objects of a log, sorted by stamp. It ignores text before the
// object on a line, and lines without an object.
func readLog(r io.Reader) ([]logRecord, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	var records []logRecord
	for scanner.Scan() {
		line := scanner.Text()
		start := strings.IndexByte(line, '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(line[start:]), &fields) != nil {
			continue
		}
		stamp, _ := fields["stamp"].(float64)
		records = append(records, logRecord{fields: fields, stamp: stamp})
	}
	slices.SortStableFunc(records, func(a, b logRecord) int { return cmp.Compare(a.stamp, b.stamp) })
	return records, errors.Wrap(scanner.Err(), "read the log from standard input")
}

// submissionHistory selects the records of a submission, the worker events of workers while
// they have a run of it, and the owner events after its first run was placed. The worker
// events show which state the VMs assumed the worker to be in. records are sorted by stamp.
func submissionHistory(records []logRecord, id string) []logRecord {
	var selected []logRecord
	runs := map[string]int{} // number of the submission's unfinished runs by worker
	for _, r := range records {
		worker, _ := r.fields["worker"].(string)
		mentioned := r.mentions(id)
		name, _ := r.fields["name"].(string)
		if mentioned || worker != "" && runs[worker] > 0 && strings.HasPrefix(name, "worker-") || strings.HasPrefix(name, "owner-") && len(runs) > 0 {
			selected = append(selected, r)
		}
		switch {
		case mentioned && name == "run-placed":
			runs[worker]++
		case mentioned && name == "run-ended":
			runs[worker]--
		}
	}
	return selected
}

// mentions reports whether the record names the submission, one of its steps or one of its
// tasks.
func (r logRecord) mentions(id string) bool {
	for _, key := range []string{"submission", "task", "step"} {
		if value, _ := r.fields[key].(string); value == id || strings.HasPrefix(value, id+".") {
			return true
		}
	}
	return false
}

// writeHistory prints one line for each event. It omits the fields that every event has,
// except the time, the VM and the name.
func writeHistory(w io.Writer, records []logRecord) error {
	for _, r := range records {
		var keys []string
		for key := range r.fields {
			if !slices.Contains([]string{"time", "level", "msg", "event", "name", "vm", "failure_domain", "stamp"}, key) {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		var b strings.Builder
		fmt.Fprintf(&b, "%v  %v  %v", r.fields["time"], r.fields["vm"], r.fields["name"])
		for _, key := range keys {
			fmt.Fprintf(&b, "  %s=%v", key, r.fields[key])
		}
		if _, err := fmt.Fprintln(w, b.String()); err != nil {
			return errors.Wrap(err, "write the history")
		}
	}
	return nil
}
