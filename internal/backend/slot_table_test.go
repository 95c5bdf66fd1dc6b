package backend

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertcross/internal/model"
	"filbertcross/internal/proptest"
)

// epoch is the start time of simulated clocks.
var epoch = time.Unix(1_700_000_000, 0)

// TestSlotTable applies random operations to the table and compares it with a plain
// set of grants: no grant exceeds a server's limit, no permit is granted twice and
// none is released twice.
func TestSlotTable(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		table, now := NewSlotTable(), epoch
		granted := map[PermitID]Grant{}
		limits := map[ServerID]int{}
		externalUse := map[ServerID]int{}
		used := func(id ServerID) (n int) {
			for _, g := range granted {
				if g.Server == id {
					n++
				}
			}
			return n
		}
		server := rapid.Custom(func(t *rapid.T) ServerID {
			return ServerID(fmt.Sprintf("b%d", rapid.IntRange(0, 3).Draw(t, "server")))
		})
		permit := rapid.Custom(func(t *rapid.T) PermitID {
			return PermitID(fmt.Sprintf("p%d", rapid.IntRange(0, 40).Draw(t, "permit")))
		})
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				id, limit := server.Draw(t, "id"), rapid.IntRange(0, 8).Draw(t, "limit")
				if _, owned := limits[id]; !owned {
					limits[id] = limit
				}
				table.Add(id, limit, now)
			},
			"remove": func(t *rapid.T) {
				id := server.Draw(t, "id")
				delete(limits, id)
				delete(externalUse, id)
				table.Remove(id)
			},
			"foreign": func(t *rapid.T) {
				id, n := server.Draw(t, "id"), rapid.IntRange(0, 8).Draw(t, "n")
				if _, owned := limits[id]; owned {
					externalUse[id] = n
				}
				table.SetExternalUse(id, n, now.Add(time.Hour))
			},
			"limit": func(t *rapid.T) {
				id, limit := server.Draw(t, "id"), rapid.IntRange(0, 8).Draw(t, "limit")
				if _, owned := limits[id]; owned {
					limits[id] = limit
				}
				table.SetLimit(id, limit)
			},
			"grant": func(t *rapid.T) {
				want := Grant{ID: permit.Draw(t, "id"), Holder: "vm-1", LeaseEnd: now.Add(10 * time.Second)}
				_, duplicate := granted[want.ID]
				g, ok := table.Grant(now, want, server.Draw(t, "avoid"))
				free := 0
				for id, limit := range limits {
					free += max(0, limit-used(id)-externalUse[id])
				}
				if ok != (free > 0 && !duplicate) {
					t.Fatalf("granted %v with %d free slots, duplicate %v", ok, free, duplicate)
				}
				if ok && used(g.Server)+externalUse[g.Server] >= limits[g.Server] {
					t.Fatalf("%s granted above its limit %d", g.Server, limits[g.Server])
				}
				if ok {
					granted[g.ID] = g
				}
			},
			"release": func(t *rapid.T) {
				id := permit.Draw(t, "id")
				_, known := granted[id]
				if _, ok := table.Release(id); ok != known {
					t.Fatalf("released %v, want %v", ok, known)
				}
				delete(granted, id)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "s")) * time.Second)
				for _, g := range table.Expire(now, func(model.VMID) bool { return false }) {
					if now.Before(granted[g.ID].LeaseEnd) {
						t.Fatalf("%s expired early", g.ID)
					}
					delete(granted, g.ID)
				}
			},
			"": func(t *rapid.T) {
				proptest.CountStep()
				if table.Granted() != len(granted) {
					t.Fatalf("%d grants, want %d", table.Granted(), len(granted))
				}
				for id := range limits {
					if table.Held(id) != used(id) {
						t.Fatalf("%s holds %d, want %d", id, table.Held(id), used(id))
					}
				}
			},
		})
	})
}
