package main

import (
	"strings"
	"sync"
	"time"
)

// ledger records the runs of all executors and checks the rule TWICE. It is safe for concurrent use.
type ledger struct {
	rec    *recorder
	broken *violations
	twice  bool // check TWICE

	mu      sync.Mutex
	tasks   map[string]*taskRecord
	starts  int
	ends    map[string]int // by how
	pending map[string]int // unacknowledged ends, by executor
}

type taskRecord struct {
	running map[int64]string // executor of each run
	done    []doneRun
	starts  []start
	failed  int
}

type doneRun struct {
	run          int64
	executor     string
	number       int64
	at           time.Duration
	acknowledged time.Duration // 0: not yet
}

type start struct {
	run      int64
	executor string
	at       time.Duration
}

func newLedger(rec *recorder, broken *violations) *ledger {
	return &ledger{rec: rec, broken: broken, tasks: map[string]*taskRecord{}, ends: map[string]int{}, pending: map[string]int{}}
}

func (l *ledger) task(name string) *taskRecord {
	t := l.tasks[name]
	if t == nil {
		t = &taskRecord{running: map[int64]string{}}
		l.tasks[name] = t
	}
	return t
}

func (l *ledger) started(e *executor, r *taskRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	t := l.task(r.task)
	l.rec.log("executor %s starts %s run %d", e.id, r.task, r.run)
	for run, where := range t.running {
		if l.twice {
			l.broken.add("TWICE: %s run %d starts at %s while run %d runs at %s", r.task, r.run, e.id, run, where)
		}
	}
	t.running[r.run] = e.id
	t.starts = append(t.starts, start{r.run, e.id, l.rec.now()})
	for _, d := range t.done {
		if d.acknowledged != 0 {
			l.reportTwice(r.task, start{r.run, e.id, l.rec.now()}, d)
		}
	}
}

func (l *ledger) reportTwice(task string, s start, d doneRun) {
	if l.twice {
		l.broken.add("TWICE: %s run %d was started at %s at %.3f, after run %d had ended as done at %s at %.3f; that end (number %d) was taken note of at %.3f",
			task, s.run, s.executor, s.at.Seconds(), d.run, d.executor, d.at.Seconds(), d.number, d.acknowledged.Seconds())
	}
}

func (l *ledger) ended(e *executor, r *taskRun, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rec.log("executor %s: %s run %d ends: %s", e.id, r.task, r.run, how)
	l.ends[how]++
	t := l.task(r.task)
	delete(t.running, r.run)
	switch how {
	case "done":
		t.done = append(t.done, doneRun{run: r.run, executor: e.id, number: e.lastEnd, at: l.rec.now()})
	case "failed":
		t.failed++
	}
	if how != "lost" {
		l.pending[e.id]++
	}
}

func (l *ledger) acknowledged(e *executor, end endedRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending[e.id]--
	if end.how != "done" || end.lapsed {
		return
	}
	t := l.task(end.task)
	for i := range t.done {
		d := &t.done[i]
		if d.run != end.run || d.executor != e.id || d.acknowledged != 0 {
			continue
		}
		d.acknowledged = l.rec.now()
		for _, s := range t.starts {
			if s.at > d.at {
				l.reportTwice(end.task, s, *d)
			}
		}
	}
}

func (l *ledger) crashed(e *executor) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending[e.id] = 0
}

// counts returns the number of starts, and of tasks of the submission that have ended as done.
func (l *ledger) counts(id string) (running, done int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, t := range l.tasks {
		if !strings.HasPrefix(name, id+".") {
			continue
		}
		running += len(t.running)
		if len(t.done) > 0 {
			done++
		}
	}
	return running, done
}

// failedEnds returns the highest number of failed ends of one task of the submission.
func (l *ledger) failedEnds(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for name, t := range l.tasks {
		if strings.HasPrefix(name, id+".") {
			most = max(most, t.failed)
		}
	}
	return most
}

// mostPending returns the highest number of ends of one executor that are not taken note of yet.
func (l *ledger) mostPending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for _, n := range l.pending {
		most = max(most, n)
	}
	return most
}
