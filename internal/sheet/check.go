package sheet

import (
	"cmp"
	"fmt"
	"slices"

	"filbertcross/internal/model"
)

// buildSheet checks each row by itself and against the other rows, adds the problems
// to the report and returns the sheet in canonical order.
func (p *parser) buildSheet() Sheet {
	var sheet Sheet
	firstRows := map[model.BranchID]row{}
	lines := map[workloadKey]int{} // line of each workload's first row
	for _, r := range p.rows {
		p.checkRow(r)
		key := keyOf(r.workload)
		if line, ok := lines[key]; ok && key.branch != "" && key.workload != "" {
			p.addProblem(r.line, ColumnWorkload, string(key.workload), fmt.Sprintf("is already in row %d for this branch", line))
		} else {
			lines[key] = r.line
		}
		if other, ok := firstRows[key.branch]; ok {
			p.checkBranchValues(r, other)
		} else {
			firstRows[key.branch] = r
			sheet.Branches = append(sheet.Branches, model.Branch{ID: key.branch, Share: r.workload.Share, Quota: r.quota})
		}
		sheet.Workloads = append(sheet.Workloads, r.workload)
	}
	sheet.Sort()
	return sheet
}

// checkRow checks the cells that depend on the kind of the workload.
func (p *parser) checkRow(r row) {
	w := r.workload
	interactive := w.Kind == model.KindInteractive
	switch {
	case w.Kind == "":
		return
	case interactive && w.Service == "":
		p.addProblem(r.line, ColumnService, "", "is required for an interactive workload")
	case !interactive && w.Service != "":
		p.addProblem(r.line, ColumnService, w.Service, "is only for interactive workloads")
	}
	if w.Kind == model.KindGang && w.Tasks < 2 {
		p.addProblem(r.line, ColumnTasks, fmt.Sprint(w.Tasks), "a gang has at least 2 tasks")
	}
	if !interactive && w.Size.IsZero() {
		p.addProblem(r.line, ColumnCPUs, "", "is empty: a workload that is not interactive needs cpus, memory or accelerators")
	}
	if interactive && !w.Size.IsZero() {
		p.addNotice(r.line, ColumnCPUs, "", "is ignored, as are memory and accelerators: the workload is interactive")
	}
	if w.Deadline > 0 && w.Runtime > w.Deadline {
		p.addNotice(r.line, ColumnDeadline, w.Deadline.String(), "is shorter than the declared runtime")
	}
}

// checkBranchValues checks that share and quota are the same in two rows of a branch.
func (p *parser) checkBranchValues(r, other row) {
	message := fmt.Sprintf("differs from row %d of the same branch", other.line)
	if r.workload.Share != other.workload.Share {
		p.addProblem(r.line, ColumnShare, fmt.Sprint(r.workload.Share), message)
	}
	if r.quota != other.quota {
		p.addProblem(r.line, ColumnQuotaCPUs, r.quota.String(), message)
	}
}

// workloadKey identifies a workload within the sheet.
type workloadKey struct {
	branch   model.BranchID
	workload model.WorkloadID
}

func keyOf(w model.Workload) workloadKey { return workloadKey{w.Branch, w.ID} }

func compareKeys(a, b workloadKey) int {
	return cmp.Or(cmp.Compare(a.branch, b.branch), cmp.Compare(a.workload, b.workload))
}

func compareWorkloads(a, b model.Workload) int { return compareKeys(keyOf(a), keyOf(b)) }

func compareBranches(a, b model.Branch) int { return cmp.Compare(a.ID, b.ID) }

// Sort puts the sheet into canonical order: branches by id, workloads by branch and id.
func (s *Sheet) Sort() {
	slices.SortFunc(s.Branches, compareBranches)
	slices.SortFunc(s.Workloads, compareWorkloads)
}
