package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"filbertcross/platform/standin"
)

// Size of a crowd of clients outside the limits of the callers' API.
const (
	crowdClients   = 80
	crowdBodyBytes = 262_144
	// meanCrowdInterval is longer than that of faults, as few of them meet such clients.
	meanCrowdInterval = 5 * time.Second
	crowdInterval     = 20 * time.Millisecond // between two bytes of a client that trickles
)

// crowdKind is what the clients of a crowd send before they stop short of the end of their requests.
type crowdKind struct {
	name     string
	text     func(id string) string
	trickles bool // they go on with a byte at a time
}

var crowdKinds = []crowdKind{
	{name: "silent", text: func(string) string { return "" }},
	{name: "head", text: func(id string) string { return crowdHead(id, "X-Long: "+strings.Repeat("x", 1<<20)) }},
	{name: "lines", text: func(id string) string { return crowdHead(id, strings.Repeat("a:\r\n", 4000)) }},
	{name: "empty lines", text: func(string) string { return strings.Repeat("\r\n", 100_000) }},
	{name: "body", text: crowdBody},
	{name: "trickle", text: crowdBody, trickles: true},
	{name: "chunks", text: func(id string) string {
		return crowdHead(id, "Transfer-Encoding: chunked\r\n\r\n") + strings.Repeat("1\r\n \r\n", crowdBodyBytes/2)
	}},
}

func crowdHead(id, rest string) string {
	return "POST " + standin.QueuePrefix + id + " HTTP/1.1\r\nHost: " + standin.QueueHost + "\r\n" + rest
}

func crowdBody(id string) string {
	const short = 100 // bytes that are left out
	return crowdHead(id, fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes)) + strings.Repeat(" ", crowdBodyBytes-short)
}

// injectCrowds sends crowds until end and prints each. They have random numbers of their own, so that each seed
// has the faults that it had without them.
func (r *soakRun) injectCrowds(ctx context.Context, rng *rand.Rand, end time.Time) {
	start := time.Now()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(meanCrowdInterval)))
		if time.Now().After(end) {
			return
		}
		d := min(time.Duration(rng.ExpFloat64()*float64(meanFaultDuration)), 3*meanFaultDuration)
		target := r.crowd(rng, d)
		_, _ = fmt.Fprintf(r.opts.Out, "%8.3f crowd %s for %v\n", time.Since(start).Seconds(), target, d.Round(time.Millisecond))
	}
}

// crowd opens connections to a VM for a time, with clients of one kind. Their IDs are not those of
// submissions.
func (r *soakRun) crowd(rng *rand.Rand, d time.Duration) string {
	v, kind := r.randomVM(rng), crowdKinds[rng.IntN(len(crowdKinds))]
	for i := range crowdClients {
		go visit(v.callerAddress, kind, fmt.Sprintf("%016x", ^uint64(i)), time.Now().Add(d))
	}
	return v.name + " " + kind.name
}

// visit is one client of a crowd. It ends when the VM closes its connection, or at the given time.
func visit(address string, kind crowdKind, id string, end time.Time) {
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return // the VM is down
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	if _, err := io.WriteString(conn, kind.text(id)); err != nil {
		return
	}
	for kind.trickles && err == nil {
		time.Sleep(crowdInterval)
		_, err = io.WriteString(conn, " ")
	}
	_, _ = io.Copy(io.Discard, conn) // until the VM closes it
}
