// Package fairshare holds the arithmetic of shares and quotas that both schedulers use:
// internal/schedule for the branches of the product's own interface, internal/dispatch for the
// client accounts of the users' machines.
package fairshare

import "filbertcross/internal/model"

// DominantShare returns the largest fraction of total that use takes in any resource. A resource
// of which total has none does not count.
func DominantShare(use, total model.Resources) float64 {
	share := 0.0
	fraction := func(part, whole int64) {
		if whole > 0 {
			share = max(share, float64(part)/float64(whole))
		}
	}
	fraction(use.MilliCPU, total.MilliCPU)
	fraction(use.MemoryMiB, total.MemoryMiB)
	fraction(use.Accelerators, total.Accelerators)
	return share
}

// WithinQuota reports whether use is at most quota. A zero resource in quota means no limit.
func WithinQuota(use, quota model.Resources) bool {
	return (quota.MilliCPU == 0 || use.MilliCPU <= quota.MilliCPU) &&
		(quota.MemoryMiB == 0 || use.MemoryMiB <= quota.MemoryMiB) &&
		(quota.Accelerators == 0 || use.Accelerators <= quota.Accelerators)
}

// Multiply returns n times r.
func Multiply(r model.Resources, n int) model.Resources {
	return model.Resources{
		MilliCPU:     r.MilliCPU * int64(n),
		MemoryMiB:    r.MemoryMiB * int64(n),
		Accelerators: r.Accelerators * int64(n),
	}
}
