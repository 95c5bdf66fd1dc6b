package main

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against a list that passes over other rules or seeds than those it names.
func TestKnownRedContainsOnlyWhatIsListed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "known")
	if err := os.WriteFile(path, []byte("# soak: 3 LOST\nsoak: 1 BUDGET\n  seen once\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	known, err := readKnownRed(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		seed      uint64
		violation string
		want      bool
	}{{1, "BUDGET: 1.0.0.0 run 4", true}, {1, "TWICE: 1.0.0.0", false}, {2, "BUDGET: 1.0.0.0", false}, {3, "LOST: 1", false}} {
		if got := known.contains(c.seed, c.violation); got != c.want {
			t.Errorf("seed %d, %s: %v, want %v", c.seed, c.violation, got, c.want)
		}
	}
}
