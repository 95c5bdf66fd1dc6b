package schedule

import "filbertcross/internal/model"

// fanOut is the number of children of a tree node.
const fanOut = 16

// scanBudget is the maximum number of nodes that one search of a tree checks.
const scanBudget = 512

// unavailable is the leaf value of a worker that accepts no new task.
var unavailable = model.Resources{MilliCPU: -1, MemoryMiB: -1, Accelerators: -1}

// capacityTree is a tournament tree over the workers of a failure domain. Each inner node
// holds, for each resource, the largest free amount below it. A search skips subtrees that
// cannot hold the task, so its cost grows with the logarithm of the number of workers.
type capacityTree struct {
	workers    []*worker
	freeLeaves []int
	levels     [][]model.Resources // levels[0] holds the leaves
}

// add assigns a leaf to the worker and returns its position.
func (t *capacityTree) add(w *worker) int {
	if n := len(t.freeLeaves); n > 0 {
		pos := t.freeLeaves[n-1]
		t.freeLeaves = t.freeLeaves[:n-1]
		t.workers[pos] = w
		return pos
	}
	t.workers = append(t.workers, w)
	t.grow(len(t.workers))
	return len(t.workers) - 1
}

// remove frees a leaf.
func (t *capacityTree) remove(pos int) {
	t.set(pos, unavailable)
	t.workers[pos] = nil
	t.freeLeaves = append(t.freeLeaves, pos)
}

// grow extends every level to cover the given number of leaves.
func (t *capacityTree) grow(leaves int) {
	width := leaves
	for level := 0; ; level++ {
		isNew := level == len(t.levels)
		if isNew {
			t.levels = append(t.levels, nil)
		}
		for len(t.levels[level]) < width {
			t.levels[level] = append(t.levels[level], unavailable)
		}
		if isNew && level > 0 {
			for pos := range t.levels[level] {
				t.levels[level][pos] = t.maxOfChildren(level-1, pos)
			}
		}
		if width <= fanOut {
			return
		}
		width = (width + fanOut - 1) / fanOut
	}
}

// set sets a leaf's value and updates the nodes above it.
func (t *capacityTree) set(pos int, free model.Resources) {
	t.levels[0][pos] = free
	for level := 1; level < len(t.levels); level++ {
		pos /= fanOut
		value := t.maxOfChildren(level-1, pos)
		if t.levels[level][pos] == value {
			return
		}
		t.levels[level][pos] = value
	}
}

// maxOfChildren returns the maximum of each resource over the children of a node. The
// children are on level; parent is the node's position one level up.
func (t *capacityTree) maxOfChildren(level, parent int) model.Resources {
	top := unavailable
	end := min((parent+1)*fanOut, len(t.levels[level]))
	for _, v := range t.levels[level][parent*fanOut : end] {
		top.MilliCPU = max(top.MilliCPU, v.MilliCPU)
		top.MemoryMiB = max(top.MemoryMiB, v.MemoryMiB)
		top.Accelerators = max(top.Accelerators, v.Accelerators)
	}
	return top
}

// next returns the first leaf at or after pos whose free capacity fits size, or -1 if there
// is none or the budget is exhausted. It subtracts the checked nodes from budget.
func (t *capacityTree) next(pos int, size model.Resources, budget *int) int {
	level := 0
	for pos < t.width(level) {
		end := min((pos/fanOut+1)*fanOut, t.width(level))
		for pos < end && !size.FitsIn(t.levels[level][pos]) {
			pos++
			*budget--
		}
		if *budget <= 0 {
			return -1
		}
		switch {
		case pos < end && level == 0:
			return pos
		case pos < end:
			level--
			pos *= fanOut
		case level+1 == len(t.levels):
			return -1
		default:
			level++
			pos = (end + fanOut - 1) / fanOut
		}
		*budget--
	}
	return -1
}

func (t *capacityTree) width(level int) int {
	if level >= len(t.levels) {
		return 0
	}
	return len(t.levels[level])
}
