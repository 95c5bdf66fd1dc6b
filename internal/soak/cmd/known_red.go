package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// knownRed lists violations that are not mended yet, by seed and rule.
type knownRed map[string]bool

// readKnownRed reads the lines "soak: SEED RULE" of a file; it ignores all others. An empty path
// names no file.
func readKnownRed(path string) (knownRed, error) {
	known := knownRed{}
	if path == "" {
		return known, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "known violations")
	}
	defer func() { _ = file.Close() }() // only read
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		if entry, ok := strings.CutPrefix(scanner.Text(), "soak:"); ok {
			known[strings.Join(strings.Fields(entry), " ")] = true
		}
	}
	return known, errors.Wrap(scanner.Err(), "known violations")
}

// contains reports whether a violation of the seed is listed.
func (k knownRed) contains(seed uint64, violation string) bool {
	rule, _, _ := strings.Cut(violation, ":")
	return k[fmt.Sprintf("%d %s", seed, rule)]
}
