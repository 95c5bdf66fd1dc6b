package sheet

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/model"
)

// Write writes the sheet in canonical form: all columns, separated by semicolons,
// and quantities with units. Parsing the output returns the same sheet.
func Write(w io.Writer, s Sheet) error {
	out := csv.NewWriter(w)
	out.Comma = ';'
	header := make([]string, len(columns))
	for i, c := range columns {
		header[i] = string(c)
	}
	_ = out.Write(header) // out.Error returns the first error
	branches := map[model.BranchID]model.Branch{}
	for _, b := range s.Branches {
		branches[b.ID] = b
	}
	for _, workload := range s.Workloads {
		cells := formatCells(workload, branches[workload.Branch])
		record := make([]string, len(columns))
		for i, c := range columns {
			record[i] = cells[c]
		}
		_ = out.Write(record)
	}
	out.Flush()
	return errors.Wrap(out.Error(), "write sheet")
}

// formatCells returns the canonical text of each cell of a row.
func formatCells(w model.Workload, b model.Branch) map[Column]string {
	return map[Column]string{
		ColumnBranch:            string(w.Branch),
		ColumnWorkload:          string(w.ID),
		ColumnKind:              string(w.Kind),
		ColumnShare:             strconv.FormatInt(b.Share, 10),
		ColumnPriority:          tierNames[w.Tier],
		ColumnDeadline:          formatDuration(w.Deadline),
		ColumnTasks:             strconv.Itoa(w.Tasks),
		ColumnCPUs:              formatAmount(w.Size.MilliCPU, "m"),
		ColumnMemory:            formatAmount(w.Size.MemoryMiB, "MiB"),
		ColumnAccelerators:      formatAmount(w.Size.Accelerators, ""),
		ColumnRuntime:           formatDuration(w.Runtime),
		ColumnService:           w.Service,
		ColumnQuotaCPUs:         formatAmount(b.Quota.MilliCPU, "m"),
		ColumnQuotaMemory:       formatAmount(b.Quota.MemoryMiB, "MiB"),
		ColumnQuotaAccelerators: formatAmount(b.Quota.Accelerators, ""),
	}
}

func formatAmount(n int64, unit string) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n, unit)
}

// formatDuration writes whole numbers only, because a decimal separator could be read
// as a thousands separator.
func formatDuration(d time.Duration) string {
	switch {
	case d == 0:
		return ""
	case d%time.Second == 0:
		return d.String()
	default:
		return fmt.Sprint(d.Milliseconds(), "ms")
	}
}
