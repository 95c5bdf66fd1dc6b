package server

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/peer"
	"filbertcross/internal/verdict"
)

// The control loop does not answer a status query and a cancellation before the deadline.
// Both may still run, so both errors say so.
func TestSilentControlLoopGivesOneVerdict(t *testing.T) {
	j := &jobService{loop: newLoop(nil)}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, statusErr := j.statusLocal(ctx, jobRequest{})
	_, cancelErr := j.cancelLocal(ctx, jobRequest{})
	for name, err := range map[string]error{"status": statusErr, "cancel": cancelErr} {
		var failure *peer.Error
		if !errors.As(err, &failure) || failure.Verdict != verdict.MayHaveRun || failure.Code != peer.CodeTimeout {
			t.Errorf("%s: %v, want a timeout with verdict may-have-run", name, err)
		}
	}
}
