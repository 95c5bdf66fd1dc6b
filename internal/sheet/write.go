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

// Write writes the sheet in its canonical form: all columns, semicolons, units
// given. Parse reads it back to the same sheet.
func Write(w io.Writer, s Sheet) error {
	out := csv.NewWriter(w)
	out.Comma = ';'
	header := make([]string, len(columns))
	for i, c := range columns {
		header[i] = string(c)
	}
	_ = out.Write(header) // the writer keeps the first error for Error
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

// cellsOf gives the canonical text of a row's cells.
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

// durationText writes whole numbers, as decimals could be read as thousands.
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
