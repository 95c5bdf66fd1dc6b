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
		cells := cellsOf(workload, branches[workload.Branch])
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
func cellsOf(w model.Workload, b model.Branch) map[Column]string {
	return map[Column]string{
		ColumnBranch:            string(w.Branch),
		ColumnWorkload:          string(w.ID),
		ColumnKind:              string(w.Kind),
		ColumnShare:             strconv.FormatInt(b.Share, 10),
		ColumnPriority:          tiers[w.Tier],
		ColumnDeadline:          durationText(w.Deadline),
		ColumnTasks:             strconv.Itoa(w.Tasks),
		ColumnCPUs:              amountText(w.Size.MilliCPU, "m"),
		ColumnMemory:            amountText(w.Size.MemoryMiB, "MiB"),
		ColumnAccelerators:      amountText(w.Size.Accelerators, ""),
		ColumnRuntime:           durationText(w.Runtime),
		ColumnService:           w.Service,
		ColumnQuotaCPUs:         amountText(b.Quota.MilliCPU, "m"),
		ColumnQuotaMemory:       amountText(b.Quota.MemoryMiB, "MiB"),
		ColumnQuotaAccelerators: amountText(b.Quota.Accelerators, ""),
	}
}

func amountText(n int64, unit string) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n, unit)
}

// durationText writes whole numbers, as decimals could be read as thousands.
func durationText(d time.Duration) string {
	switch {
	case d == 0:
		return ""
	case d%time.Second == 0:
		return d.String()
	default:
		return fmt.Sprint(d.Milliseconds(), "ms")
	}
}
