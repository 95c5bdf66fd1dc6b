package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/fleet"
	"filbertcross/internal/model"
	"filbertcross/internal/peer"
)

// crowd is VMs of which one is overloaded: its calls fail after a while.
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

// Pattern: one small VM is overloaded. Calls for advice go through the others while it rests.
func TestOverloadedVMIsNotAskedForAdviceForAWhile(t *testing.T) {
	c := &fakePeers{calls: map[string]int{}}
	a := newAdvisorPool(c, c)
	for _, address := range []string{"small", "x-large", "y-large"} {
		a.recordFollower(address)
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
		t.Fatalf("%d calls failed, %d went to the overloaded VM, want one before it rests", failures, c.calls["small"])
	}
	if a.Slots() != 3 {
		t.Fatalf("%d slots, want those of the other two and of this VM", a.Slots())
	}
}
