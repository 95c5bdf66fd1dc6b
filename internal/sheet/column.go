package sheet

import "strings"

// Column names a column of the sheet.
type Column string

// The columns. Header names are matched without regard to case, with spaces and
// hyphens read as underscores.
const (
	ColumnBranch            Column = "branch"
	ColumnWorkload          Column = "workload"
	ColumnKind              Column = "kind"         // interactive, service, batch, gang
	ColumnShare             Column = "share"        // weight of the branch, the same in all its rows
	ColumnPriority          Column = "priority"     // urgent, high, normal, low; empty: normal
	ColumnDeadline          Column = "deadline"     // duration from submission; empty: none
	ColumnTasks             Column = "tasks"        // empty: 1
	ColumnCPUs              Column = "cpus"         // of one task, in cores, or thousandths as in 250m
	ColumnMemory            Column = "memory"       // of one task, in GiB unless a unit is given
	ColumnAccelerators      Column = "accelerators" // of one task
	ColumnRuntime           Column = "runtime"      // declared duration; empty: unknown
	ColumnService           Column = "service"      // of backend servers, for interactive workloads
	ColumnQuotaCPUs         Column = "quota_cpus"   // upper bounds of the branch, the same in all its rows; empty: none
	ColumnQuotaMemory       Column = "quota_memory"
	ColumnQuotaAccelerators Column = "quota_accelerators"
)

// columns lists all columns in the canonical order.
var columns = []Column{
	ColumnBranch, ColumnWorkload, ColumnKind, ColumnShare, ColumnPriority, ColumnDeadline, ColumnTasks,
	ColumnCPUs, ColumnMemory, ColumnAccelerators, ColumnRuntime, ColumnService,
	ColumnQuotaCPUs, ColumnQuotaMemory, ColumnQuotaAccelerators,
}

// required lists the columns that every sheet has.
var requiredColumns = []Column{ColumnBranch, ColumnWorkload, ColumnKind, ColumnShare}

// columnOf finds the column that a header cell names.
func findColumn(cell string) (Column, bool) {
	name := strings.ToLower(normalizeText(cell))
	name = strings.NewReplacer(" ", "_", "-", "_").Replace(name)
	for _, c := range columns {
		if string(c) == name {
			return c, true
		}
	}
	return "", false
}
