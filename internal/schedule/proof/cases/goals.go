package main

import (
	"fmt"
	"io"

	"filbertcross/internal/model"
)

// The goals of the placement decision.
const (
	goalFlood     = 1.2  // others' 99th percentile with a flood, against that without
	goalPacking   = 95.0 // percent of offline first-fit decreasing
	goalBadStarts = 2.0  // percent of all starts
)

// goals collects how the first contender, the scheduler, stands in each case.
type goals struct{ rows [][]string }

// judge adds a case.
func (g *goals) judge(s *scenario, results, day []*result) {
	r := results[0]
	urgent := r.merged(func(k waitKey) bool {
		return k.tier == model.TierUrgent && k.branch != s.flooder
	}).ValueAtQuantile(tailPercent)
	g.add(s, "urgent starts, 99th percentile", fmt.Sprintf("%.1f s", float64(urgent)/1000),
		model.UrgentStartTarget.String(), urgent <= model.UrgentStartTarget.Milliseconds())
	best, saved := 0, 0
	for _, other := range results[1:] {
		best = max(best, other.met())
		saved = max(saved, r.savedBy(other))
	}
	g.add(s, "deadlines met", fmt.Sprint(r.met()), fmt.Sprintf("%d by the best other", best), r.met() >= best)
	g.add(s, "late, saved by another", fmt.Sprint(saved), "0", saved == 0)
	if r.samples > 0 {
		packing := percent(r.packing, float64(r.samples))
		g.add(s, "packing", fmt.Sprintf("%.1f%%", packing), fmt.Sprintf("%.0f%%", goalPacking), packing >= goalPacking)
	}
	if len(s.bad) > 0 {
		bad := percent(float64(r.badStarts), float64(r.starts))
		g.add(s, "starts on bad workers", fmt.Sprintf("%.2f%%", bad), fmt.Sprintf("%.0f%%", goalBadStarts), bad < goalBadStarts)
	}
	if s.flooder != "" {
		g.judgeFlood(s, r, day[0])
	}
}

// judgeFlood compares the other branches' waiting with that of the day, tier by tier. Both
// are taken as at least one tick long.
func (g *goals) judgeFlood(s *scenario, with, without *result) {
	for tier := range model.TierCount {
		others := func(k waitKey) bool { return k.branch != s.flooder && k.tier == tier }
		wait := func(r *result) float64 {
			return float64(max(r.merged(others).ValueAtQuantile(tailPercent), tick.Milliseconds()))
		}
		ratio := wait(with) / wait(without)
		g.add(s, fmt.Sprintf("others' 99th percentile, tier %d, against no flood", tier),
			fmt.Sprintf("%.2f", ratio), fmt.Sprint(goalFlood), ratio <= goalFlood)
	}
}

func (g *goals) add(s *scenario, name, got, goal string, met bool) {
	verdict := "missed"
	if met {
		verdict = "met"
	}
	g.rows = append(g.rows, []string{s.title(), name, got, goal, verdict})
}

// write prints the goals, the missed ones first.
func (g *goals) write(out io.Writer) {
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
