package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run. Safe for concurrent use.
type record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	starts []start
}

// start is a run as its executor saw it.
type start struct {
	executor, task string
	run            int64
	from, to       time.Duration // to is 0 while it goes on
	how            string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) now() time.Duration { return time.Since(r.began) }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{r.now().Seconds()}, args...)...)
}

func (r *record) start(executor, task string, number int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("executor %s starts %s run %d", executor, task, number)
	r.starts = append(r.starts, start{executor: executor, task: task, run: number, from: r.now()})
}

func (r *record) end(executor, task string, number int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("executor %s: %s run %d ends %s", executor, task, number, how)
	for i := range r.starts {
		if s := &r.starts[i]; s.executor == executor && s.task == task && s.run == number && s.to == 0 {
			s.to, s.how = r.now(), how
		}
	}
}

// of returns the runs of the tasks of a submission.
func (r *record) of(id string) []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []start
	for _, s := range r.starts {
		if strings.HasPrefix(s.task+".", id+".") {
			list = append(list, s)
		}
	}
	return list
}
