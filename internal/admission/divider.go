package admission

import (
	"math"
	"sync"
	"time"
)

// Division of an account's limit among the VMs.
const (
	rateTime = 2 * time.Second // over which arrivals are averaged
	// idleRate is assumed, in arrivals a second, of a VM in addition to what it reports, so that callers
	// who move to another VM are admitted there.
	idleRate = 0.05
	// forgetTime is the time without a report after which a VM gets no part.
	forgetTime = 4 * time.Second
)

// Divider divides the limits of accounts among the VMs. The zero value has no
// reports. It is safe for concurrent use.
type Divider struct {
	mu  sync.Mutex
	vms map[string]*vmArrivals
}

// vmArrivals are the arrivals at one VM.
type vmArrivals struct {
	average map[Stream]float64 // count that decays with rateTime
	at      time.Duration
}

// Report records the arrivals at a VM since its last report.
func (d *Divider) Report(vm string, arrivals map[Stream]int, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.vms[vm]
	if v == nil {
		v = &vmArrivals{average: map[Stream]float64{}, at: now}
		if d.vms == nil {
			d.vms = map[string]*vmArrivals{}
		}
		d.vms[vm] = v
	}
	decay := math.Exp(-max(now-v.at, 0).Seconds() / rateTime.Seconds())
	for stream := range v.average {
		if v.average[stream] *= decay; v.average[stream] < idleRate {
			delete(v.average, stream)
		}
	}
	for stream, n := range arrivals {
		v.average[stream] += float64(n)
	}
	v.at = max(now, v.at)
}

// Parts returns the VM's parts of the limits of those of the given streams whose accounts send more,
// to all queues together, than their rates. limitOf returns the limit of an account. Each stream has
// the part of its account's limit that it has of the arrivals; the parts of all VMs add up to that.
func (d *Divider) Parts(vm string, streams map[Stream]bool, limitOf func(account string) Limit, now time.Duration) map[Stream]Limit {
	d.mu.Lock()
	defer d.mu.Unlock()
	ofStream, ofAccount := map[Stream]float64{}, map[string]float64{}
	reporting := 0.0
	for name, v := range d.vms {
		if now-v.at > forgetTime {
			delete(d.vms, name)
			continue
		}
		reporting++
		for stream, n := range v.average {
			ofStream[stream] += n / rateTime.Seconds()
			ofAccount[stream.Account] += n / rateTime.Seconds()
		}
	}
	v := d.vms[vm]
	if v == nil {
		return nil
	}
	parts := map[Stream]Limit{}
	for stream := range streams {
		limit, total := limitOf(stream.Account), ofAccount[stream.Account]
		if limit.PerSecond <= 0 || total <= limit.PerSecond {
			continue
		}
		own := v.average[stream]/rateTime.Seconds() + idleRate
		parts[stream] = limit.scale(ofStream[stream] / total * own / (ofStream[stream] + idleRate*reporting))
	}
	return parts
}
