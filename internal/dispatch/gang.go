package dispatch

import (
	"slices"
	"strings"
	"time"

	"filbertcross/internal/model"
)

// placeGang starts all tasks of a gang at once, or none. The members share one run number, and
// a checkpoint of any member is valid for all.
func (d *Dispatcher) placeGang(now time.Duration, s *step) {
	if s.waiting < len(s.tasks) {
		return // not all members of an earlier run have ended
	}
	var chosen []*worker
	if s.def.SameRack {
		for _, rack := range d.racks() {
			if chosen = d.assignGang(now, s, rack); chosen != nil {
				break
			}
		}
	}
	if chosen == nil {
		chosen = d.assignGang(now, s, "")
	}
	if chosen == nil {
		s.hasDelayedTask = s.startsApart(now)
		return
	}
	s.reservation = nil
	checkpoint := ""
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	s.job.nextRun++
	number := d.opts.Fence*runsPerFence + s.job.nextRun
	for i, t := range s.tasks {
		t.checkpoint = checkpoint
		d.startRun(now, t, chosen[i], number)
	}
	if len(s.gangCrashedRuns) > 0 {
		for _, w := range chosen {
			w.backoffUntil = max(w.backoffUntil, now+startupWindow)
		}
	}
}

// startsApart reports whether the gang, shortly after whose start a worker crashed, is started only where nothing else has
// just begun. Until its members have outlived the time of a crash, nothing is started beside them either. So gangs that
// were together under a crash are not under the next one, too, and that of the cause counts for it alone.
func (s *step) startsApart(now time.Duration) bool {
	return len(s.gangCrashedRuns) > 0 && now < s.apartUntil
}

// assignGang returns a worker for each member, all in the given rack unless rack is empty, or
// nil if they do not all fit.
func (d *Dispatcher) assignGang(now time.Duration, s *step, rack string) []*worker {
	extra := map[*worker]model.Resources{}
	counts := map[*worker]int{}
	chosen := make([]*worker, 0, len(s.tasks))
	for range s.tasks {
		var best *worker
		bestScore := 0.0
		candidates := d.startCandidates(s)
		d.load.Examined += int64(len(candidates))
		for _, w := range candidates {
			if rack != "" && !slices.Contains(w.entry.Labels, rack) || !d.feasible(now, s, w, extra[w]) ||
				s.def.MaxPerWorker > 0 && counts[w] >= s.def.MaxPerWorker || w.probing && counts[w] > 0 ||
				s.startsApart(now) && now-w.lastStartAt < startupWindow {
				continue
			}
			if score := d.score(s, nil, w, extra[w]); best == nil || score < bestScore {
				best, bestScore = w, score
			}
		}
		if best == nil {
			return nil
		}
		extra[best] = extra[best].Add(reservedCapacity(s.def))
		counts[best]++
		chosen = append(chosen, best)
	}
	return chosen
}

// racks returns the sorted names of the racks. A worker's labels are its kind and its rack, in
// this order.
func (d *Dispatcher) racks() []string {
	var list []string
	for _, w := range d.workerList {
		if rack := w.rack(); rack != "" && !slices.Contains(list, rack) {
			list = append(list, rack)
		}
	}
	slices.SortFunc(list, strings.Compare)
	return list
}

func (w *worker) rack() string {
	if len(w.entry.Labels) == 0 {
		return ""
	}
	return w.entry.Labels[len(w.entry.Labels)-1]
}
