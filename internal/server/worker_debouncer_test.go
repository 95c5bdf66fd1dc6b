package server

import (
	"slices"
	"testing"

	"filbertcross/internal/platform"
)

// TestWorkerIsRemovedOnlyAfterConsecutiveMisses guards against a VM list from a lagging
// replica of the platform, which would have the tasks of a live worker placed again.
func TestWorkerIsRemovedOnlyAfterConsecutiveMisses(t *testing.T) {
	worker := platform.VM{ID: "w", Role: platform.RoleWorker}
	backend := platform.VM{ID: "b", Role: platform.RoleBackend}
	debouncer := newWorkerDebouncer()
	has := func(vms []platform.VM, id string) bool {
		return slices.ContainsFunc(vms, func(vm platform.VM) bool { return vm.ID == id })
	}
	debouncer.Update([]platform.VM{worker, backend})
	for range 3 {
		for n := range missesUntilRemoved - 1 {
			if got := debouncer.Update(nil); !has(got, "w") {
				t.Fatalf("worker removed after %d lists without it, want %d", n+1, missesUntilRemoved)
			} else if has(got, "b") {
				t.Fatal("backend server kept in the list after it was missing")
			}
		}
		debouncer.Update([]platform.VM{worker})
	}
	for range missesUntilRemoved {
		debouncer.Update(nil)
	}
	if got := debouncer.Update(nil); len(got) != 0 {
		t.Fatalf("list %v after more than missesUntilGone lists without the worker, want empty", got)
	}
	if got := debouncer.Update([]platform.VM{worker}); !has(got, "w") {
		t.Fatal("worker that was listed again is missing")
	}
}
