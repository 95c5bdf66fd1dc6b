package main

import (
	"fmt"
	"time"

	"filbertcross/platform/standin"
)

// Queues as those of the site file aulaplan-sofia.
var (
	quickQueue   = queue{name: "hall-check", prefix: "/gono990/", priority: 0, attempts: 3, targetMS: 300}
	lastingQueue = queue{name: "room-sync", prefix: "/lari210/", priority: 1, attempts: 2, targetMS: 2500}
	batchQueue   = queue{name: "term-rebuild", prefix: "/pelu377/", priority: 2, attempts: 3, targetMS: 1200}
	queues       = []queue{quickQueue, lastingQueue, batchQueue}
)

// begin starts three nodes, and executors of the kinds a and b. It returns those of kind b.
func begin(rec *record, a, b int) (*system, []*executor, error) {
	s, err := newSystem(rec, queues)
	if err != nil {
		return nil, nil, err
	}
	if _, err = s.addExecutors("a", a, 32000); err != nil {
		return s, nil, err
	}
	special, err := s.addExecutors("b", b, 32000)
	if err != nil {
		return s, nil, err
	}
	if err = s.startNodes(3); err != nil {
		return s, nil, err
	}
	if err = s.launch(); err != nil {
		return s, nil, err
	}
	time.Sleep(time.Second)
	return s, special, nil
}

// background sends small submissions that any executor may run, as long as the channel is open.
func (s *system) background(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
			go s.submit(quickQueue, "ms=600", step{Count: 4, CPU: 2500, Memory: 4096, Estimate: 600})
		}
	}
}

// ends counts how the runs of a submission have ended.
func ends(rec *record, id string) string {
	counts := map[string]int{}
	for _, r := range rec.of(id) {
		if r.to == 0 {
			r.how = "at work"
		}
		counts[r.how]++
	}
	return fmt.Sprint(counts)
}

// probe: two of twenty-four executors fail all that they start for some seconds; later they are sound.
func probe(rec *record, trouble bool) (string, error) {
	s, special, err := begin(rec, 22, 2)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return "", err
	}
	stop := make(chan struct{})
	defer close(stop)
	go s.background(stop)
	if trouble {
		for _, e := range special {
			e.setFailing(true)
		}
	}
	lasting, began := "", time.Now()
	for time.Since(began) < 6500*time.Millisecond {
		if s.submit(batchQueue, "ms=800", step{Count: 2, CPU: 4000, Memory: 8192, Estimate: 800, Constraints: "b"}) == "" {
			return "", fmt.Errorf("a submission was not accepted")
		}
		if time.Since(began) > 3*time.Second && lasting == "" {
			lasting = s.submit(lastingQueue, "lasts", step{Count: 2, CPU: 4000, Memory: 8192, Estimate: 400, Constraints: "b", Lasts: true})
		}
		time.Sleep(500 * time.Millisecond)
	}
	if trouble {
		for _, e := range special {
			e.setFailing(false)
		}
	}
	time.Sleep(8 * time.Second)
	late := s.submit(batchQueue, "ms=800", step{Count: 2, CPU: 4000, Memory: 8192, Estimate: 800, Constraints: "b"})
	if late == "" || lasting == "" {
		return "", fmt.Errorf("a submission was not accepted")
	}
	return s.mustRunWithin(batchQueue, late, 25*time.Second), nil
}

// mustRunWithin waits until the submission is completed, and returns what is wrong if nothing of it runs for so long.
func (s *system) mustRunWithin(q queue, id string, limit time.Duration) string {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if state := s.state(q, id); state == "completed" {
			return ""
		}
	}
	return fmt.Sprintf("LOST: submission %s has not been completed after %v; its runs: %s", id, limit, ends(s.record, id))
}

// ack: one of eight executors crashes and is up again at once, while an acknowledgement of ends is on its way to it.
func ack(rec *record, trouble bool) (string, error) {
	s, special, err := begin(rec, 7, 1)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return "", err
	}
	stop := make(chan struct{})
	defer close(stop)
	go s.background(stop)
	lasting := s.submit(lastingQueue, "lasts", step{Count: 1, CPU: 4000, Memory: 8192, Estimate: 400, Constraints: "b", Lasts: true})
	if lasting == "" {
		return "", fmt.Errorf("a submission was not accepted")
	}
	time.Sleep(3 * time.Second)
	for range 4 {
		s.submit(batchQueue, "ms=300", step{Count: 1, CPU: 2000, Memory: 1024, Estimate: 300, Constraints: "b"})
		time.Sleep(700 * time.Millisecond)
	}
	e := special[0]
	before := e.notedEnds()
	if s.submit(batchQueue, "ms=300", step{Count: 1, CPU: 2000, Memory: 1024, Estimate: 300, Constraints: "b"}) == "" {
		return "", fmt.Errorf("a submission was not accepted")
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && e.notedEnds() == before; time.Sleep(2 * time.Millisecond) {
	}
	if trouble {
		e.powerOff()
		time.Sleep(ackOutage)
		e.powerOn()
	}
	time.Sleep(15 * time.Second)
	runs := rec.of(lasting)
	last := runs[len(runs)-1]
	if len(runs) == 1 {
		if trouble {
			return fmt.Sprintf("LOST: the task that lasts has not run again since %.3f s", last.to.Seconds()), nil
		}
		return "", nil
	}
	away := last.from - runs[len(runs)-2].to
	rec.add("the task that lasts was away for %v", away)
	if away > maxAway {
		return fmt.Sprintf("LOST: the task that lasts had nothing running for %v, though its executor was up again after %v", away, ackOutage), nil
	}
	return "", nil
}

// A task that lasts must be at work: LOST holds for it from 6 s after its last run, and allows 3 s with nothing running.
const (
	maxAway   = 9 * time.Second
	ackOutage = time.Second
)

// outage: the store is down for some seconds while one submission waits for the capacity that another one uses. There are up
// to three outages, as an owner that hands over when the store answers again does not show the fault.
func outage(rec *record, trouble bool) (string, error) {
	s, _, err := begin(rec, 4, 0)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return "", err
	}
	for range 3 {
		time.Sleep(2 * time.Second)
		first := s.submit(batchQueue, "ms=6000", step{Count: 4, CPU: 20000, Memory: 8192, Estimate: 6000})
		time.Sleep(2500 * time.Millisecond)
		waiting := s.submit(batchQueue, "ms=1000", step{Count: 2, CPU: 20000, Memory: 8192, Estimate: 1000})
		if first == "" || waiting == "" {
			return "", fmt.Errorf("a submission was not accepted")
		}
		time.Sleep(time.Second)
		const length = 4500 * time.Millisecond
		if trouble {
			rec.add("trouble: the store is down for %v", length)
			s.store.SetFaults(standin.Faults{Unavailable: true})
		}
		time.Sleep(length)
		if trouble {
			s.store.SetFaults(standin.Faults{})
			rec.add("trouble ends")
		}
		if broken := s.mustRunWithin(batchQueue, waiting, 20*time.Second); broken != "" {
			return broken, nil
		}
	}
	return "", nil
}

// late: an order gets no answer and is carried out seconds later; meanwhile its executor has started again under its id.
func late(rec *record, trouble bool) (string, error) {
	s, _, err := begin(rec, 8, 0)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return "", err
	}
	delayer := &delayer{record: rec, held: make(chan *executor, 1)}
	for _, e := range s.executors {
		if err := s.interpose(delayer, e); err != nil {
			return "", err
		}
	}
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	defer close(stop)
	go s.background(stop)
	if trouble {
		delayer.arm("ms=9000", 6*time.Second)
	}
	id := s.submit(batchQueue, "ms=9000", step{Count: 1, CPU: 4000, Memory: 8192, Estimate: 9000})
	if id == "" {
		return "", fmt.Errorf("the submission was not accepted")
	}
	if trouble {
		e := <-delayer.held
		time.Sleep(time.Second)
		e.crash()
		time.Sleep(1500 * time.Millisecond)
		e.restart()
	}
	time.Sleep(14 * time.Second)
	list := rec.of(id)
	for i, a := range list {
		for _, b := range list[i+1:] {
			if a.to == 0 || b.from < a.to {
				return fmt.Sprintf("TWICE: %s runs on %s from %.3f to %.3f s (run %d) and on %s from %.3f to %.3f s (run %d)",
					a.task, a.executor, a.from.Seconds(), a.to.Seconds(), a.run, b.executor, b.from.Seconds(), b.to.Seconds(), b.run), nil
			}
			if a.how == "done" {
				return fmt.Sprintf("TWICE: %s starts again after it has ended done", a.task), nil
			}
		}
	}
	return "", nil
}

// isolate: one of eight executors crashes once, just after tasks were started there that last and that no other executor
// may run.
func isolate(rec *record, trouble bool) (string, error) {
	s, special, err := begin(rec, 7, 1)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return "", err
	}
	stop := make(chan struct{})
	defer close(stop)
	go s.background(stop)
	lasting := s.submit(lastingQueue, "lasts", step{Count: 20, CPU: 1500, Memory: 2048, Estimate: 400, Constraints: "b", Lasts: true})
	if lasting == "" {
		return "", fmt.Errorf("the submission was not accepted")
	}
	time.Sleep(250 * time.Millisecond)
	if trouble {
		special[0].crash()
		time.Sleep(time.Second)
		special[0].restart()
	}
	time.Sleep(40 * time.Second)
	return s.longestAbsence(lasting, 20), nil
}

// longestAbsence returns what is wrong if one of the tasks of a lasting submission had nothing running for longer than
// maxAway.
func (s *system) longestAbsence(id string, tasks int) string {
	longest, worst := time.Duration(0), ""
	for i := range tasks {
		task := fmt.Sprintf("%s.0.0.%d", id, i)
		last := time.Duration(0)
		for _, r := range s.record.of(task) {
			if away := r.from - last; last != 0 && away > longest {
				longest, worst = away, task
			}
			last = r.to
		}
		if away := s.record.now() - last; last != 0 && away > longest {
			longest, worst = away, task
		}
	}
	s.record.add("the longest time that a task which lasts was away is %v (%s)", longest, worst)
	if longest > maxAway {
		return fmt.Sprintf("LOST: %s, which lasts, had nothing running for %v; its executor was down for 1 s", worst, longest)
	}
	return ""
}
