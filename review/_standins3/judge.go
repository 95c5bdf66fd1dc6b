package main

import (
	"strings"
	"time"
)

func (w *world) taskLocked(name string) *taskState {
	t := w.tasks[name]
	if t == nil {
		t = &taskState{runs: map[int64]*run{}, awayAt: time.Now(), ended: map[string]int{}}
		w.tasks[name] = t
	}
	return t
}

// runBeginsLocked judges the start of a run.
func (w *world) runBeginsLocked(r *run) {
	t := w.taskLocked(r.task)
	for number, other := range t.runs {
		w.breakRuleLocked("TWICE: %s run %d starts on %s while run %d is on %s", r.task, r.number, r.life.id, number, other.life.id)
	}
	if t.ended["done"] > 0 {
		w.breakRuleLocked("TWICE: %s run %d starts on %s after a run has ended done", r.task, r.number, r.life.id)
	}
	t.runs[r.number] = r
}

// updateWorkLocked updates whether a task is at work.
func (w *world) updateWorkLocked(name string) {
	t := w.taskLocked(name)
	for _, r := range t.runs {
		if r.percent(time.Now()) >= 100 && !t.atWork {
			t.atWork, t.ordered = true, false
			w.noteLocked("%s run %d is at work on %s (%s)", name, r.number, r.life.id, r.life.machine.name)
		}
	}
}

// runEndsLocked judges the end of a run.
func (w *world) runEndsLocked(r *run, how string) {
	t := w.taskLocked(r.task)
	delete(t.runs, r.number)
	t.ended[how]++
	r.how = how
	if !isBulk(r.task) {
		w.noteLocked("%s run %d on %s ends: %s", r.task, r.number, r.life.id, how)
	}
	if !t.atWork {
		return
	}
	byOrder := how == "stopped" || how == "upkeep" || how == "lapsed" // the scripts have no impairment when a lease lapses
	if byOrder {
		w.judgeAvailabilityLocked(r)
	}
	t.atWork, t.ordered, t.awayAt = false, byOrder, time.Now()
}

// mayMiss is the figure of all steps that have one, by submission.
var mayMiss = map[string]int{}

// judgeAvailabilityLocked judges the end of a task at work by an order: the others of its step that are away.
func (w *world) judgeAvailabilityLocked(r *run) {
	step := r.task[:strings.LastIndex(r.task, ".")+1]
	allowed, ok := mayMiss[strings.Split(r.task, ".")[0]]
	if !ok {
		return
	}
	away := []string{}
	for name, other := range w.tasks {
		if name != r.task && strings.HasPrefix(name, step) && !other.atWork && (other.ordered || time.Since(other.awayAt) >= notice) {
			away = append(away, name)
		}
	}
	if len(away) >= allowed {
		w.breakRuleLocked("AVAIL: an order ends %s, at work on %s (%s), while %v of its step are away; may-miss is %d", r.task, r.life.id, r.life.machine.name, away, allowed)
	}
}
