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

// slowStore answers after 5 ms and accepts at most 300 writes a second.
type slowStore struct {
	*fakeStore
	mu    sync.Mutex
	limit *rate.Limiter
}

func newSlowStore() *slowStore {
	return &slowStore{fakeStore: newFakeStore(), limit: rate.NewLimiter(300, 1)}
}

// begin waits as long as a store call takes, locks the store and returns the function that
// ends the call.
func (s *slowStore) begin() (end func()) {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	return s.mu.Unlock
}

func (s *slowStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Revision) (platform.Revision, error) {
	_ = s.limit.Wait(ctx)
	defer s.begin()()
	return s.fakeStore.CompareAndSwap(ctx, key, value, expected)
}

func (s *slowStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	defer s.begin()()
	return s.fakeStore.Get(ctx, key)
}

func (s *slowStore) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	defer s.begin()()
	return s.fakeStore.List(ctx, prefix)
}

func benchLog(b *testing.B, store platform.Store, interval time.Duration) (*Log, Replay) {
	l, replay, err := TakeOver(context.Background(), store, Options{
		Partition: "p0", VM: "vm", Lead: 30 * time.Second, MinWriteInterval: interval})
	if err != nil {
		b.Fatal(err)
	}
	return l, replay
}

func benchOwner(b *testing.B, l *Log, replay Replay) *Owner {
	o, err := NewOwner(DefaultOwnerOptions("p0", l.Epoch(), l.Lead()), replay, l.Horizon(), newScheduler(), time.Now())
	if err != nil {
		b.Fatal(err)
	}
	return o
}

func benchJob(n int) model.Job {
	return model.Job{ID: model.JobID(fmt.Sprintf("p0~%d", n)), Branch: "b", Workload: "w", Kind: model.KindBatch,
		Tier: model.TierNormal, Tasks: 1, Size: model.Resources{MilliCPU: 1000}, Restartable: true}
}

// BenchmarkPlacement drives one owner through submission, placement, start and end of
// single-task jobs against slowStore. It reports placements per second and store calls per
// placement.
func BenchmarkPlacement(b *testing.B) {
	for _, interval := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond} {
		for _, jobs := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("interval=%v/jobsPerTick=%d", interval, jobs),
				func(b *testing.B) { benchPlacement(b, interval, jobs) })
		}
	}
}

func benchPlacement(b *testing.B, interval time.Duration, jobsPerTick int) {
	store := newSlowStore()
	h := newBenchHost(b, store, interval, 48)
	store.fakeStore.writes, store.reads = 0, 0
	started := time.Now()
	for n := 0; h.ended < b.N; {
		for range min(jobsPerTick, b.N-n) {
			n++
			h.owner.Submit(time.Now(), Token(n), benchJob(n))
		}
		h.runRound()
	}
	b.ReportMetric(float64(b.N)/time.Since(started).Seconds(), "placements/s")
	b.ReportMetric(float64(store.fakeStore.writes)/float64(b.N), "writes/placement")
	b.ReportMetric(float64(store.reads)/float64(b.N), "reads/placement")
}

// benchHost carries out an owner's commands: log operations on goroutines, worker calls
// immediately. A task is done at the next report of its worker.
type benchHost struct {
	owner   *Owner
	log     *Log
	running map[model.WorkerID]map[platform.TaskRef]bool
	results chan func(time.Time)
	ended   int
}

func newBenchHost(b *testing.B, store platform.Store, interval time.Duration, workers int) *benchHost {
	l, replay := benchLog(b, store, interval)
	h := &benchHost{owner: benchOwner(b, l, replay), log: l, results: make(chan func(time.Time), 1000),
		running: map[model.WorkerID]map[platform.TaskRef]bool{}}
	h.owner.SetBranches(time.Now(), []model.Branch{{ID: "b", Share: 1}})
	var vms []platform.VM
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		h.running[model.WorkerID(id)] = map[platform.TaskRef]bool{}
		vms = append(vms, platform.VM{ID: id, Role: platform.RoleWorker, Rack: fmt.Sprint(i / 8)})
	}
	h.owner.WorkersListed(time.Now(), vms)
	h.runRound()
	return h
}

// runRound polls all workers, carries out the commands and delivers the results that have
// arrived.
func (h *benchHost) runRound() {
	h.owner.Tick(time.Now())
	for id := range h.running {
		h.owner.WorkerReported(time.Now(), time.Now(), id, h.report(id), nil)
	}
	h.carryOutAll()
	for timeout := time.After(time.Millisecond); ; {
		select {
		case deliver := <-h.results:
			deliver(time.Now())
			h.carryOutAll()
		case <-timeout:
			return
		}
	}
}

func (h *benchHost) report(id model.WorkerID) platform.WorkerReport {
	r := platform.WorkerReport{Worker: id, Boot: "a", Epoch: h.log.Epoch(), Capacity: model.Resources{MilliCPU: 128_000}}
	for ref := range h.running[id] {
		r.Tasks = append(r.Tasks, platform.TaskReport{TaskRef: ref, Partition: "p0", Epoch: r.Epoch, State: platform.TaskDone, Ran: time.Second})
	}
	return r
}

func (h *benchHost) carryOutAll() {
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
			err := h.log.ConfirmOwnership(context.Background())
			h.results <- func(now time.Time) { deliverConfirmation(h.owner, now, h.log.Horizon(), err) }
		}()
	case StartTask:
		ref := platform.TaskRef{Task: c.Start.Task, Attempt: c.Start.Attempt}
		h.running[c.Worker][ref] = true
		h.owner.StartReturned(time.Now(), c.Worker, ref, nil)
	case ForgetAttempts:
		for _, ref := range c.Refs {
			delete(h.running[c.Worker], ref)
			h.ended++
		}
	}
}

// BenchmarkRecovery measures the parts of a takeover for different numbers of jobs in the
// log.
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
				started := time.Now()
				l, replay := benchLog(b, store, 0)
				taken := time.Now()
				benchOwner(b, l, replay)
				takeover += taken.Sub(started)
				rebuild += time.Since(taken)
			}
			b.ReportMetric(float64(takeover.Microseconds())/1000/float64(b.N), "takeover-ms")
			b.ReportMetric(float64(rebuild.Microseconds())/1000/float64(b.N), "rebuild-ms")
		})
	}
}

func benchRecords(from, n int) [][]byte {
	var records [][]byte
	for i := from; i < from+n; i++ {
		job := benchJob(i)
		placed := taskPlaced{Task: taskID(job.ID, 0), Attempt: 1, Worker: model.WorkerID(fmt.Sprintf("w%d", i%48)),
			Boot: "a", Size: job.Size, Epoch: 1}
		records = append(records, encode(logRecord{Submitted: &jobSubmitted{Job: job}}), encode(logRecord{Placed: &placed}))
	}
	return records
}

// BenchmarkTick measures an owner's tick for different numbers of workers with four tasks
// each.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{16, 128, 411} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			h := newBenchHost(b, newSlowStore(), 0, workers)
			for n := range workers * 4 {
				h.owner.Submit(time.Now(), Token(n), benchJob(n))
			}
			for len(h.owner.attempts) < workers*4 {
				deliver := <-h.results
				deliver(time.Now())
				h.carryOutAll()
			}
			for b.Loop() {
				h.owner.Tick(time.Now())
				h.owner.Commands()
			}
		})
	}
}

// BenchmarkAtRest counts the store calls of an owner that has nothing to decide. One
// iteration is one second of simulated time.
func BenchmarkAtRest(b *testing.B) {
	tc := newTestCluster(3)
	tc.takeOver()
	tc.runRounds(b, 0, 5, time.Second, "")
	tc.store.reads, tc.store.writes = 0, 0
	for b.Loop() {
		tc.runRounds(b, 0, 1, time.Second, "")
	}
	b.ReportMetric(float64(tc.store.reads)/float64(b.N), "reads/s-at-10s-lead")
	b.ReportMetric(float64(tc.store.writes)/float64(b.N), "writes/s")
}
