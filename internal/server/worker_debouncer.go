package server

import (
	"filbertcross/internal/platform"
)

// missesUntilRemoved is the number of consecutive VM lists without a worker after which the
// worker counts as removed. A single list may come from a replica of the platform that lags
// behind the previous one, and the tasks of a removed worker are placed again.
const missesUntilRemoved = 3

// workerDebouncer keeps workers in the VM list that are missing from fewer than
// missesUntilGone consecutive lists. Not safe for concurrent use.
type workerDebouncer struct {
	known  map[string]platform.VM // workers of the previous result, by VM id
	misses map[string]int         // consecutive lists without the worker, by VM id
}

func newWorkerDebouncer() *workerDebouncer {
	return &workerDebouncer{known: map[string]platform.VM{}, misses: map[string]int{}}
}

// Update returns the list with the missing workers added that do not count as removed yet.
func (d *workerDebouncer) Update(listed []platform.VM) []platform.VM {
	result := append([]platform.VM(nil), listed...)
	seen := map[string]bool{}
	for _, vm := range listed {
		seen[vm.ID] = true
		delete(d.misses, vm.ID)
	}
	for id, vm := range d.known {
		if seen[id] {
			continue
		}
		d.misses[id]++
		if d.misses[id] < missesUntilRemoved {
			result = append(result, vm)
		}
	}
	d.retain(result)
	return result
}

func (d *workerDebouncer) retain(result []platform.VM) {
	d.known = map[string]platform.VM{}
	for _, vm := range result {
		if vm.Role == platform.RoleWorker {
			d.known[vm.ID] = vm
		}
	}
	for id := range d.misses {
		if _, retained := d.known[id]; !retained {
			delete(d.misses, id)
		}
	}
}
