package partition

import (
	"testing"

	"github.com/cockroachdb/errors"
)

func TestReasonOfEpochEndNamesTheAppendError(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{nil, ""},
		{ErrLogFull, ""},
		{ErrOwnershipLost, "the log is sealed by a newer epoch"},
		{ErrOutcomeUnknown, "the outcome of an append to the log is unknown"},
		{errors.Mark(errors.Mark(errors.New("x"), ErrOwnershipLost), ErrOutcomeUnknown), "the outcome of an append to the log is unknown"},
	} {
		if got := endOfEpoch(c.err); got != c.want {
			t.Errorf("%v: %q, want %q", c.err, got, c.want)
		}
	}
}
