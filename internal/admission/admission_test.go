package admission

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// fleet is a Divider with the gates of some VMs that poll it every 500 ms.
type fleet struct {
	divider *Divider
	gates   []*Gate
	now     time.Duration
	short   bool // capacity
	rate    float64
}

func newFleet(vms int, rate float64) *fleet {
	f := &fleet{divider: NewDivider(), now: time.Hour, short: true, rate: rate}
	for range vms {
		f.gates = append(f.gates, NewGate())
	}
	return f
}

func (f *fleet) poll() {
	for i, g := range f.gates {
		f.divider.Report(fmt.Sprint(i), g.TakeArrivals(), f.now)
	}
	for i, g := range f.gates {
		rateOf := func(string) float64 {
			if !f.short {
				return 0
			}
			return f.rate
		}
		g.SetLimits(f.divider.Parts(fmt.Sprint(i), rateOf, f.now), f.now)
	}
}

// send sends perSecond submissions of the account to the VMs in turn and returns the number admitted.
func (f *fleet) send(account string, perSecond int, total time.Duration, vms ...int) int {
	admitted := 0
	step := time.Second / time.Duration(perSecond)
	nextPoll := f.now
	for n, end := 0, f.now+total; f.now < end; n++ {
		if f.now >= nextPoll {
			f.poll()
			nextPoll += 500 * time.Millisecond
		}
		if _, ok := f.gates[vms[n%len(vms)]].Arrive(account, f.now); ok {
			admitted++
		}
		f.now += step
	}
	return admitted
}

// Load: one account sends eight times its rate through three of 36 VMs while capacity is short.
func TestFloodIsLimitedToTheRateOfItsAccountOverAllVMs(t *testing.T) {
	f := newFleet(36, 4)
	f.send("flood", 32, 2*time.Second, 0, 1, 2) // until the owner knows of it
	admitted := f.send("flood", 32, 10*time.Second, 0, 1, 2)
	if admitted < 30 || admitted > 44 {
		t.Fatalf("%d submissions admitted in 10 s, want about 40", admitted)
	}
}

// Load: the same flood while there is room. Nothing is refused.
func TestNothingIsRefusedWhileCapacityIsFree(t *testing.T) {
	f := newFleet(36, 4)
	f.short = false
	if admitted := f.send("flood", 32, 5*time.Second, 0, 1, 2); admitted != 160 {
		t.Fatalf("%d of 160 submissions admitted", admitted)
	}
}

// Load: an account sends within its rate while another floods. None of its submissions is refused.
func TestAccountWithinItsRateIsNotLimited(t *testing.T) {
	f := newFleet(4, 4)
	for range 20 {
		f.send("flood", 32, 200*time.Millisecond, 0, 1)
		for _, g := range f.gates[:2] {
			if _, ok := g.Arrive("usual", f.now); !ok {
				t.Fatal("a submission of an account within its rate is refused")
			}
		}
		f.poll()
		f.now += 500 * time.Millisecond
	}
}

// Load: the callers of a limited account move to another VM.
func TestPartOfTheRateFollowsTheCallers(t *testing.T) {
	f := newFleet(8, 4)
	f.send("flood", 32, 5*time.Second, 0)
	f.send("flood", 32, 5*time.Second, 7)
	if admitted := f.send("flood", 32, 5*time.Second, 7); admitted < 16 || admitted > 24 {
		t.Fatalf("%d submissions admitted in 5 s at the new VM, want about 20", admitted)
	}
}

// Guards against a VM that limits by what a lost owner told it.
func TestOldLimitsAdmitEverything(t *testing.T) {
	g := NewGate()
	g.SetLimits(map[string]float64{"a": 1}, time.Hour)
	g.Arrive("a", time.Hour)
	retryAfter, ok := g.Arrive("a", time.Hour)
	if ok || retryAfter < 900*time.Millisecond || retryAfter > time.Second {
		t.Fatalf("admitted %v, retry after %v, want a refusal for a second", ok, retryAfter)
	}
	if _, ok := g.Arrive("a", time.Hour+MaxAge+1); !ok {
		t.Fatal("refused by limits that are too old")
	}
}

func TestPartsAddUpToTheRate(t *testing.T) {
	d := NewDivider()
	for i := range 5 {
		d.Report(fmt.Sprint(i), map[string]int{"a": i * 10}, time.Hour)
	}
	sum := 0.0
	for i := range 5 {
		sum += d.Parts(fmt.Sprint(i), func(string) float64 { return 3 }, time.Hour)["a"]
	}
	if math.Abs(sum-3) > 1e-9 {
		t.Fatalf("parts add up to %v, want 3", sum)
	}
}
