package rollout_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/membership"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
	"filbertcross/internal/platform"
	"filbertcross/internal/rollout"
	"filbertcross/internal/sheet"
	"filbertcross/internal/standin"
)

const (
	benchVMs      = 9
	benchBranches = 260
	benchRows     = 10 // per branch
	idleTime      = 10 * time.Second
)

// disconnectableStore is the connection of one VM to the store.
type disconnectableStore struct {
	platform.Store
	disconnected atomic.Bool
}

func (s *disconnectableStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if s.disconnected.Load() {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *disconnectableStore) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	if s.disconnected.Load() {
		return nil, platform.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s *disconnectableStore) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Entry, platform.Revision, error) {
	if s.disconnected.Load() {
		return nil, 0, platform.ErrUnavailable
	}
	entries, next, err := s.Store.Watch(ctx, prefix, after, wait)
	if s.disconnected.Load() {
		return nil, 0, platform.ErrUnavailable
	}
	return entries, next, err
}

// testCluster is nine VMs connected over loopback and a store with the platform's rate
// limits.
type testCluster struct {
	store    *standin.Store
	stores   []*disconnectableStore
	rollouts []*rollout.Rollout
}

func startTestCluster(b *testing.B) *testCluster {
	ctx, cancel := context.WithCancel(context.Background())
	f := &testCluster{store: standin.NewStore(2000, 300)}
	web := httptest.NewServer(f.store.Handler())
	b.Cleanup(web.Close)
	b.Cleanup(cancel)
	var list []platform.VM
	var members []*membership.Membership
	for i := range benchVMs {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := peer.NewServer(peer.Options{}, event.Discard{})
		client := peer.NewClient(peer.Options{}, event.Discard{})
		store := &disconnectableStore{Store: platform.NewHTTPStore(web.URL, 2*time.Second)}
		self := membership.Member{ID: model.VMID(fmt.Sprint("vm-", i)), Address: l.Addr().String()}
		var r *rollout.Rollout
		digest := func() membership.Digest {
			if r == nil {
				return membership.Digest{}
			}
			return membership.Digest{Revision: r.Source().Revision()}
		}
		m := membership.New(membership.Options{Seed: uint64(i)}, self, client, digest, event.Discard{})
		r = rollout.New(store, m, client, event.Discard{})
		m.Register(server)
		r.Register(server)
		go func() { _ = server.Serve(ctx, l) }()
		go func() { _ = m.Run(ctx) }()
		go func() { _ = r.Run(ctx) }()
		f.stores = append(f.stores, store)
		f.rollouts = append(f.rollouts, r)
		list = append(list, platform.VM{Role: platform.RoleEntry, Address: self.Address})
		members = append(members, m)
	}
	for _, m := range members {
		m.UpdateVMList(list)
	}
	return f
}

// apply applies the sheet and returns the time until all VMs have activated it.
func (f *testCluster) apply(b *testing.B, base int64, s sheet.Sheet) time.Duration {
	begun := time.Now()
	accepted, err := f.rollouts[0].Apply(context.Background(), base, s)
	if err != nil {
		b.Fatal(err)
	}
	for _, r := range f.rollouts {
		for r.Source().Revision() < accepted.Revision {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(begun)
}

// fullSheet returns a sheet of all branches with sheetNumber as the share of every row.
func fullSheet(sheetNumber int64) sheet.Sheet {
	var s sheet.Sheet
	for i := range benchBranches {
		b := model.Branch{ID: model.BranchID(fmt.Sprintf("Висше училище %d", i)), Share: sheetNumber}
		s.Branches = append(s.Branches, b)
		for row := range benchRows {
			s.Workloads = append(s.Workloads, model.Workload{Branch: b.ID, ID: model.WorkloadID(fmt.Sprint("rebuild-", row)),
				Kind: model.KindBatch, Share: sheetNumber, Tasks: 8, Size: model.Resources{MilliCPU: 1500, MemoryMiB: 2048}, Deadline: time.Hour})
		}
	}
	return s
}

// benchChanges applies changes sequentially and reports times and store calls.
func benchChanges(b *testing.B, f *testCluster, next func(i int) sheet.Sheet) {
	base := f.rollouts[0].Source().Revision()
	before := f.store.Counts()
	var times []time.Duration
	for i := range b.N {
		times = append(times, f.apply(b, base+int64(i), next(i)))
	}
	b.StopTimer()
	time.Sleep(100 * time.Millisecond)
	after := f.store.Counts()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "median-ms")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "longest-ms")
	b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes/change")
	b.ReportMetric(float64(after.Reads+after.Watches-before.Reads-before.Watches)/float64(b.N), "reads/change")
	b.ReportMetric(float64(after.WriteBytes-before.WriteBytes)/float64(b.N), "written-B/change")
}

// BenchmarkFirstSheet applies the first sheet to nine VMs without a configuration.
func BenchmarkFirstSheet(b *testing.B) {
	var longest time.Duration
	for range b.N {
		b.StopTimer()
		f := startTestCluster(b)
		time.Sleep(time.Second)
		b.StartTimer()
		longest = max(longest, f.apply(b, 0, fullSheet(1)))
	}
	b.ReportMetric(float64(longest.Microseconds())/1000, "longest-ms")
}

// BenchmarkOneRow changes one branch of 260 with 2,600 rows.
func BenchmarkOneRow(b *testing.B) {
	f := startTestCluster(b)
	s := fullSheet(1)
	f.apply(b, 0, s)
	b.ResetTimer()
	benchChanges(b, f, func(i int) sheet.Sheet {
		s.Workloads[i%len(s.Workloads)].Tasks++
		return s
	})
}

// BenchmarkOneRowWithDisconnectedVM is BenchmarkOneRow with one VM disconnected from the
// store.
func BenchmarkOneRowWithDisconnectedVM(b *testing.B) {
	f := startTestCluster(b)
	s := fullSheet(1)
	f.apply(b, 0, s)
	f.stores[benchVMs-1].disconnected.Store(true)
	b.ResetTimer()
	benchChanges(b, f, func(i int) sheet.Sheet {
		s.Workloads[i%len(s.Workloads)].Tasks++
		return s
	})
}

// BenchmarkMorningSheet changes every row of 260 branches.
func BenchmarkMorningSheet(b *testing.B) {
	f := startTestCluster(b)
	f.apply(b, 0, fullSheet(1))
	b.ResetTimer()
	benchChanges(b, f, func(i int) sheet.Sheet { return fullSheet(int64(i) + 2) })
}

// BenchmarkMemory measures the live heap per VM of the configuration and its history after
// many one-row changes, as the average of nine VMs in one process.
func BenchmarkMemory(b *testing.B) {
	before := liveHeap()
	f := startTestCluster(b)
	s := fullSheet(1)
	f.apply(b, 0, s)
	const changes = 40
	for i := range changes {
		s.Workloads[i].Tasks++
		f.apply(b, int64(i)+1, s)
	}
	for range b.N {
		time.Sleep(time.Millisecond)
	}
	b.ReportMetric(float64(liveHeap()-before)/benchVMs/(1<<20), "MiB/VM")
	runtime.KeepAlive(f)
}

func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkAtRest counts the calls to the store while nothing changes.
func BenchmarkAtRest(b *testing.B) {
	f := startTestCluster(b)
	f.apply(b, 0, fullSheet(1))
	time.Sleep(time.Second)
	before := f.store.Counts()
	b.ResetTimer()
	for range b.N {
		time.Sleep(idleTime)
	}
	after := f.store.Counts()
	seconds := idleTime.Seconds() * float64(b.N)
	b.ReportMetric(float64(after.Reads+after.Watches+after.Writes-before.Reads-before.Watches-before.Writes)/seconds, "calls/s")
	b.ReportMetric(float64(after.ActiveWatches), "waiting-watches")
}
