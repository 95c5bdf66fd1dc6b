package partition

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"filbertcross/internal/model"
	"filbertcross/internal/platform"
)

// slowStore answers after a delay and takes so many writes a second at most.
type slowStore struct {
	*fakeStore
	mu     sync.Mutex
	writes *rate.Limiter
	delay  time.Duration
}

func newSlowStore() *slowStore {
	return &slowStore{fakeStore: newFakeStore(), writes: rate.NewLimiter(300, 1), delay: 5 * time.Millisecond}
}

func (s *slowStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Revision) (platform.Revision, error) {
	_ = s.writes.Wait(ctx)
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fakeStore.CompareAndSwap(ctx, key, value, expected)
}

func (s *slowStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fakeStore.Get(ctx, key)
}

func (s *slowStore) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fakeStore.List(ctx, prefix)
}

func benchLog(b *testing.B, store platform.Store, interval time.Duration) (*Log, Replay) {
	l, replay, err := TakeOver(context.Background(), store, Options{
		Partition: "p0", VM: "vm", Lead: 30 * time.Second, MinInterval: interval})
	if err != nil {
		b.Fatal(err)
	}
	return l, replay
}

// benchWorker does on the bench's goroutine what an agent would: it starts what it
// is told and reports it done at the next poll.
type benchWorker struct {
	clock platform.WorkerClock
	tasks map[platform.TaskRef]bool
}

// BenchmarkPlacement drives one owner through submission, placement, start and end
// of single-task jobs against a store of 300 writes a second and 5 ms. Reported:
// placements a second, and store calls for each placement.
func BenchmarkPlacement(b *testing.B) {
	for _, interval := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond} {
		for _, jobs := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("interval=%v/jobsPerTick=%d", interval, jobs),
				func(b *testing.B) { benchPlacement(b, interval, jobs) })
		}
	}
}

func benchPlacement(b *testing.B, interval time.Duration, jobsPerTick int) {
	const workers = 48
	store := newSlowStore()
	l, replay := benchLog(b, store, interval)
	o, err := NewOwner(DefaultOwnerOptions("p0", l.Epoch(), l.Lead()), replay, l.Horizon(), newScheduler(), time.Now())
	if err != nil {
		b.Fatal(err)
	}
	o.SetBranches(time.Now(), []model.Branch{{ID: "b", Share: 1}})
	h := newBenchHost(o, l, workers)
	store.fakeStore.writes, store.reads = 0, 0
	begun := time.Now()
	for n := 0; h.ended < b.N; {
		for range jobsPerTick {
			if n < b.N {
				h.submit(n)
				n++
			}
		}
		h.round()
	}
	seconds := time.Since(begun).Seconds()
	b.ReportMetric(float64(b.N)/seconds, "placements/s")
	b.ReportMetric(float64(store.fakeStore.writes)/float64(b.N), "writes/placement")
	b.ReportMetric(float64(store.reads)/float64(b.N), "reads/placement")
}

// benchHost carries an owner's commands out; the log's writes on goroutines.
type benchHost struct {
	owner   *Owner
	log     *Log
	workers map[model.WorkerID]*benchWorker
	results chan func(time.Time)
	ended   int
}

func newBenchHost(o *Owner, l *Log, workers int) *benchHost {
	h := &benchHost{owner: o, log: l, workers: map[model.WorkerID]*benchWorker{}, results: make(chan func(time.Time), 1000)}
	var vms []platform.VM
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		h.workers[model.WorkerID(id)] = &benchWorker{tasks: map[platform.TaskRef]bool{}}
		vms = append(vms, platform.VM{ID: id, Role: platform.RoleWorker, Rack: fmt.Sprint(i / 8)})
	}
	o.Listed(time.Now(), vms)
	h.round()
	return h
}

func (h *benchHost) submit(n int) {
	h.owner.Submit(time.Now(), Token(n+1), model.Job{ID: model.JobID(fmt.Sprintf("p0~%d", n)), Branch: "b",
		Workload: "w", Kind: model.KindBatch, Tier: model.TierNormal, Tasks: 1, Size: model.Resources{MilliCPU: 1000}, Restartable: true})
}

// round polls all workers, carries the commands out and takes what has come back.
func (h *benchHost) round() {
	h.owner.Tick(time.Now())
	for id, w := range h.workers {
		h.owner.Reported(time.Now(), time.Now(), id, w.report(id, h.log.Epoch()), nil)
	}
	h.drain()
	timeout := time.After(time.Millisecond)
	for {
		select {
		case deliver := <-h.results:
			deliver(time.Now())
			h.drain()
		case <-timeout:
			return
		}
	}
}

func (h *benchHost) drain() {
	for commands := h.owner.Commands(); len(commands) > 0; commands = h.owner.Commands() {
		for _, c := range commands {
			h.carryOut(c)
		}
	}
}

func (h *benchHost) carryOut(c Command) {
	switch c := c.(type) {
	case Append:
		go func() {
			err := h.log.Append(context.Background(), c.Records)
			position := h.log.Position()
			h.results <- func(now time.Time) { h.owner.Appended(now, c.Token, position, err) }
		}()
	case TakeSnapshot:
		go func() {
			err := h.log.Snapshot(context.Background(), c.Data, c.Through)
			h.results <- func(now time.Time) { h.owner.SnapshotTaken(now, err) }
		}()
	case ConfirmOwnership:
		go func() {
			err := h.log.Confirm(context.Background())
			h.results <- func(now time.Time) { confirmed(h.owner, now, h.log.Horizon(), err) }
		}()
	case StartTask:
		ref := platform.TaskRef{Task: c.Start.Task, Attempt: c.Start.Attempt}
		h.workers[c.Worker].tasks[ref] = true
		h.owner.StartReturned(time.Now(), c.Worker, ref, nil)
	case ForgetAttempts:
		for _, ref := range c.Refs {
			delete(h.workers[c.Worker].tasks, ref)
			h.ended++
		}
	}
}

// report shows every task as done.
func (w *benchWorker) report(id model.WorkerID, epoch int64) platform.Report {
	r := platform.Report{Worker: id, Boot: "a", Clock: w.clock, Epoch: epoch, Capacity: model.Resources{MilliCPU: 128_000}}
	for ref := range w.tasks {
		r.Tasks = append(r.Tasks, platform.TaskReport{TaskRef: ref, Partition: "p0", Epoch: epoch, State: platform.TaskDone, Ran: time.Second})
	}
	return r
}

// BenchmarkRecovery measures the parts of a takeover with so many jobs in the log.
func BenchmarkRecovery(b *testing.B) {
	for _, jobs := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			store := newSlowStore()
			l, _ := benchLog(b, store, 0)
			for n := 0; n < jobs; n += 100 {
				if err := l.Append(context.Background(), benchRecords(n, 100)); err != nil {
					b.Fatal(err)
				}
			}
			var takeover, rebuild time.Duration
			for b.Loop() {
				begun := time.Now()
				l, replay := benchLog(b, store, 0)
				takeover += time.Since(begun)
				begun = time.Now()
				if _, err := NewOwner(DefaultOwnerOptions("p0", l.Epoch(), l.Lead()), replay, l.Horizon(), newScheduler(), time.Now()); err != nil {
					b.Fatal(err)
				}
				rebuild += time.Since(begun)
			}
			b.ReportMetric(float64(takeover.Microseconds())/1000/float64(b.N), "takeover-ms")
			b.ReportMetric(float64(rebuild.Microseconds())/1000/float64(b.N), "rebuild-ms")
		})
	}
}

func benchRecords(from, n int) [][]byte {
	var records [][]byte
	for i := from; i < from+n; i++ {
		job := model.Job{ID: model.JobID(fmt.Sprintf("p0~%d", i)), Branch: "b", Workload: "w", Kind: model.KindBatch,
			Tier: model.TierNormal, Tasks: 1, Size: model.Resources{MilliCPU: 1000}, Restartable: true}
		records = append(records, encode(logged{Submitted: &jobSubmitted{Job: job}}))
		records = append(records, encode(logged{Placed: &taskPlaced{Task: taskID(job.ID, 0), Attempt: 1,
			Worker: model.WorkerID(fmt.Sprintf("w%d", i%48)), Boot: "a", Size: job.Size, Epoch: 1}}))
	}
	return records
}

// BenchmarkTick measures an idle owner's poll round over so many workers that run
// four tasks each: what a larger partition costs in one tick and its reports.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{16, 128, 411} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			l, replay := benchLog(b, newFakeStore(), 0)
			o, err := NewOwner(DefaultOwnerOptions("p0", l.Epoch(), l.Lead()), replay, l.Horizon(), newScheduler(), time.Now())
			if err != nil {
				b.Fatal(err)
			}
			now := time.Now()
			o.SetBranches(now, []model.Branch{{ID: "b", Share: 1}})
			h := newBenchHost(o, l, workers)
			for n := range workers * 4 {
				h.submit(n)
			}
			for range 50 {
				h.round()
			}
			b.ResetTimer()
			for b.Loop() {
				o.Tick(time.Now())
				o.Summary()
				o.Commands()
			}
		})
	}
}

// BenchmarkAtRest counts the store calls of an owner that has nothing to decide,
// for one second of the driven clock each.
func BenchmarkAtRest(b *testing.B) {
	w := newWorld(3)
	w.takeOver()
	w.brisk(b, 0, 5, time.Second, "")
	w.store.reads, w.store.writes = 0, 0
	for b.Loop() {
		w.brisk(b, 0, 1, time.Second, "")
	}
	b.ReportMetric(float64(w.store.reads)/float64(b.N), "reads/s-at-10s-lead")
	b.ReportMetric(float64(w.store.writes)/float64(b.N), "writes/s")
}
