package server

import (
	"filbertcross/internal/platform"
)

// goneReadings is how many readings of the platform's list in a row must lack a worker
// before it counts as gone. A single reading may come from a part of the platform that
// lags behind the one before, and a worker that counts as gone has its tasks placed again.
const missesUntilGone = 3

// steadyList keeps workers in the list that only a few readings lacked. One goroutine
// uses it.
type workerDebouncer struct {
	known  map[string]platform.VM // workers of the result before
	misses map[string]int         // readings in a row that lacked one
}

func newWorkerDebouncer() *workerDebouncer {
	return &workerDebouncer{known: map[string]platform.VM{}, misses: map[string]int{}}
}

// Take returns the reading with the workers that are not gone yet.
func (s *workerDebouncer) Update(reading []platform.VM) []platform.VM {
	result := append([]platform.VM(nil), reading...)
	seen := map[string]bool{}
	for _, vm := range reading {
		seen[vm.ID] = true
		delete(s.misses, vm.ID)
	}
	for id, vm := range s.known {
		if seen[id] {
			continue
		}
		s.misses[id]++
		if s.misses[id] < missesUntilGone {
			result = append(result, vm)
		}
	}
	s.retain(result)
	return result
}

func (s *workerDebouncer) retain(result []platform.VM) {
	s.known = map[string]platform.VM{}
	for _, vm := range result {
		if vm.Role == platform.RoleWorker {
			s.known[vm.ID] = vm
		}
	}
	for id := range s.misses {
		if _, retained := s.known[id]; !retained {
			delete(s.misses, id)
		}
	}
}
