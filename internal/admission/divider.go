package admission

import (
	"math"
	"sync"
	"time"
)

// Division of an account's rate among the VMs.
const (
	rateTime = 2 * time.Second // over which arrivals are averaged
	// idleRate is assumed, in arrivals a second, of a VM in addition to what it reports, so that callers
	// who move to another VM are admitted there.
	idleRate = 0.05
	// forgetTime is the time without a report after which a VM gets no part.
	forgetTime = 4 * time.Second
)

// Divider divides the rates of accounts among the VMs. It is safe for concurrent use.
type Divider struct {
	mu  sync.Mutex
	vms map[string]*vmArrivals
}

// vmArrivals are the arrivals at one VM.
type vmArrivals struct {
	average map[string]float64 // count that decays with rateTime, by account
	at      time.Duration
}

// NewDivider returns a divider without reports.
func NewDivider() *Divider { return &Divider{vms: map[string]*vmArrivals{}} }

// Report records the arrivals at a VM since its last report.
func (d *Divider) Report(vm string, arrivals map[string]int, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.vms[vm]
	if v == nil {
		v = &vmArrivals{average: map[string]float64{}, at: now}
		d.vms[vm] = v
	}
	decay := math.Exp(-max(now-v.at, 0).Seconds() / rateTime.Seconds())
	for account := range v.average {
		if v.average[account] *= decay; v.average[account] < idleRate {
			delete(v.average, account)
		}
	}
	for account, n := range arrivals {
		v.average[account] += float64(n)
	}
	v.at = max(now, v.at)
}

// Parts returns the VM's parts of the rates, in submissions a second, of all accounts that
// send more than their rates; rateOf returns an account's rate, 0 if it is not limited. The parts of
// all VMs that report add up to the rate.
func (d *Divider) Parts(vm string, rateOf func(account string) float64, now time.Duration) map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	totals := map[string]float64{}
	reporting := 0.0
	for name, v := range d.vms {
		if now-v.at > forgetTime {
			delete(d.vms, name)
			continue
		}
		reporting++
		for account, n := range v.average {
			totals[account] += n / rateTime.Seconds()
		}
	}
	v := d.vms[vm]
	if v == nil {
		return nil
	}
	var parts map[string]float64
	for account, total := range totals {
		rate := rateOf(account)
		if rate <= 0 || total <= rate {
			continue
		}
		if parts == nil {
			parts = map[string]float64{}
		}
		own := v.average[account]/rateTime.Seconds() + idleRate
		parts[account] = rate * own / (total + idleRate*reporting)
	}
	return parts
}
