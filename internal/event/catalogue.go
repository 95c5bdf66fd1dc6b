package event

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

//go:generate go test . -run TestCatalogueIsCurrent -update

// Catalogue returns all definitions in the order of their numbers.
func Catalogue() []*Definition {
	defs := slices.Clone(definitions)
	slices.SortFunc(defs, func(a, b *Definition) int { return cmp.Compare(a.ID, b.ID) })
	return defs
}

// areaNames holds the name of each range of 1000 event numbers, by number/1000.
var areaNames = map[int]string{
	1: "Server",
	2: "Scheduling",
	3: "Partitions and leases",
	4: "Requests",
	5: "Backend servers",
	6: "Membership and peers",
	7: "Configuration",
	8: "Platform",
	9: "Ledger",
}

const catalogueHeader = `# Events

Generated from the definitions in internal/event by ` + "`go generate ./internal/event`" + `; do not edit.

Each line of the log and of the timeline has the number of one of these events. A number is never reused.
`

// WriteCatalogue writes the catalogue as Markdown, which is the content of docs/EVENTS.md.
func WriteCatalogue(w io.Writer) error {
	var b strings.Builder
	b.WriteString(catalogueHeader)
	area := 0
	for _, d := range Catalogue() {
		if d.ID/1000 != area {
			area = d.ID / 1000
			fmt.Fprintf(&b, "\n## %d: %s\n\n", area*1000, areaNames[area])
			b.WriteString("| Event | Level | What happened | What to do | Attributes |\n|---|---|---|---|---|\n")
		}
		fmt.Fprintf(&b, "| %d %s | %s | %s | %s | %s |\n", d.ID, d.Name, d.Level, d.Summary, d.Action, strings.Join(d.Keys, ", "))
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write catalogue")
}

// String returns the lower-case name of the level, or "unknown".
func (l Level) String() string {
	names := [...]string{"debug", "info", "warn", "error"}
	if l < 0 || int(l) >= len(names) {
		return "unknown"
	}
	return names[l]
}
