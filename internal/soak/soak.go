package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/platform/standin"
)

// Options are the settings of one soak.
type Options struct {
	Binary   string // filbertcross
	Dir      string // for settings and logs
	Seed     uint64
	Duration time.Duration // of faults and load
	VMs      int
	Workers  int
	Out      io.Writer // one line a fault
}

// Timing of a soak.
const (
	faultGap    = 1200 * time.Millisecond // mean between faults: several overlap
	faultLength = 4 * time.Second         // mean
	settleTime  = 40 * time.Second        // after the last fault, within which everything is settled
)

// run is the state of one soak.
type run struct {
	opts    Options
	site    *standin.Platform
	vms     []*vm
	proxies []*Proxy // before each executor
	client  standin.Client
	version int64
}

// Run makes one soak and returns what went wrong.
func Run(ctx context.Context, opts Options) ([]string, error) {
	site, err := standin.NewPlatform(opts.Workers, opts.Seed)
	if err != nil {
		return nil, err
	}
	defer site.Close()
	r := &run{opts: opts, site: site, version: 1, client: standin.Client{HTTP: &http.Client{}}}
	for _, e := range site.Workers {
		p, err := NewProxy(e.Address())
		if err != nil {
			return nil, err
		}
		defer p.Close()
		e.SetAdvertisedAddress(p.Address())
		r.proxies = append(r.proxies, p)
	}
	processes, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer func() {
		stop()
		for _, v := range r.vms {
			v.signal(syscall.SIGCONT, 0)
			v.signal(syscall.SIGKILL, 0)
		}
		running.Wait()
	}()
	for i := range opts.VMs {
		v, err := newVM(site, opts.Binary, opts.Dir, opts.Seed, i)
		if err != nil {
			return nil, err
		}
		r.vms = append(r.vms, v)
		running.Go(func() { v.run(processes) })
	}
	time.Sleep(2 * time.Second)
	accepted := r.disrupt(ctx)
	r.settle(ctx, accepted)
	for _, v := range r.vms {
		if v.ownEnd > 0 {
			site.Checker.AddViolation("%s ended by itself %d times, see %s", v.name, v.ownEnd, v.log.Name())
		}
	}
	faults, starts := site.Checker.Violations()
	_, err = fmt.Fprintf(opts.Out, "seed %d: %d submissions accepted, %d starts, %d faults found\n", opts.Seed, len(accepted), starts, len(faults))
	return faults, errors.Wrap(err, "write")
}

// disrupt runs load and faults together and returns what was accepted.
func (r *run) disrupt(ctx context.Context) []*submission {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 1))
	end := time.Now().Add(r.opts.Duration)
	go r.inject(ctx, rand.New(rand.NewPCG(r.opts.Seed, 2)), end)
	var mu sync.Mutex
	var accepted []*submission
	var callers sync.WaitGroup
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		own := rand.New(rand.NewPCG(rng.Uint64(), 3))
		callers.Go(func() {
			if s := r.submit(ctx, own, n); s != nil {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, s)
			}
		})
		time.Sleep(submitEvery)
	}
	callers.Wait()
	return accepted
}

func (r *run) inject(ctx context.Context, rng *rand.Rand, end time.Time) {
	begun := time.Now()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(faultGap)))
		if time.Now().After(end) {
			return
		}
		f := faults[rng.IntN(len(faults))]
		length := min(time.Duration(rng.ExpFloat64()*float64(faultLength)), 3*faultLength)
		whom := f.do(r, rng, length)
		_, _ = fmt.Fprintf(r.opts.Out, "%8.3f %s %s for %v\n", time.Since(begun).Seconds(), f.name, whom, length.Round(time.Millisecond))
	}
}

// settle waits until every accepted submission has its final state.
func (r *run) settle(ctx context.Context, open []*submission) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 4))
	time.Sleep(3 * faultLength) // the last faults end
	deadline := time.Now().Add(settleTime)
	for len(open) > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		var left []*submission
		for _, s := range open {
			if !r.settled(ctx, rng, s) {
				left = append(left, s)
			}
		}
		open = left
		time.Sleep(100 * time.Millisecond)
	}
	for _, s := range open {
		r.site.Checker.AddViolation("LOST: %s (%s) is not settled %v after the last fault", s.id, s.spec, settleTime)
	}
}
