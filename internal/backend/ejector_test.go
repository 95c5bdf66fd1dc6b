package backend

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertcross/internal/proptest"
)

// TestEjector applies random outcomes to the ejector. Only servers with enough
// consecutive failures are ejected, never more than the allowed fraction, and each
// is probed after the longest ejection at the latest.
func TestEjector(t *testing.T) {
	options := EjectionOptions{ConsecutiveFailures: 3, MaxFraction: 0.25, MinDuration: 4 * time.Second, MaxDuration: 6 * time.Second}
	proptest.Check(t, func(t *rapid.T) {
		const servers = 8
		e, now := NewEjector(options), epoch
		failures := map[ServerID]int{}
		for i := range servers {
			e.Add(ServerID(fmt.Sprint(i)))
		}
		server := rapid.Custom(func(t *rapid.T) ServerID {
			return ServerID(fmt.Sprint(rapid.IntRange(0, servers-1).Draw(t, "server")))
		})
		t.Repeat(map[string]func(*rapid.T){
			"fail": func(t *rapid.T) {
				id := server.Draw(t, "id")
				failures[id]++
				e.Observe(now, id, OutcomeFailed)
			},
			"answer": func(t *rapid.T) {
				id := server.Draw(t, "id")
				failures[id] = 0
				e.Observe(now, id, OutcomeAnswered)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				proptest.CountStep()
				ejected := 0
				for i := range servers {
					id := ServerID(fmt.Sprint(i))
					limit, later := e.Limit(now, id, 8), e.Limit(now.Add(options.MaxDuration), id, 8)
					if limit < 8 {
						ejected++
					}
					if limit < 8 && failures[id] < options.ConsecutiveFailures {
						t.Fatalf("%s is ejected after %d failures", id, failures[id])
					}
					if later < 1 {
						t.Fatalf("%s is not probed after the longest ejection", id)
					}
				}
				if ejected > servers/4 || ejected != e.EjectedCount() {
					t.Fatalf("%d servers are ejected, EjectedCount is %d", ejected, e.EjectedCount())
				}
			},
		})
	})
}
