package membership

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
	"filbertcross/internal/platform"
)

const (
	benchTime            = 5 * time.Second
	partitionsPerBenchVM = 4
	segmentHeaderBytes   = 66 // Ethernet, IP and TCP headers of each message and of its acknowledgement
)

// countingConn counts the bytes and the reads and writes of a client's connection.
type countingConn struct {
	net.Conn
	bytes, messages *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	c.messages.Add(1)
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	c.messages.Add(1)
	return n, err
}

// BenchmarkHeartbeats measures the bytes per second that a VM sends and receives while
// every VM's digest changes at every tick.
func BenchmarkHeartbeats(b *testing.B) {
	for _, vms := range []int{3, 9, 18, 30} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) { benchHeartbeats(b, vms) })
	}
}

// benchVM is one VM of a cluster connected over loopback.
type benchVM struct {
	*Membership
	server *peer.Server
	stop   context.CancelFunc
	cut    *atomic.Bool // messages from and to it are dropped
}

// cutFilter is a peer.FaultInjector that drops messages from and to VMs that are cut off.
type cutFilter struct {
	own *atomic.Bool
	all *sync.Map // *atomic.Bool by address
}

func (l cutFilter) RequestFault(address string, _ peer.Method) peer.Fault {
	other, ok := l.all.Load(address)
	return peer.Fault{Drop: l.own.Load() || (ok && other.(*atomic.Bool).Load())}
}

func (l cutFilter) ResponseFault(address string, m peer.Method) peer.Fault {
	return l.RequestFault(address, m)
}

func startVMs(b *testing.B, vms int, dial func(context.Context, string) (net.Conn, error)) []*benchVM {
	var cluster []*benchVM
	var list []platform.VM
	var cuts sync.Map
	for i := range vms {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		b.Cleanup(stop)
		vm := &benchVM{server: peer.NewServer(peer.Options{}, event.Discard{}), stop: stop, cut: &atomic.Bool{}}
		address := l.Addr().String()
		cuts.Store(address, vm.cut)
		client := peer.NewClient(peer.Options{Dial: dial, FaultInjector: cutFilter{vm.cut, &cuts}}, event.Discard{})
		b.Cleanup(client.Close)
		self := Member{ID: model.VMID(fmt.Sprintf("entry-%d-0a1b2c", i)), Address: address}
		vm.Membership = New(Options{Seed: uint64(i)}, self, client, changingDigest(i), event.Discard{})
		vm.Register(vm.server)
		go func() { _ = vm.server.Serve(ctx, l) }()
		go func() { _ = vm.Run(ctx) }()
		list = append(list, platform.VM{Role: platform.RoleEntry, Address: address})
		cluster = append(cluster, vm)
	}
	for _, vm := range cluster {
		vm.UpdateVMList(list)
	}
	return cluster
}

// BenchmarkDetection measures the time until all other VMs see a failed VM as dead.
func BenchmarkDetection(b *testing.B) {
	faults := map[string]func(*benchVM){
		"killed": func(vm *benchVM) {
			vm.stop()
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = vm.server.Shutdown(ctx)
		},
		"cut off": func(vm *benchVM) { vm.cut.Store(true) },
	}
	for name, inject := range faults {
		b.Run(name, func(b *testing.B) {
			cluster := startVMs(b, b.N+9, nil)
			time.Sleep(2 * time.Second)
			b.ResetTimer()
			for i := range b.N {
				inject(cluster[i])
				for _, other := range cluster[i+1:] {
					for stateOf(other, cluster[i].self.ID) != Dead {
						time.Sleep(time.Millisecond)
					}
				}
			}
		})
	}
}

func stateOf(vm *benchVM, id model.VMID) State {
	for _, m := range vm.Members() {
		if m.ID == id {
			return m.State
		}
	}
	return Dead
}

func benchHeartbeats(b *testing.B, vms int) {
	var bytes, messages atomic.Int64
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		return countingConn{conn, &bytes, &messages}, err
	}
	members := startVMs(b, vms, dial)
	time.Sleep(2 * time.Second)
	bytes.Store(0)
	messages.Store(0)
	cpu := cpuTime(b)
	b.ResetTimer()
	for range b.N {
		time.Sleep(benchTime)
	}
	seconds := benchTime.Seconds() * float64(b.N)
	// Each byte counts for its sender and for its receiver.
	perVM := 2 / seconds / float64(vms)
	b.ReportMetric(float64(bytes.Load())*perVM, "B/s/VM")
	b.ReportMetric(float64(bytes.Load()+2*segmentHeaderBytes*messages.Load())*perVM, "B/s/VM-with-headers")
	b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/seconds/float64(vms), "cpu-%/VM")
	for _, m := range members {
		for _, other := range m.Members() {
			if other.State != Alive || len(m.Members()) != vms {
				b.Errorf("%s sees %s as %s, %d members", m.self.ID, other.ID, other.State, len(m.Members()))
			}
		}
	}
}

// changingDigest returns a digest function whose result changes with every call.
func changingDigest(vm int) func() Digest {
	var n atomic.Int64
	return func() Digest {
		i := int(n.Add(1))
		d := Digest{Revision: 7, FreeSlots: map[string]int{"zalibook": i % 50}, Queued: map[string]int{"zalibook": i % 9}, Partitions: map[model.PartitionID]PartitionSummary{}}
		for p := range partitionsPerBenchVM {
			id := model.PartitionID(fmt.Sprintf("nl-noord-%d-%d", vm, p))
			d.Partitions[id] = PartitionSummary{Epoch: 12, Free: model.Resources{MilliCPU: int64(64000 + i), MemoryMiB: 131072, Accelerators: 2}, Waiting: i % 100}
		}
		return d
	}
}

// cpuTime returns the CPU time used by the whole process.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
