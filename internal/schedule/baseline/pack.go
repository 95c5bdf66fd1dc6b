package baseline

import (
	"cmp"
	"slices"

	"filbertcross/internal/model"
)

// Pack places tasks of known sizes on empty workers by first-fit decreasing, the largest
// share of all capacity first, and returns the sum of the sizes that found room.
func Pack(capacities, sizes []model.Resources) model.Resources {
	var total, packed model.Resources
	for _, c := range capacities {
		total = total.Add(c)
	}
	sorted := slices.Clone(sizes)
	slices.SortStableFunc(sorted, func(a, b model.Resources) int {
		return cmp.Compare(DominantShare(b, total), DominantShare(a, total))
	})
	free := slices.Clone(capacities)
	for i, size := range sorted {
		if i > 0 && size == sorted[i-1] && !slices.ContainsFunc(free, size.Fits) {
			continue
		}
		at := slices.IndexFunc(free, size.Fits)
		if at < 0 {
			continue
		}
		free[at] = free[at].Sub(size)
		packed = packed.Add(size)
	}
	return packed
}

// DominantShare returns the largest of the amount's shares of the total, 0 to 1 for
// amounts within it.
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
