package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"filbertcross/internal/model"
)

// Guards against an index that names other workers than sorting all of them would, which a large fleet
// cannot afford for every waiting step.
func TestFreeIndexYieldsWorkersInOrderOfFreeCores(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		var all []*worker
		index := &freeIndex{}
		for range 400 {
			switch n := len(all); {
			case n == 0 || rng.IntN(3) == 0:
				w := &worker{}
				w.entry.Capacity = model.Resources{MilliCPU: rng.Int64N(300_000)}
				index.add(w)
				all = append(all, w)
			case rng.IntN(4) == 0:
				i := rng.IntN(n)
				index.remove(all[i])
				all = slices.Delete(all, i, i+1)
			default:
				w := all[rng.IntN(n)]
				w.used.MilliCPU = rng.Int64N(300_000)
				index.update(w)
			}
		}
		yielded := slices.Collect(index.descending())
		if len(yielded) != len(all) {
			t.Fatalf("%d workers of %d", len(yielded), len(all))
		}
		if !slices.IsSortedFunc(yielded, func(a, b *worker) int { return cmp.Compare(freeClass(b), freeClass(a)) }) {
			t.Fatal("not in descending order of free cores")
		}
		for _, w := range all {
			if !slices.Contains(yielded, w) {
				t.Fatal("a worker is missing")
			}
		}
	}
}
