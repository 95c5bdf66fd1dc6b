package membership

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"filbertcross/internal/event"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
	"filbertcross/internal/platform"
)

const (
	benchTime       = 5 * time.Second
	benchPartitions = 4  // owned by each VM
	segmentHeaders  = 66 // bytes of Ethernet, IP and TCP headers around each message and its acknowledgement
)

// countedConn counts bytes and writes of a client's connection, both directions.
type countedConn struct {
	net.Conn
	bytes, messages *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	c.messages.Add(1)
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	c.messages.Add(1)
	return n, err
}

// BenchmarkHeartbeats measures a VM's bytes a second, sent and received, with every
// VM's digest changing at every tick.
func BenchmarkHeartbeats(b *testing.B) {
	for _, vms := range []int{3, 9, 18, 30} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) { benchHeartbeats(b, vms) })
	}
}

func benchHeartbeats(b *testing.B, vms int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var bytes, messages atomic.Int64
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		return countedConn{conn, &bytes, &messages}, err
	}
	var list []platform.VM
	var members []*Membership
	for i := range vms {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := peer.NewServer(peer.Options{}, event.Discard{})
		client := peer.NewClient(peer.Options{Dial: dial}, event.Discard{})
		self := Member{ID: model.VMID(fmt.Sprintf("entry-%d-0a1b2c", i)), Address: l.Addr().String()}
		m := New(Options{Seed: uint64(i)}, self, client, busyDigest(i), event.Discard{})
		m.Register(server)
		go func() { _ = server.Serve(ctx, l) }()
		go func() { _ = m.Run(ctx) }()
		list = append(list, platform.VM{Role: platform.RoleEntry, Address: self.Address})
		members = append(members, m)
	}
	for _, m := range members {
		m.Update(list)
	}
	time.Sleep(2 * time.Second)
	bytes.Store(0)
	messages.Store(0)
	b.ResetTimer()
	for range b.N {
		time.Sleep(benchTime)
	}
	seconds := benchTime.Seconds() * float64(b.N)
	// Every byte counts for the VM that sends it and for the one that receives it.
	perVM := 2 / seconds / float64(vms)
	b.ReportMetric(float64(bytes.Load())*perVM, "B/s/VM")
	b.ReportMetric(float64(bytes.Load()+2*segmentHeaders*messages.Load())*perVM, "B/s/VM-with-headers")
	for _, m := range members {
		for _, other := range m.Members() {
			if other.State != Alive || len(m.Members()) != vms {
				b.Errorf("%s sees %s as %s, %d members", m.self.ID, other.ID, other.State, len(m.Members()))
			}
		}
	}
}

// busyDigest changes every time that it is read.
func busyDigest(vm int) func() Digest {
	var n atomic.Int64
	return func() Digest {
		i := int(n.Add(1))
		d := Digest{Revision: 7, FreeSlots: map[string]int{"zalibook": i % 50}, Queued: map[string]int{"zalibook": i % 9}, Partitions: map[model.PartitionID]Tenancy{}}
		for p := range benchPartitions {
			id := model.PartitionID(fmt.Sprintf("nl-noord-%d-%d", vm, p))
			d.Partitions[id] = Tenancy{Epoch: 12, Free: model.Resources{MilliCPU: int64(64000 + i), MemoryMiB: 131072, Accelerators: 2}, Waiting: i % 100}
		}
		return d
	}
}
