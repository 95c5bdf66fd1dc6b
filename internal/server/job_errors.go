package server

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/api"
	"filbertcross/internal/model"
	"filbertcross/internal/partition"
	"filbertcross/internal/peer"
	"filbertcross/internal/platform"
	"filbertcross/internal/verdict"
)

// Peer error codes of this package. They are sent to other VMs.
const (
	codeKeyMismatch peer.Code = 1000 + iota
	codeUnknownJob
	codeJobRejected
	codeUnavailable
	codeUnknownOutcome
)

// publicError converts a *peer.Error into the api.StatusError for the client. Other
// errors are returned unchanged.
func publicError(err error) error {
	var failure *peer.Error
	if err == nil || !errors.As(err, &failure) {
		return err
	}
	switch failure.Code {
	case codeKeyMismatch:
		return rejectedRequest(http.StatusUnprocessableEntity, api.HeaderIdempotencyKey, "%s", failure.Message)
	case codeUnknownJob:
		return rejectedRequest(http.StatusNotFound, fieldJob, "%s", failure.Message)
	case codeJobRejected:
		return rejectedRequest(http.StatusUnprocessableEntity, "workload", "%s", failure.Message)
	case peer.CodeInvalid:
		return rejectedRequest(http.StatusBadRequest, "body", "%s", failure.Message)
	default:
		return temporarilyUnavailable(failure.Verdict, jobRetryAfter, "%s", failure.Message)
	}
}

func unknownJobError(id model.JobID) error {
	return rejectedRequest(http.StatusNotFound, "job", "%q is not a job id", id)
}

// partitionError converts an error of a partition owner into a *peer.Error, which keeps
// its code and verdict when it is sent to the requesting VM.
func partitionError(err error) error {
	code, v := peer.CodeInternal, verdict.MayHaveRun
	switch {
	case err == nil:
		return nil
	case errors.Is(err, partition.ErrKeyMismatch):
		code, v = codeKeyMismatch, verdict.NotRun
	case errors.Is(err, partition.ErrUnknownJob):
		code, v = codeUnknownJob, verdict.NotRun
	case errors.Is(err, partition.ErrOutcomeUnknown):
		code = codeUnknownOutcome
	case errors.Is(err, partition.ErrOwnershipLost):
		code, v = peer.CodeNotOwner, verdict.NotRun
	case errors.Is(err, platform.ErrUnavailable):
		code, v = codeUnavailable, verdict.NotRun
	}
	return &peer.Error{Code: code, Message: err.Error(), Verdict: v}
}

var errNotOwner = &peer.Error{Code: peer.CodeNotOwner, Message: "this VM does not own the partition", Verdict: verdict.NotRun}
