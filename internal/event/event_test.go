package event

import (
	"bytes"
	"flag"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"pgregory.net/rapid"

	"filbertcross/internal/model"
	"filbertcross/internal/proptest"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md instead of comparing it")

func TestCatalogueIsCurrent(t *testing.T) {
	const path = "../../docs/EVENTS.md"
	var want bytes.Buffer
	if err := WriteCatalogue(&want); err != nil {
		t.Fatal(err)
	}
	for _, d := range Catalogue() {
		if areaNames[d.ID/1000] == "" || d.Name == "" || d.Summary == "" || d.Action == "" {
			t.Errorf("event %d is incomplete", d.ID)
		}
	}
	if *update {
		if err := os.WriteFile(path, want.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil || !bytes.Equal(got, want.Bytes()) {
		t.Fatalf("docs/EVENTS.md is not current (%v); run go generate ./internal/event", err)
	}
}

// TestTimelineRespectsCausality runs VMs with skewed wall clocks that exchange
// stamps. The oracle is the set of events that can have caused each event.
func TestTimelineRespectsCausality(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		const vms = 3
		const ringEntries = 8
		wall := make([]time.Time, vms)
		logs := make([]*Log, vms)
		causes := make([]map[Stamp]bool, vms) // stamps of the events that can cause the VM's next event
		var all []Entry
		messages := []map[Stamp]bool{}
		var messageStamps []Stamp
		for i := range logs {
			wall[i] = time.Unix(1_700_000_000, 0)
			causes[i] = map[Stamp]bool{}
			clock := NewClock(func() time.Time { return wall[i] })
			logs[i] = NewLog(LogOptions{VM: model.VMID(rune(97 + i)), Clock: clock, RingEntries: ringEntries, Logger: funcr.New(func(_, _ string) {}, funcr.Options{})})
		}
		vm := rapid.IntRange(0, vms-1)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { proptest.CountStep() },
			"wall": func(t *rapid.T) {
				i := vm.Draw(t, "vm")
				wall[i] = wall[i].Add(time.Duration(rapid.IntRange(-5, 5).Draw(t, "ms")) * time.Millisecond)
			},
			"record": func(t *rapid.T) {
				i := vm.Draw(t, "vm")
				logs[i].Record(PeerDrained, len(all))
				e := logs[i].ring[(logs[i].oldest+len(logs[i].ring)-1)%len(logs[i].ring)]
				for cause := range causes[i] {
					if e.Stamp <= cause {
						t.Fatalf("effect %d is not after its cause %d", e.Stamp, cause)
					}
				}
				causes[i][e.Stamp] = true
				all = append(all, e)
			},
			"send": func(t *rapid.T) {
				i := vm.Draw(t, "vm")
				stamp := logs[i].opts.Clock.Now()
				knownCauses := map[Stamp]bool{}
				for s := range causes[i] {
					knownCauses[s] = true
				}
				messages, messageStamps = append(messages, knownCauses), append(messageStamps, stamp)
			},
			"receive": func(t *rapid.T) {
				if len(messages) == 0 {
					t.Skip("no message")
				}
				n := rapid.IntRange(0, len(messages)-1).Draw(t, "message")
				i := vm.Draw(t, "vm")
				if !logs[i].opts.Clock.Observe(messageStamps[n]) {
					t.Fatalf("stamp was not merged")
				}
				for s := range messages[n] {
					causes[i][s] = true
				}
			},
			"list": func(t *rapid.T) {
				i := vm.Draw(t, "vm")
				after := Stamp(0)
				if len(all) > 0 {
					after = rapid.SampledFrom(all).Draw(t, "after").Stamp
				}
				var own []Entry
				for _, e := range all {
					if e.VM == logs[i].opts.VM {
						own = append(own, e)
					}
				}
				retained := own[max(0, len(own)-ringEntries):]
				want := slices.DeleteFunc(slices.Clone(retained), func(e Entry) bool { return e.Stamp <= after })
				missed := slices.ContainsFunc(own[:len(own)-len(retained)], func(e Entry) bool { return e.Stamp > after })
				var got []Entry
				if logs[i].List(ListRequest{After: after}).Missed != missed {
					t.Fatalf("Missed is not %v", missed)
				}
				for more := true; more; {
					response := logs[i].List(ListRequest{After: after, Limit: 3})
					got, more = append(got, response.Entries...), response.More
					if len(got) > 0 {
						after = got[len(got)-1].Stamp
					}
				}
				if !slices.EqualFunc(got, want, sameEntry) {
					t.Fatalf("List returned %v, want %v", got, want)
				}
			},
			"merge": func(*rapid.T) {
				rings := [][]Entry{logs[2].List(ListRequest{}).Entries, logs[0].List(ListRequest{}).Entries, logs[1].List(ListRequest{}).Entries}
				merged := Merge(rings...)
				again := Merge(merged, rings[1], rings[0])
				if len(merged) != len(rings[0])+len(rings[1])+len(rings[2]) || !slices.IsSortedFunc(merged, compareEntries) || !slices.EqualFunc(merged, again, sameEntry) {
					t.Fatalf("Merge dropped, duplicated or misordered entries")
				}
			},
		})
	})
}

func sameEntry(a, b Entry) bool { return a.Stamp == b.Stamp && a.VM == b.VM }

// TestRecordDoesNotBlockOnLogger records more events than the logger queue holds
// while nothing reads the queue.
func TestRecordDoesNotBlockOnLogger(t *testing.T) {
	lines := 0
	log := NewLog(LogOptions{Logger: funcr.New(func(_, _ string) { lines++ }, funcr.Options{Verbosity: 1})})
	for range loggerQueueCapacity + 10 {
		log.Record(PeerDrained, time.Second)
	}
	log.flushLoggerQueue()
	if lines != loggerQueueCapacity+1 || log.ring[len(log.ring)-1].ID != LogLinesDropped.ID {
		t.Fatalf("%d lines written, or no log-lines-dropped event", lines)
	}
}

// BenchmarkRecord measures recording one event, and the heap size of a full ring.
func BenchmarkRecord(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	log := NewLog(LogOptions{VM: "entry-1-0a1b2c3d", FailureDomain: "nl-noord-a"})
	for i := range DefaultRingEntries {
		log.Record(MemberSuspect, "entry-2-0a1b2c3d", "10.0.0.1:8081", "alive", i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		log.Record(MemberSuspect, "entry-2-0a1b2c3d", "10.0.0.1:8081", "alive", i)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB/ring")
}
