package schedule

import "filbertcross/internal/model"

// branch is a branch with its queued classes and the capacity that its tasks hold. Its share
// is a weighted dominant-resource share: the largest fraction of any resource of the cluster
// that the branch holds, divided by the branch's weight.
type branch struct {
	model.Branch
	configured    bool                             // in the active configuration
	usage         model.Resources                  // granted to its runs
	stopping      model.Resources                  // part of usage that is being preempted
	held          model.Resources                  // held for its tasks on workers where it preempts
	claimedByTier [model.TierCount]model.Resources // usage plus held, by tier
	waiting       int                              // tasks
	running       int                              // tasks that hold capacity
	runningByTier [model.TierCount]int             // tasks that hold capacity, by tier
	usageReduced  bool                             // usage decreased since the last Decide
	activeClasses [levelCount]classHeap
	activePos     [levelCount]int // position in queue.active; valid while the level has active classes
}

// effectiveUsage returns the capacity that the branch will hold once all running preemptions
// have finished.
func (b *branch) effectiveUsage() model.Resources {
	return b.usage.Sub(b.stopping).Add(b.held)
}

// weight returns the branch's share from the sheet, at least 1.
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

// entitledShare returns the weighted share to which every active branch is entitled.
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

// atOrAboveShareInTiers reports whether the branch holds at least its share with work of the
// tier and of more urgent tiers. Its work of lower tiers, which may use borrowed capacity,
// does not count.
func (s *Scheduler) atOrAboveShareInTiers(b *branch, tier model.Tier) bool {
	var sum model.Resources
	for t := model.TierUrgent; t <= tier; t++ {
		sum = sum.Add(b.claimedByTier[t])
	}
	return dominantShare(sum, s.cluster.total)/b.weight() >= s.entitledShare()
}

// withinQuota reports whether the branch's quota allows more to be granted on top of its
// usage.
func (b *branch) withinQuota(more model.Resources) bool {
	return underQuota(b.usage.Add(more), b.Quota)
}

// underQuota reports whether use is at most quota. A zero resource in quota means no limit.
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

// adjustTaskCounts adds to the counts of waiting and running tasks of the job's class and
// branch, and updates the total weight of active branches.
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
