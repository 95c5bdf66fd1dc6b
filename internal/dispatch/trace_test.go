package dispatch

import (
	"fmt"
	"os"
	"strings"

	"filbertcross/internal/event"
)

// eventTracer prints the events that contain the value of FILBERTCROSS_TRACE, to investigate a failed
// history.
type eventTracer struct {
	h     *simHistory
	fence int64 // of the owner
}

func (tr eventTracer) Record(def *event.Definition, values ...any) {
	want := os.Getenv("FILBERTCROSS_TRACE")
	if want == "" {
		return
	}
	if line := fmt.Sprintln(values...); strings.Contains(line, want) {
		fmt.Printf("%v owner %d %s %s", tr.h.now, tr.fence, def.Name, line)
	}
}
