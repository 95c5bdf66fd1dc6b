package dispatch

import "iter"

const (
	coreMilliCPU = 1000
	freeClasses  = 256 // the last one holds all workers with more free cores
	notInIndex   = -1  // position of a worker that was removed
)

// freeIndex orders the workers by their unclaimed free cores, so that those with most of them are found
// without examining the others. Invariant: a worker is at classes[w.freeClass][w.freePosition].
type freeIndex struct {
	classes [freeClasses][]*worker
}

// add adds a worker.
func (x *freeIndex) add(w *worker) {
	w.freeClass = freeClass(w)
	w.freePosition = len(x.classes[w.freeClass])
	x.classes[w.freeClass] = append(x.classes[w.freeClass], w)
}

// remove removes a worker.
func (x *freeIndex) remove(w *worker) {
	list := x.classes[w.freeClass]
	last := list[len(list)-1]
	list[w.freePosition], last.freePosition = last, w.freePosition
	list[len(list)-1] = nil
	x.classes[w.freeClass] = list[:len(list)-1]
	w.freePosition = notInIndex
}

// update moves a worker whose capacity, use or claims have changed. A worker that was removed stays
// out: the answer to an advice call that names it may still come.
func (x *freeIndex) update(w *worker) {
	if w.freePosition != notInIndex && freeClass(w) != w.freeClass {
		x.remove(w)
		x.add(w)
	}
}

// descending yields the workers, those with the most free cores first. The index must not change
// meanwhile.
func (x *freeIndex) descending() iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for class := freeClasses - 1; class >= 0; class-- {
			for _, w := range x.classes[class] {
				if !yield(w) {
					return
				}
			}
		}
	}
}

func freeClass(w *worker) int {
	return int(min(max(w.unclaimed().MilliCPU/coreMilliCPU, 0), freeClasses-1))
}
