package server

import (
	"slices"
	"testing"

	"filbertcross/internal/platform"
)

// TestWorkerIsGoneOnlyAfterSeveralReadings: a reading that lags must not have the
// tasks of a live worker placed again.
func TestWorkerIsRemovedOnlyAfterConsecutiveMisses(t *testing.T) {
	worker := platform.VM{ID: "w", Role: platform.RoleWorker}
	backend := platform.VM{ID: "b", Role: platform.RoleBackend}
	debouncer := newWorkerDebouncer()
	has := func(vms []platform.VM, id string) bool {
		return slices.ContainsFunc(vms, func(vm platform.VM) bool { return vm.ID == id })
	}
	debouncer.Update([]platform.VM{worker, backend})
	for range 3 {
		for n := range missesUntilGone - 1 {
			if got := debouncer.Update(nil); !has(got, "w") {
				t.Fatalf("gone after %d readings, want %d", n+1, missesUntilGone)
			} else if has(got, "b") {
				t.Fatal("a backend server that is not listed is kept")
			}
		}
		debouncer.Update([]platform.VM{worker})
	}
	for range missesUntilGone {
		debouncer.Update(nil)
	}
	if got := debouncer.Update(nil); len(got) != 0 {
		t.Fatalf("%v is kept for ever", got)
	}
	if got := debouncer.Update([]platform.VM{worker}); !has(got, "w") {
		t.Fatal("a worker that returned is not listed")
	}
}
