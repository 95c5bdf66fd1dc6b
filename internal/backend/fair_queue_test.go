package backend

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertcross/internal/model"
	"filbertcross/internal/proptest"
)

// Limits of the queue under test.
const (
	testQueueRequests = 6
	testQueueBytes    = 1000
)

// TestFairQueue applies random operations to the queue and compares it with one
// plain list per branch: FIFO within a branch, each request leaves once, no late
// request is popped, and the limits hold.
func TestFairQueue(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		queue := NewFairQueue[int](QueueLimits{Requests: testQueueRequests, Bytes: testQueueBytes})
		waiting := map[model.BranchID][]Item[int]{}
		now, serial := epoch, 0
		drop := func(item Item[int]) {
			list := waiting[item.Branch]
			for i := range list {
				if list[i].ID == item.ID {
					waiting[item.Branch] = append(list[:i:i], list[i+1:]...)
					return
				}
			}
			t.Fatalf("%s left the queue twice", item.ID)
		}
		push := func(t *rapid.T) {
			serial++
			item := Item[int]{
				ID:          PermitID(fmt.Sprint(serial)),
				Branch:      model.BranchID(fmt.Sprintf("branch-%d", rapid.IntRange(0, 4).Draw(t, "branch"))),
				Share:       rapid.Int64Range(1, 4).Draw(t, "share"),
				Cost:        1,
				Bytes:       rapid.Int64Range(0, testQueueBytes/4).Draw(t, "bytes"),
				LatestStart: now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "s")) * time.Second),
			}
			evicted, ok := queue.Push(item)
			for _, e := range evicted {
				if list := waiting[e.Branch]; e.ID != list[len(list)-1].ID {
					t.Fatalf("evicted %s, not the newest of its branch", e.ID)
				}
				drop(e)
			}
			if ok {
				waiting[item.Branch] = append(waiting[item.Branch], item)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": push, "push again": push, "push more": push,
			"pop": func(t *rapid.T) {
				item, late, ok := queue.Pop(now)
				for _, l := range late {
					if !now.After(l.LatestStart) {
						t.Fatalf("%s was returned as late before its latest start", l.ID)
					}
					drop(l)
				}
				if !ok {
					return
				}
				if first := waiting[item.Branch][0]; first.ID != item.ID || now.After(item.LatestStart) {
					t.Fatalf("popped %s, want %s before its latest start", item.ID, first.ID)
				}
				drop(item)
			},
			"cancel": func(t *rapid.T) {
				branch := model.BranchID(fmt.Sprintf("branch-%d", rapid.IntRange(0, 4).Draw(t, "branch")))
				if list := waiting[branch]; len(list) > 0 {
					item := rapid.SampledFrom(list).Draw(t, "item")
					if !queue.Remove(item.ID) || queue.Remove(item.ID) {
						t.Fatalf("%s was not removed exactly once", item.ID)
					}
					drop(item)
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "s")) * time.Second)
				for _, item := range queue.Expire(now) {
					drop(item)
				}
			},
			"": func(t *rapid.T) {
				proptest.CountStep()
				length, bytes := 0, int64(0)
				for _, list := range waiting {
					length += len(list)
					for _, item := range list {
						bytes += item.Bytes
					}
				}
				if queue.Len() != length || queue.Bytes() != bytes || length > testQueueRequests || bytes > testQueueBytes {
					t.Fatalf("queue has %d requests and %d bytes, want %d and %d", queue.Len(), queue.Bytes(), length, bytes)
				}
			},
		})
	})
}

// TestFairQueueShares checks that branches are served in proportion to their shares.
// All branches keep requests waiting; the first one floods the queue and the last
// one is idle during the first half. Only slot time of the second half counts.
func TestFairQueueShares(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		shares := rapid.SliceOfN(rapid.Int64Range(1, 8), 2, 6).Draw(t, "shares")
		queue := NewFairQueue[int](QueueLimits{Requests: 200, Bytes: testQueueBytes})
		served := make([]float64, len(shares))
		waiting := make([]int, len(shares))
		serial, total := 0, int64(0)
		push := func(i int) {
			serial++
			cost := rapid.Float64Range(0.5, 2).Draw(t, "cost")
			item := Item[int]{
				ID: PermitID(fmt.Sprint(serial)), Branch: model.BranchID(fmt.Sprint(i)),
				Share: shares[i], Cost: cost, LatestStart: epoch, Value: i,
			}
			evicted, ok := queue.Push(item)
			if ok {
				waiting[i]++
			}
			for _, e := range evicted {
				waiting[e.Value]--
			}
		}
		for i := range shares {
			total += shares[i]
		}
		const rounds = 800
		sum := 0.0
		for round := range rounds {
			proptest.CountStep()
			for i := range shares {
				idle := i == len(shares)-1 && round < rounds/2
				for !idle && waiting[i] < 1+i%2 {
					push(i)
				}
			}
			push(0) // flood
			push(1)
			if last := PermitID(fmt.Sprint(serial)); queue.Remove(last) { // canceled
				waiting[1]--
			}
			item, _, _ := queue.Pop(epoch)
			waiting[item.Value]--
			if round >= rounds/2 {
				served[item.Value] += item.Cost
				sum += item.Cost
			}
		}
		for i, share := range shares {
			want := sum * float64(share) / float64(total)
			// Start-time fair queueing deviates by at most one request of maximum cost per branch.
			if slack := 2 * float64(1+len(shares)); served[i] < want-slack || served[i] > want+slack {
				t.Fatalf("branch %d with shares %v got slot time %.1f of %.1f, want %.1f", i, shares, served[i], sum, want)
			}
		}
	})
}
