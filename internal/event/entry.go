package event

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
)

// Entry is one recorded event.
type Entry struct {
	Stamp         Stamp               `json:"stamp,string"`
	VM            model.VMID          `json:"vm"`
	FailureDomain model.FailureDomain `json:"failure_domain"`
	ID            int                 `json:"event"`
	Name          string              `json:"name"`
	Level         Level               `json:"level"`
	Attributes    []Attribute         `json:"attributes,omitempty"`
}

// Attribute is a named value of an Entry, formatted as text.
type Attribute struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// timestampLayout is the layout of a stamp's wall-clock part, in UTC.
const timestampLayout = "2006-01-02T15:04:05.000000Z"

// String formats the entry as one line of the timeline.
func (e Entry) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-5s %s %s %d %s", e.Stamp.Time().Format(timestampLayout), e.Level, e.FailureDomain, e.VM, e.ID, e.Name)
	for _, a := range e.Attributes {
		fmt.Fprintf(&b, " %s=%s", a.Key, quoteIfNeeded(a.Value))
	}
	return b.String()
}

func quoteIfNeeded(value string) string {
	if value == "" || strings.ContainsAny(value, " \t\r\n\"=") {
		return fmt.Sprintf("%q", value)
	}
	return value
}

// Merge returns the entries of several VMs in an order that respects causality:
// by stamp, then by VM. Duplicate entries appear once.
func Merge(rings ...[]Entry) []Entry {
	merged := slices.Concat(rings...)
	slices.SortStableFunc(merged, compareEntries)
	return slices.CompactFunc(merged, func(a, b Entry) bool { return compareEntries(a, b) == 0 })
}

func compareEntries(a, b Entry) int {
	switch {
	case a.Stamp < b.Stamp:
		return -1
	case a.Stamp > b.Stamp:
		return 1
	default:
		return strings.Compare(string(a.VM), string(b.VM))
	}
}

// WriteText writes one line for each entry.
func WriteText(w io.Writer, entries []Entry) error {
	for _, e := range entries {
		if _, err := fmt.Fprintln(w, e); err != nil {
			return errors.Wrap(err, "write timeline")
		}
	}
	return nil
}
