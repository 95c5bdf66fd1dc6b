package proof

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"filbertcross/internal/model"
	"filbertcross/internal/proptest"
	"filbertcross/internal/schedule"
)

// TestSharesFollowWeights fills a cluster with tasks of equal size from branches that each submit
// enough tasks to fill it. It checks weighted max-min fairness in whole tasks: without its last
// task, no branch holds more tasks per share than any other branch.
func TestSharesFollowWeights(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		s := schedule.New(schedule.DefaultOptions(), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		slots := rapid.IntRange(1, 60).Draw(t, "slots")
		size := model.Resources{MilliCPU: 1000, MemoryMiB: 1024}
		s.UpsertWorker(start, schedule.Worker{
			ID:       "w1",
			Capacity: model.Resources{MilliCPU: int64(slots) * 1000, MemoryMiB: int64(slots) * 1024},
		})
		var branches []model.Branch
		for i := range rapid.IntRange(1, 5).Draw(t, "branches") {
			b := model.Branch{ID: model.BranchID(fmt.Sprintf("b%d", i)), Share: rapid.Int64Range(1, 9).Draw(t, "share")}
			branches = append(branches, b)
		}
		s.SetBranches(start, branches)
		for _, b := range branches {
			s.Submit(start, model.Job{
				ID: model.JobID("p~" + b.ID), Branch: b.ID, Kind: model.KindBatch, Tier: model.TierNormal,
				Tasks: slots, Size: size, Submitted: start, Restartable: true,
			})
		}
		heldTasks := make(map[model.BranchID]int)
		for range slots {
			for _, d := range s.Decide(start, 1) {
				heldTasks[d.Branch]++
			}
		}
		for _, a := range branches {
			for _, b := range branches {
				if int64(heldTasks[a.ID]-1)*b.Share > int64(heldTasks[b.ID])*a.Share {
					t.Fatalf("branches hold %v tasks with shares %v of %d slots: branch %q holds more than its share, branch %q less", heldTasks, branches, slots, a.ID, b.ID)
				}
			}
		}
	})
}
