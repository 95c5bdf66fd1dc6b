package baseline

import (
	"testing"

	"filbertcross/internal/model"
)

func TestPackPlacesLargestDominantShareFirst(t *testing.T) {
	amount := func(cpu, memory int64) model.Resources {
		return model.Resources{MilliCPU: cpu, MemoryMiB: memory}
	}
	capacities := []model.Resources{amount(10, 10), amount(10, 10)}
	demand := map[model.Resources]int{amount(7, 1): 2, amount(6, 1): 2, amount(3, 1): 3, amount(1, 9): 1}
	// By dominant share, the task of 9 MiB is placed first, then both tasks of 7 milliCPU, one
	// of them next to it. The tasks of 6 fit nowhere, and one task of 3 fits on a worker.
	if got, want := Pack(capacities, demand), amount(1+7+7+3, 9+1+1+1); got != want {
		t.Errorf("packed %v, want %v", got, want)
	}
}
