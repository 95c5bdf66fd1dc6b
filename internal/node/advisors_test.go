package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
)

// fakePeers is a set of VMs of which "small" is overloaded: its calls fail after 30 ms.
type fakePeers struct {
	mu    sync.Mutex
	calls map[string]int
}

func (c *fakePeers) Call(_ context.Context, address string, _ peer.Method, _, _ any) error {
	c.mu.Lock()
	c.calls[address]++
	c.mu.Unlock()
	if address == "small" {
		time.Sleep(30 * time.Millisecond)
		return errors.New("overloaded")
	}
	return nil
}

func (c *fakePeers) Advise(context.Context, fleet.StepID, []model.WorkerID) (map[model.WorkerID]string, time.Duration, error) {
	return nil, 0, nil
}

// One small VM is overloaded. Calls for advice go through the other VMs during its cool-down.
func TestAdviceCallsAvoidFailedVMDuringCooldown(t *testing.T) {
	c := &fakePeers{calls: map[string]int{}}
	a := newAdvisorPool(c, c)
	for _, address := range []string{"small", "x-large", "y-large"} {
		a.recordFollower(address, 0)
	}
	failures := 0
	var group sync.WaitGroup
	var mu sync.Mutex
	for range 40 {
		group.Go(func() {
			if _, _, err := a.Advise(context.Background(), fleet.StepID{}, nil); err != nil {
				mu.Lock()
				failures++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	if failures != 1 || c.calls["small"] != 1 {
		t.Fatalf("%d calls failed, %d went to the overloaded VM, want one before its cool-down", failures, c.calls["small"])
	}
	if a.Slots() != 3 {
		t.Fatalf("%d slots, want 3: the other two VMs and this VM", a.Slots())
	}
}

// An owner that the store does not answer looks for a successor among 30 VMs, five of which are
// large. All large ones are queried: a small one took over 4 s to take over 350 workers
// (salnorte-fc-grown trouble-1).
func TestLargestFollowersAreQueriedAsSuccessors(t *testing.T) {
	for range 20 {
		a := newAdvisorPool(nil, nil)
		for i := range 29 {
			delay := 800 * time.Millisecond
			if i%6 == 0 {
				delay = 100 * time.Millisecond
			}
			a.recordFollower(fmt.Sprintf("vm%02d", i), delay)
		}
		candidates := takeoverCandidates(a.followersByElectionDelay())
		if len(candidates) != largeTakeoverCandidates+otherTakeoverCandidates {
			t.Fatalf("candidates %v, want 8", candidates)
		}
		for i := 0; i < 29; i += 6 {
			if large := fmt.Sprintf("vm%02d", i); !slices.Contains(candidates, large) {
				t.Fatalf("candidates %v lack the large VM %s", candidates, large)
			}
		}
	}
}
