package schedule

import (
	"filbertcross/internal/fairshare"
	"filbertcross/internal/model"
)

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

// weightedShare returns the branch's weighted dominant share with delta added.
func (s *Scheduler) weightedShare(b *branch, delta model.Resources) float64 {
	return fairshare.DominantShare(b.effectiveUsage().Add(delta), s.cluster.total) / b.weight()
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
	return fairshare.DominantShare(sum, s.cluster.total)/b.weight() >= s.entitledShare()
}

// withinQuota reports whether the branch's quota allows more to be granted on top of its
// usage.
func (b *branch) withinQuota(more model.Resources) bool {
	return fairshare.WithinQuota(b.usage.Add(more), b.Quota)
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
