package model

import (
	"testing"

	"pgregory.net/rapid"

	"filbertcross/internal/proptest"
)

func TestResourcesSubUndoesAdd(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		amount := rapid.Custom(func(t *rapid.T) Resources {
			return Resources{
				MilliCPU:     rapid.Int64Range(0, 1<<40).Draw(t, "cpu"),
				MemoryMiB:    rapid.Int64Range(0, 1<<40).Draw(t, "memory"),
				Accelerators: rapid.Int64Range(0, 1<<10).Draw(t, "accelerators"),
			}
		})
		a, b := amount.Draw(t, "a"), amount.Draw(t, "b")
		if got := a.Add(b).Sub(b); got != a {
			t.Fatalf("a+b-b = %v, want %v", got, a)
		}
		if !a.FitsIn(a.Add(b)) {
			t.Fatalf("%v does not fit its sum with %v", a, b)
		}
	})
}
