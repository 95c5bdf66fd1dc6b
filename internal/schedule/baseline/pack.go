package baseline

import (
	"cmp"
	"maps"
	"slices"

	"filbertcross/internal/model"
)

// Pack places tasks on empty workers by first-fit decreasing, in decreasing order of
// DominantShare, and returns the sum of the sizes that fit. The demand maps each task size
// to its number of tasks.
func Pack(capacities []model.Resources, demand map[model.Resources]int) model.Resources {
	var total, packed model.Resources
	for _, c := range capacities {
		total = total.Add(c)
	}
	free := slices.Clone(capacities)
	for _, size := range sizesDecreasing(demand, total) {
		remaining := demand[size]
		for i := 0; i < len(free) && remaining > 0; {
			if !size.FitsIn(free[i]) {
				i++
				continue
			}
			free[i] = free[i].Sub(size)
			packed = packed.Add(size)
			remaining--
		}
	}
	return packed
}

// sizesDecreasing returns the sizes in decreasing order of their dominant share of the total.
func sizesDecreasing(demand map[model.Resources]int, total model.Resources) []model.Resources {
	sizes := slices.Collect(maps.Keys(demand))
	slices.SortFunc(sizes, func(a, b model.Resources) int {
		return cmp.Or(
			cmp.Compare(DominantShare(b, total), DominantShare(a, total)),
			cmp.Compare(b.MilliCPU, a.MilliCPU),
			cmp.Compare(b.MemoryMiB, a.MemoryMiB),
			cmp.Compare(b.Accelerators, a.Accelerators),
		)
	})
	return sizes
}

// DominantShare returns the largest share of the total that r takes of any resource. It is
// between 0 and 1 if r fits in the total.
func DominantShare(r, total model.Resources) float64 {
	share := func(part, whole int64) float64 {
		if whole == 0 {
			return 0
		}
		return float64(part) / float64(whole)
	}
	return max(
		share(r.MilliCPU, total.MilliCPU),
		share(r.MemoryMiB, total.MemoryMiB),
		share(r.Accelerators, total.Accelerators),
	)
}
