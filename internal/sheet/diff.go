package sheet

import (
	"fmt"
	"slices"
	"strings"

	"filbertcross/internal/model"
)

// ChangeKind is the kind of a change to a branch or workload.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is the difference between two sheets in one branch or one workload.
type Change struct {
	Kind     ChangeKind       `json:"kind"`
	Branch   model.BranchID   `json:"branch"`
	Workload model.WorkloadID `json:"workload,omitempty"` // empty: the branch itself
	Cells    []CellChange     `json:"cells,omitempty"`    // the changed cells if Kind is Changed
}

// CellChange is a changed cell; the values are in canonical form.
type CellChange struct {
	Column Column `json:"column"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// String formats the change as one line.
func (c Change) String() string {
	name := string(c.Branch)
	if c.Workload != "" {
		name += " / " + string(c.Workload)
	}
	line := fmt.Sprintf("%s %s", c.Kind, name)
	for _, cell := range c.Cells {
		line += fmt.Sprintf("; %s: %q -> %q", cell.Column, cell.Old, cell.New)
	}
	return line
}

// Changes is the difference between two sheets, ordered by branch and workload.
type Changes []Change

// String formats the changes, one per line.
func (c Changes) String() string {
	lines := make([]string, len(c))
	for i, change := range c {
		lines[i] = change.String()
	}
	return strings.Join(lines, "\n")
}

// branchColumns holds the columns whose values belong to the branch.
var branchColumns = []Column{ColumnShare, ColumnQuotaCPUs, ColumnQuotaMemory, ColumnQuotaAccelerators}

// Diff returns the changes that turn from into to. Both must be in canonical order.
func Diff(from, to Sheet) Changes {
	changes := diffList(from.Branches, to.Branches, compareBranches, func(kind ChangeKind, old, new model.Branch) Change {
		change := Change{Kind: kind, Branch: max(old.ID, new.ID)}
		if kind == Changed {
			change.Cells = diffCells(branchColumns, formatCells(model.Workload{}, old), formatCells(model.Workload{}, new))
		}
		return change
	})
	changes = append(changes, diffList(from.Workloads, to.Workloads, compareWorkloads, func(kind ChangeKind, old, new model.Workload) Change {
		key := keyOf(old)
		if kind == Added {
			key = keyOf(new)
		}
		change := Change{Kind: kind, Branch: key.branch, Workload: key.workload}
		if kind == Changed {
			change.Cells = diffCells(workloadColumns(), formatCells(old, model.Branch{}), formatCells(new, model.Branch{}))
		}
		return change
	})...)
	slices.SortStableFunc(changes, func(a, b Change) int {
		return compareKeys(workloadKey{a.Branch, a.Workload}, workloadKey{b.Branch, b.Workload})
	})
	return changes
}

// workloadColumns returns the columns whose values belong to the workload.
func workloadColumns() []Column {
	return slices.DeleteFunc(slices.Clone(columns), func(c Column) bool { return slices.Contains(branchColumns, c) })
}

// diffList compares two ordered lists in one pass. Entries without changed cells give
// no change: workloads that differ only in the branch's values are unchanged.
func diffList[T comparable](from, to []T, compare func(a, b T) int, change func(kind ChangeKind, old, new T) Change) Changes {
	var changes Changes
	var zero T
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(to) == 0 || (len(from) > 0 && compare(from[0], to[0]) < 0):
			changes = append(changes, change(Removed, from[0], zero))
			from = from[1:]
		case len(from) == 0 || compare(from[0], to[0]) > 0:
			changes = append(changes, change(Added, zero, to[0]))
			to = to[1:]
		default:
			if c := change(Changed, from[0], to[0]); len(c.Cells) > 0 {
				changes = append(changes, c)
			}
			from, to = from[1:], to[1:]
		}
	}
	return changes
}

func diffCells(list []Column, old, new map[Column]string) []CellChange {
	var cells []CellChange
	for _, c := range list {
		if old[c] != new[c] {
			cells = append(cells, CellChange{Column: c, Old: old[c], New: new[c]})
		}
	}
	return cells
}
