package command

import (
	"strings"
	"testing"
	"time"
)

// The store is down from second 10 to 14. The log tells for each submission why it was late.
func TestLossesAreAttributed(t *testing.T) {
	const log = `
{"time":"2026-01-01T00:00:00Z","stamp":1,"name":"submission-accepted","submission":"ok","queue":"q"}
{"time":"2026-01-01T00:00:00.1Z","stamp":2,"name":"submission-taken","submission":"ok","queue":"q"}
{"time":"2026-01-01T00:00:00.2Z","stamp":3,"name":"run-placed","task":"ok.0.0.0"}
{"time":"2026-01-01T00:00:01Z","stamp":4,"name":"run-ended","task":"ok.0.0.0"}
{"time":"2026-01-01T00:00:01Z","stamp":5,"name":"submission-ended","submission":"ok","state":"completed","objective":"1.5s"}
{"time":"2026-01-01T00:00:02Z","stamp":6,"name":"submission-accepted","submission":"waits","queue":"q"}
{"time":"2026-01-01T00:00:02.1Z","stamp":7,"name":"submission-taken","submission":"waits","queue":"q"}
{"time":"2026-01-01T00:00:06Z","stamp":8,"name":"run-placed","task":"waits.0.0.0"}
{"time":"2026-01-01T00:00:07Z","stamp":9,"name":"submission-ended","submission":"waits","state":"completed","objective":"1.5s"}
{"time":"2026-01-01T00:00:09Z","stamp":10,"name":"submission-accepted","submission":"stored-late","queue":"q"}
{"time":"2026-01-01T00:00:09Z","stamp":11,"name":"submission-taken","submission":"stored-late","queue":"q"}
{"time":"2026-01-01T00:00:09Z","stamp":12,"name":"run-placed","task":"stored-late.0.0.0"}
{"time":"2026-01-01T00:00:10Z","stamp":13,"name":"authority-lost"}
{"time":"2026-01-01T00:00:10.2Z","stamp":14,"name":"submission-ended","submission":"stored-late","state":"completed","objective":"1.5s"}
{"time":"2026-01-01T00:00:10.5Z","stamp":15,"name":"caller-refused","submission":"early","method":"POST","status":"503"}
{"time":"2026-01-01T00:00:12Z","stamp":16,"name":"caller-refused","submission":"gave-up","method":"POST","status":"503"}
{"time":"2026-01-01T00:00:12.1Z","stamp":17,"name":"caller-refused","submission":"unknown","method":"POST","status":"504"}
{"time":"2026-01-01T00:00:14Z","stamp":18,"name":"authority-regained"}
`
	records, err := readLog(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := writeLosses(&out, findLosses(records, 3*time.Second), 2*time.Second); err != nil {
		t.Fatal(err)
	}
	want := []string{
		"00:00:02.0 q 1 0 " + lossFirstStart,
		"00:00:08.0 q 1 1 " + lossBeforeStoring,
		"00:00:10.0 ? 1 1 " + lossRefused,
		"00:00:12.0 ? 1 0 " + lossUnknown,
		"00:00:12.0 ? 1 0 " + lossRefused,
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")[1:]
	if len(lines) != len(want) {
		t.Fatalf("%d lines, want %d:\n%s", len(lines), len(want), out.String())
	}
	for i, line := range lines {
		if got := strings.Join(strings.Fields(line), " "); got != want[i] {
			t.Errorf("%q, want %q", got, want[i])
		}
	}
}
