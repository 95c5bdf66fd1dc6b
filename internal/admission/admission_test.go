package admission

import (
	"fmt"
	"maps"
	"math"
	"testing"
	"time"
)

var flood, usual = Stream{"flood", "quick"}, Stream{"usual", "quick"}

// fleet is a Divider with the gates of some VMs that poll it every 500 ms.
type fleet struct {
	divider *Divider
	gates   []*Gate
	now     time.Duration
	overdue bool // the streams
	rate    float64
}

func newFleet(vms int, rate float64) *fleet {
	f := &fleet{divider: &Divider{}, now: time.Hour, overdue: true, rate: rate}
	for range vms {
		f.gates = append(f.gates, &Gate{})
	}
	return f
}

func (f *fleet) poll() {
	for i, g := range f.gates {
		f.divider.Report(fmt.Sprint(i), g.TakeArrivals(), f.now)
	}
	for i, g := range f.gates {
		overdue := map[Stream]bool{flood: f.overdue, usual: f.overdue}
		maps.DeleteFunc(overdue, func(_ Stream, v bool) bool { return !v })
		limitOf := func(string) Limit { return Limit{f.rate, f.rate} }
		g.SetLimits(f.divider.Parts(fmt.Sprint(i), overdue, limitOf, f.now), f.now)
	}
}

// send sends perSecond submissions of the account to the VMs in turn and returns the number admitted.
func (f *fleet) send(stream Stream, perSecond int, total time.Duration, vms ...int) int {
	admitted := 0
	step := time.Second / time.Duration(perSecond)
	nextPoll := f.now
	for n, end := 0, f.now+total; f.now < end; n++ {
		if f.now >= nextPoll {
			f.poll()
			nextPoll += 500 * time.Millisecond
		}
		if _, ok := f.gates[vms[n%len(vms)]].Arrive(stream, f.now); ok {
			admitted++
		}
		f.now += step
	}
	return admitted
}

// Load: one account sends eight times its rate through three of 36 VMs while earlier ones wait too long.
func TestFloodIsLimitedToTheRateOfItsAccountOverAllVMs(t *testing.T) {
	f := newFleet(36, 4)
	f.send(flood, 32, 2*time.Second, 0, 1, 2) // until the owner knows of it
	admitted := f.send(flood, 32, 10*time.Second, 0, 1, 2)
	if admitted < 30 || admitted > 44 {
		t.Fatalf("%d submissions admitted in 10 s, want about 40", admitted)
	}
}

// Load: the same flood while its submissions start soon. Nothing is refused.
func TestNothingIsRefusedWhileSubmissionsStartSoon(t *testing.T) {
	f := newFleet(36, 4)
	f.overdue = false
	if admitted := f.send(flood, 32, 5*time.Second, 0, 1, 2); admitted != 160 {
		t.Fatalf("%d of 160 submissions admitted", admitted)
	}
}

// Load: an account sends within its rate while another floods. None of its submissions is refused.
func TestAccountWithinItsRateIsNotLimited(t *testing.T) {
	f := newFleet(4, 4)
	for range 20 {
		f.send(flood, 32, 200*time.Millisecond, 0, 1)
		for _, g := range f.gates[:2] {
			if _, ok := g.Arrive(usual, f.now); !ok {
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
	f.send(flood, 32, 5*time.Second, 0)
	f.send(flood, 32, 5*time.Second, 7)
	if admitted := f.send(flood, 32, 5*time.Second, 7); admitted < 16 || admitted > 24 {
		t.Fatalf("%d submissions admitted in 5 s at the new VM, want about 20", admitted)
	}
}

// Guards against a VM that limits by what a lost owner told it.
func TestOldLimitsAdmitEverything(t *testing.T) {
	g := &Gate{}
	g.SetLimits(map[Stream]Limit{flood: {1, 1}}, time.Hour)
	g.Arrive(flood, time.Hour)
	retryAfter, ok := g.Arrive(flood, time.Hour)
	if ok || retryAfter < 900*time.Millisecond || retryAfter > time.Second {
		t.Fatalf("admitted %v, retry after %v, want a refusal for a second", ok, retryAfter)
	}
	if _, ok := g.Arrive(flood, time.Hour+MaxAge+1); !ok {
		t.Fatal("refused by limits that are too old")
	}
}

func TestPartsAddUpToTheRate(t *testing.T) {
	d := &Divider{}
	for i := range 5 {
		d.Report(fmt.Sprint(i), map[Stream]int{flood: i * 10, {"flood", "other"}: i * 5}, time.Hour)
	}
	sum := 0.0
	for i := range 5 {
		sum += d.Parts(fmt.Sprint(i), map[Stream]bool{flood: true}, func(string) Limit { return Limit{3, 3} }, time.Hour)[flood].PerSecond
	}
	if math.Abs(sum-2) > 1e-9 {
		t.Fatalf("parts add up to %v, want 2: two thirds of the arrivals are of this stream", sum)
	}
}

// Load: an account hands in forty submissions at once, seldom. Its burst is admitted, a second one
// shortly after is not.
func TestBurstWithinTheWindowIsAdmitted(t *testing.T) {
	b := &Bucket{}
	b.SetLimit(Burst{Window: 5 * time.Second, Slack: 20}.Limit(4))
	admitted := 0
	take := func(at time.Duration) {
		for range 40 {
			if b.Take(at) {
				admitted++
			}
		}
	}
	if take(time.Hour); admitted != 40 {
		t.Fatalf("%d of the first 40 admitted", admitted)
	}
	if take(time.Hour + 2*time.Second); admitted != 48 {
		t.Fatalf("%d admitted, want 8 more after 2 s at 4 a second", admitted)
	}
	if take(time.Hour + time.Minute); admitted != 88 {
		t.Fatalf("%d admitted, want all 40 after a minute", admitted)
	}
}
