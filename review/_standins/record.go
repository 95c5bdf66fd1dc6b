package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with the seconds since its start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, start: time.Now()}, err
}

func (r *recorder) now() time.Duration { return time.Since(r.start) }

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f ", r.now().Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// violations collects the broken rules that a case has seen. It is safe for concurrent use.
type violations struct {
	mu   sync.Mutex
	rec  *recorder
	list []string
}

func (v *violations) add(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	v.mu.Lock()
	v.list = append(v.list, text)
	v.mu.Unlock()
	v.rec.log("BROKEN %s", text)
}

func (v *violations) all() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.list...)
}
