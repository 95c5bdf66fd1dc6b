package main

import (
	"fmt"
	"io"

	"filbertcross/internal/model"
)

// Goals of the scheduler.
const (
	maxFloodSlowdown      = 1.2  // ratio of the other branches' 99th percentile wait with a flood to that without
	minPackingPercent     = 95.0 // of the usage that offline first-fit decreasing achieves
	maxFaultyStartPercent = 2.0  // starts on faulty workers, of all starts
)

// goalTable collects the scheduler's measures and goals in each scenario.
type goalTable struct{ rows [][]string }

// addScenario adds a scenario's goals. The first of the results is the scheduler's; dayResults
// are the results of the ordinary day.
func (g *goalTable) addScenario(s *scenario, results, dayResults []*result) {
	r := results[0]
	urgentWait := r.merged(func(k waitKey) bool {
		return k.tier == model.TierUrgent && k.branch != s.floodBranch
	}).ValueAtQuantile(tailPercent)
	g.addRow(s, "urgent starts, 99th percentile", fmt.Sprintf("%.1f s", float64(urgentWait)/1000),
		model.UrgentStartTarget.String(), urgentWait <= model.UrgentStartTarget.Milliseconds())
	bestOther, missedButMet := 0, 0
	for _, other := range results[1:] {
		bestOther = max(bestOther, other.deadlinesMet())
		missedButMet = max(missedButMet, r.missedButMetBy(other))
	}
	g.addRow(s, "deadlines met", fmt.Sprint(r.deadlinesMet()), fmt.Sprintf("%d by the best other", bestOther), r.deadlinesMet() >= bestOther)
	g.addRow(s, "late, saved by another", fmt.Sprint(missedButMet), "0", missedButMet == 0)
	if r.samples > 0 {
		packing := percent(r.packingSum, float64(r.samples))
		g.addRow(s, "packing", fmt.Sprintf("%.1f%%", packing), fmt.Sprintf("%.0f%%", minPackingPercent), packing >= minPackingPercent)
	}
	if len(s.faulty) > 0 {
		faultyPercent := percent(float64(r.faultyStarts), float64(r.starts))
		g.addRow(s, "starts on bad workers", fmt.Sprintf("%.2f%%", faultyPercent), fmt.Sprintf("%.0f%%", maxFaultyStartPercent), faultyPercent < maxFaultyStartPercent)
	}
	if s.floodBranch != "" {
		g.addFloodGoals(s, r, dayResults[0])
	}
}

// addFloodGoals compares the other branches' waits with and without the flood, by tier. Waits
// below one tick count as one tick.
func (g *goalTable) addFloodGoals(s *scenario, with, without *result) {
	for tier := range model.TierCount {
		otherBranches := func(k waitKey) bool { return k.branch != s.floodBranch && k.tier == tier }
		wait := func(r *result) float64 {
			return float64(max(r.merged(otherBranches).ValueAtQuantile(tailPercent), tickInterval.Milliseconds()))
		}
		ratio := wait(with) / wait(without)
		g.addRow(s, fmt.Sprintf("others' 99th percentile, tier %d, against no flood", tier),
			fmt.Sprintf("%.2f", ratio), fmt.Sprint(maxFloodSlowdown), ratio <= maxFloodSlowdown)
	}
}

func (g *goalTable) addRow(s *scenario, name, got, goal string, met bool) {
	verdict := "missed"
	if met {
		verdict = "met"
	}
	g.rows = append(g.rows, []string{s.title(), name, got, goal, verdict})
}

// write prints the goals as a Markdown table, missed goals first.
func (g *goalTable) write(out io.Writer) {
	fmt.Fprintf(out, "\n### The scheduler against its goals\n\n")
	writeRow(out, []string{"case", "measure", "scheduler", "goal", ""})
	writeRow(out, []string{"---", "---", "---", "---", "---"})
	for _, verdict := range []string{"missed", "met"} {
		for _, row := range g.rows {
			if row[len(row)-1] == verdict {
				writeRow(out, row)
			}
		}
	}
}
