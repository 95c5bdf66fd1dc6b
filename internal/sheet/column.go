package sheet

import "strings"

// Column is the name of a column of the sheet.
type Column string

// The columns. Header names are case-insensitive, and spaces and hyphens in them
// count as underscores.
const (
	ColumnBranch            Column = "branch"
	ColumnWorkload          Column = "workload"
	ColumnKind              Column = "kind"         // interactive, service, batch, gang
	ColumnShare             Column = "share"        // weight of the branch, the same in all its rows
	ColumnPriority          Column = "priority"     // urgent, high, normal, low; empty: normal
	ColumnDeadline          Column = "deadline"     // duration from submission; empty: none
	ColumnTasks             Column = "tasks"        // empty: 1
	ColumnCPUs              Column = "cpus"         // of one task, in cores, or in thousandths of a core as in 250m
	ColumnMemory            Column = "memory"       // of one task, in GiB unless a unit is given
	ColumnAccelerators      Column = "accelerators" // of one task
	ColumnRuntime           Column = "runtime"      // declared duration; empty: unknown
	ColumnService           Column = "service"      // service of the backend servers; only for interactive workloads
	ColumnQuotaCPUs         Column = "quota_cpus"   // quotas are limits of the branch, the same in all its rows; empty: none
	ColumnQuotaMemory       Column = "quota_memory"
	ColumnQuotaAccelerators Column = "quota_accelerators"
)

// columns holds all columns in canonical order.
var columns = []Column{
	ColumnBranch, ColumnWorkload, ColumnKind, ColumnShare, ColumnPriority, ColumnDeadline, ColumnTasks,
	ColumnCPUs, ColumnMemory, ColumnAccelerators, ColumnRuntime, ColumnService,
	ColumnQuotaCPUs, ColumnQuotaMemory, ColumnQuotaAccelerators,
}

// requiredColumns holds the columns that every sheet must have.
var requiredColumns = []Column{ColumnBranch, ColumnWorkload, ColumnKind, ColumnShare}

// findColumn returns the column that a header cell names.
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
