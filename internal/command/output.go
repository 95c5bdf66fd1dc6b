package command

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

const (
	formatText = "text"
	formatJSON = "json"
)

func validateFormat(format string) error {
	if format != formatText && format != formatJSON {
		return errors.Newf("invalid output format %q: must be text or json", format)
	}
	return nil
}

// writeOutput prints value as JSON, or prints text, depending on --output.
func writeOutput(c *cli.Command, value any, text string) error {
	out := c.Root().Writer
	if c.String("output") == formatJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	_, err := fmt.Fprintln(out, strings.TrimRight(text, "\n"))
	return err
}

// table formats rows as aligned columns under a header.
type table struct {
	text   strings.Builder
	writer *tabwriter.Writer
}

func newTable(header ...string) *table {
	t := &table{}
	t.writer = tabwriter.NewWriter(&t.text, 0, 4, 2, ' ', 0)
	t.addRow(anySlice(header)...)
	return t
}

func (t *table) addRow(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(t.writer, "\t")
		}
		fmt.Fprint(t.writer, cell)
	}
	fmt.Fprintln(t.writer)
}

func (t *table) String() string {
	t.writer.Flush()
	return t.text.String()
}

func anySlice(texts []string) []any {
	values := make([]any, len(texts))
	for i, text := range texts {
		values[i] = text
	}
	return values
}
