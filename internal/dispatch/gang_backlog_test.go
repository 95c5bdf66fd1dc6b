package dispatch

import (
	"fmt"
	"testing"
	"time"

	"filbertcross/internal/fleet"
)

// gangBacklog is a full cluster with gangs of four tasks that wait.
func gangBacklog(t *testing.T, workers, gangs int) *harness {
	h := newHarness(t, workers)
	h.submit("quick", "full", tasks(workers, 32))
	h.decide()
	h.acceptStarts(h.starts)
	for i := range gangs {
		g := tasks(4, 20)
		g.Gang, g.SameRack, g.Estimate = true, true, time.Hour
		h.submit("rebuild", fleet.JobID(fmt.Sprintf("%05d", i)), g)
	}
	return h
}

// Load: gangs wait on a full cluster. Guards against a pass whose cost is the product of waiting gangs,
// workers and racks.
func TestCostOfAPassDoesNotGrowWithWaitingGangs(t *testing.T) {
	const growth = 1.5 // goal of docs/design/placement-measured.md
	examined := func(gangs int) float64 {
		h := gangBacklog(t, 200, gangs)
		const passes = 20
		before, start := h.d.DecisionLoad().Examined, time.Now()
		for range passes {
			h.advance(10 * time.Millisecond)
			h.d.placeWaiting(h.now)
		}
		t.Logf("%d gangs: %v a pass", gangs, time.Since(start)/passes)
		return float64(h.d.DecisionLoad().Examined-before) / passes
	}
	few, many := examined(50), examined(500)
	t.Logf("workers examined in a pass: %.0f with 50 gangs, %.0f with 500", few, many)
	if many > growth*few {
		t.Fatalf("%.0f workers are examined in a pass with 500 waiting gangs, and %.0f with 50", many, few)
	}
}
