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

// writeCase prints the results of a scenario as a Markdown table with one row for each Decider.
func writeCase(out io.Writer, s *scenario, results, dayResults []*result) {
	fmt.Fprintf(out, "\n### %s\n\n", s.title())
	writeRow(out, columns)
	writeRow(out, strings.Split(strings.Repeat("--- ", len(columns)-1)+"---", " "))
	for _, r := range results {
		writeRow(out, tableRow(r, results))
	}
	if s.floodBranch != "" {
		writeFloodTable(out, s, results, dayResults)
	}
	for _, r := range results {
		if r.firstViolation != nil {
			fmt.Fprintf(out, "\n%s: first broken rule: %v\n", r.decider, r.firstViolation)
		}
	}
}

func writeRow(out io.Writer, row []string) {
	fmt.Fprintf(out, "| %s |\n", strings.Join(row, " | "))
}

func tableRow(r *result, results []*result) []string {
	row := []string{r.decider}
	for tier := range model.TierCount {
		h := r.merged(func(k waitKey) bool { return k.tier == tier })
		row = append(row, formatSeconds(h, medianPercent)+" / "+formatSeconds(h, tailPercent))
	}
	missedButMet := 0
	for _, other := range results {
		missedButMet = max(missedButMet, r.missedButMetBy(other))
	}
	starts := float64(max(r.starts, 1))
	return append(row,
		worstBranchWait(r),
		fmt.Sprintf("%d of %d (%.1f%%)", r.deadlinesMet(), len(r.metDeadline), percent(float64(r.deadlinesMet()), float64(len(r.metDeadline)))),
		fmt.Sprint(missedButMet),
		fmt.Sprintf("%.1f%%", percent(r.packingSum, float64(r.samples))),
		fmt.Sprintf("%d / %d / %d", r.actions[schedule.ActionPreempt], r.actions[schedule.ActionMove], r.actions[schedule.ActionThrottle]),
		fmt.Sprintf("%.2f%%", percent(r.lostCoreSeconds, r.lostCoreSeconds+r.usefulCoreSeconds)),
		fmt.Sprintf("%.2f (%.2f)", float64(r.decisionCount())/starts, float64(r.messages)/starts),
		fmt.Sprintf("%.2f%%", percent(float64(r.faultyStarts), starts)),
		fmt.Sprint(r.violations),
	)
}

func (r *result) decisionCount() int {
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

// formatSeconds returns a percentile of a histogram of milliseconds in seconds, or "-" if the
// histogram is empty.
func formatSeconds(h *hdrhistogram.Histogram, quantile float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	wait := time.Duration(h.ValueAtQuantile(quantile)) * time.Millisecond
	return fmt.Sprintf("%.1f", wait.Seconds())
}

// worstBranchWait returns the highest 99th percentile wait of a branch over all tiers, in seconds.
func worstBranchWait(r *result) string {
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
	return formatSeconds(worst, tailPercent)
}

// writeFloodTable prints the other branches' waits with the flood and on the ordinary day without
// it.
func writeFloodTable(out io.Writer, s *scenario, results, dayResults []*result) {
	fmt.Fprintf(out, "\nThe other branches alone, 99th percentile in s without and with the flood:\n\n")
	writeRow(out, []string{"Decider", "urgent", "high", "normal", "low", "deadlines met with the flood"})
	writeRow(out, []string{"---", "---", "---", "---", "---", "---"})
	for i, r := range results {
		row := []string{r.decider}
		for tier := range model.TierCount {
			otherBranches := func(k waitKey) bool { return k.branch != s.floodBranch && k.tier == tier }
			row = append(row, formatSeconds(dayResults[i].merged(otherBranches), tailPercent)+" to "+formatSeconds(r.merged(otherBranches), tailPercent))
		}
		met, due := r.deadlinesMetExcept(s.floodBranch)
		writeRow(out, append(row, fmt.Sprintf("%d of %d", met, due)))
	}
}
