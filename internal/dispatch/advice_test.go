package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"filbertcross/internal/model"
)

// Guards against a selection that differs from sorting all workers, which a large fleet cannot afford
// for every waiting step.
func TestFreestWorkersAreThoseThatSortingPutsFirst(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var all []*worker
		best := &freestWorkers{limit: 1 + rng.IntN(20)}
		for range rng.IntN(60) {
			w := &worker{used: model.Resources{MilliCPU: rng.Int64N(10)}}
			all = append(all, w)
			best.add(w)
		}
		slices.SortStableFunc(all, func(x, y *worker) int { return cmp.Compare(y.free().MilliCPU, x.free().MilliCPU) })
		if want := all[:min(len(all), best.limit)]; !slices.Equal(best.list, want) {
			t.Fatalf("%d of %d workers are not the first of the sorted ones", best.limit, len(all))
		}
	}
}
