package schedule

import "filbertcross/internal/model"

// branch is a branch with what its tasks hold. Shares are weighted dominant-resource
// shares: the largest fraction of the cluster that the branch holds in any resource,
// divided by its weight.
type branch struct {
	model.Branch
	configured    bool                             // in the configuration in force
	usage         model.Resources                  // granted to its runs
	stopping      model.Resources                  // part of usage that preemption is taking away
	held          model.Resources                  // kept for its tasks on workers that preemption empties
	claimedByTier [model.TierCount]model.Resources // granted and held, by tier
	waiting       int                              // tasks
	running       int                              // tasks that hold capacity
	runningByTier [model.TierCount]int             // tasks that hold capacity by tier
	usageReduced  bool                             // usage fell since the last Decide
	activeClasses [levelCount]classHeap
	activePos     [levelCount]int // position in queue.active; -1: not in it
}

// effectiveUsage returns what the branch will hold once the preemptions under way are over.
func (b *branch) effectiveUsage() model.Resources {
	return b.usage.Sub(b.stopping).Add(b.held)
}

// weight returns the branch's share of the sheet.
func (b *branch) weight() float64 { return float64(max(b.Share, 1)) }

// dominantShare returns the largest fraction of total that r takes in any resource.
func dominantShare(r, total model.Resources) float64 {
	share := 0.0
	fraction := func(part, whole int64) {
		if whole > 0 {
			share = max(share, float64(part)/float64(whole))
		}
	}
	fraction(r.MilliCPU, total.MilliCPU)
	fraction(r.MemoryMiB, total.MemoryMiB)
	fraction(r.Accelerators, total.Accelerators)
	return share
}

// weightedShare returns the branch's weighted dominant share with delta added.
func (s *Scheduler) weightedShare(b *branch, delta model.Resources) float64 {
	return dominantShare(b.effectiveUsage().Add(delta), s.cluster.total) / b.weight()
}

// entitledShare returns the weighted share that every active branch may claim at once.
func (s *Scheduler) entitledShare() float64 {
	if s.activeWeight <= 0 {
		return 1
	}
	return 1 / s.activeWeight
}

// atOrAboveShare reports whether the branch holds at least its share.
func (s *Scheduler) atOrAboveShare(b *branch) bool {
	return s.weightedShare(b, model.Resources{}) >= s.entitledShare()
}

// atOrAboveShareInTiers reports whether the branch holds at least its share in work of the tier and of
// those before it. Its lower work, which may be lent, does not count.
func (s *Scheduler) atOrAboveShareInTiers(b *branch, tier model.Tier) bool {
	var sum model.Resources
	for t := model.TierUrgent; t <= tier; t++ {
		sum = sum.Add(b.claimedByTier[t])
	}
	return dominantShare(sum, s.cluster.total)/b.weight() >= s.entitledShare()
}

// withinQuota reports whether the branch's quota allows so much more.
func (b *branch) withinQuota(more model.Resources) bool {
	return underQuota(b.usage.Add(more), b.Quota)
}

// underQuota reports whether use is at most quota, whose zero components are unbounded.
func underQuota(use, quota model.Resources) bool {
	return (quota.MilliCPU == 0 || use.MilliCPU <= quota.MilliCPU) &&
		(quota.MemoryMiB == 0 || use.MemoryMiB <= quota.MemoryMiB) &&
		(quota.Accelerators == 0 || use.Accelerators <= quota.Accelerators)
}

// multiply returns n times r.
func multiply(r model.Resources, n int) model.Resources {
	return model.Resources{
		MilliCPU:     r.MilliCPU * int64(n),
		MemoryMiB:    r.MemoryMiB * int64(n),
		Accelerators: r.Accelerators * int64(n),
	}
}

// adjustTaskCounts adjusts the counts of tasks and the sum of the active branches' weights.
func (s *Scheduler) adjustTaskCounts(j *job, waiting, running int) {
	b := j.branch
	before := b.waiting+b.running > 0
	j.class.waiting += waiting
	b.waiting += waiting
	b.running += running
	b.runningByTier[j.Tier] += running
	s.waiting += waiting
	s.running += running
	after := b.waiting+b.running > 0
	switch {
	case after && !before:
		s.activeWeight += b.weight()
	case before && !after:
		s.activeWeight -= b.weight()
	}
}
