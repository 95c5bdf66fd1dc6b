package api

import (
	"strings"
	"testing"
)

func TestResponseBodyOverTheLimitIsAnError(t *testing.T) {
	for length, fails := range map[int]bool{9: false, 10: false, 11: true} {
		body, err := readAtMost(strings.NewReader(strings.Repeat("x", length)), 10)
		if (err != nil) != fails || !fails && len(body) != length {
			t.Errorf("%d bytes with a limit of 10: %d bytes, error %v", length, len(body), err)
		}
	}
}
