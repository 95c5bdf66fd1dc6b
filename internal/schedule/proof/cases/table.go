package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"filbertcross/internal/model"
	"filbertcross/internal/schedule"
)

var columns = []string{
	"Decider", "urgent p50/p99 s", "high p50/p99 s", "normal p50/p99 s", "low p50/p99 s", "worst branch p99 s",
	"deadlines met", "late, saved by another", "packing", "preempted/moved/throttled", "work lost",
	"decisions (messages) a start", "bad starts", "rules broken",
}

// writeCase prints a case as a table in Markdown, one row for each Decider.
func writeCase(out io.Writer, s *scenario, results, day []*result) {
	fmt.Fprintf(out, "\n### %s\n\n", s.title())
	writeRow(out, columns)
	writeRow(out, strings.Split(strings.Repeat("--- ", len(columns)-1)+"---", " "))
	for _, r := range results {
		writeRow(out, cellsOf(r, results))
	}
	if s.flooder != "" {
		writeFlood(out, s, results, day)
	}
	for _, r := range results {
		if r.firstBroken != nil {
			fmt.Fprintf(out, "\n%s: first broken rule: %v\n", r.decider, r.firstBroken)
		}
	}
}

func writeRow(out io.Writer, row []string) {
	fmt.Fprintf(out, "| %s |\n", strings.Join(row, " | "))
}

func cellsOf(r *result, results []*result) []string {
	row := []string{r.decider}
	for tier := range model.TierCount {
		h := r.merged(func(k waitKey) bool { return k.tier == tier })
		row = append(row, seconds(h, medianPercent)+" / "+seconds(h, tailPercent))
	}
	saved := 0
	for _, other := range results {
		saved = max(saved, r.savedBy(other))
	}
	starts := float64(max(r.starts, 1))
	return append(row,
		worstBranch(r),
		fmt.Sprintf("%d of %d (%.1f%%)", r.met(), len(r.due), percent(float64(r.met()), float64(len(r.due)))),
		fmt.Sprint(saved),
		fmt.Sprintf("%.1f%%", percent(r.packing, float64(r.samples))),
		fmt.Sprintf("%d / %d / %d", r.actions[schedule.ActionPreempt], r.actions[schedule.ActionMove], r.actions[schedule.ActionThrottle]),
		fmt.Sprintf("%.2f%%", percent(r.lost, r.lost+r.useful)),
		fmt.Sprintf("%.2f (%.2f)", float64(r.decisions())/starts, float64(r.messages)/starts),
		fmt.Sprintf("%.2f%%", percent(float64(r.badStarts), starts)),
		fmt.Sprint(r.violations),
	)
}

func (r *result) decisions() int {
	n := 0
	for _, count := range r.actions {
		n += count
	}
	return n
}

func percent(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * part / whole
}

func seconds(h *hdrhistogram.Histogram, quantile float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	wait := time.Duration(h.ValueAtQuantile(quantile)) * time.Millisecond
	return fmt.Sprintf("%.1f", wait.Seconds())
}

// worstBranch returns the 99th percentile of the branch that waits longest, over all tiers.
func worstBranch(r *result) string {
	branches := make(map[model.BranchID]bool)
	for k := range r.waits {
		branches[k.branch] = true
	}
	var worst *hdrhistogram.Histogram
	for b := range branches {
		h := r.merged(func(k waitKey) bool { return k.branch == b })
		if worst == nil || h.ValueAtQuantile(tailPercent) > worst.ValueAtQuantile(tailPercent) {
			worst = h
		}
	}
	return seconds(worst, tailPercent)
}

// writeFlood compares the other branches' waiting with that of the same day without the flood.
func writeFlood(out io.Writer, s *scenario, results, day []*result) {
	fmt.Fprintf(out, "\nThe other branches alone, 99th percentile in s without and with the flood:\n\n")
	writeRow(out, []string{"Decider", "urgent", "high", "normal", "low", "deadlines met with the flood"})
	writeRow(out, []string{"---", "---", "---", "---", "---", "---"})
	for i, r := range results {
		row := []string{r.decider}
		for tier := range model.TierCount {
			others := func(k waitKey) bool { return k.branch != s.flooder && k.tier == tier }
			row = append(row, seconds(day[i].merged(others), tailPercent)+" to "+seconds(r.merged(others), tailPercent))
		}
		met, due := r.metWithout(s.flooder)
		writeRow(out, append(row, fmt.Sprintf("%d of %d", met, due)))
	}
}
