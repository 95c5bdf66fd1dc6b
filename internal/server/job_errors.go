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

// Codes of peer errors of this package.
const (
	codeKeyMismatch peer.Code = 1000 + iota
	codeUnknownJob
	codeJobRejected
	codeUnavailable
	codeUnknownOutcome
)

// publicError turns an error of a peer or of a partition into an answer.
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
	return rejectedRequest(http.StatusNotFound, "job", "%q is not a job's id", id)
}

// partitionError gives an error of a partition the code that travels to the caller's VM.
func partitionError(err error) error {
	code, v := peer.CodeInternal, verdict.MayHaveRun
	switch {
	case err == nil:
		return nil
	case errors.Is(err, partition.ErrKeyMismatch):
		code, v = codeKeyMismatch, verdict.NotRun
	case errors.Is(err, partition.ErrUnknownJob):
		code, v = codeUnknownJob, verdict.NotRun
	case errors.Is(err, partition.ErrInDoubt):
		code = codeUnknownOutcome
	case errors.Is(err, partition.ErrDeposed):
		code, v = peer.CodeNotOwner, verdict.NotRun
	case errors.Is(err, platform.ErrUnavailable):
		code, v = codeUnavailable, verdict.NotRun
	}
	return &peer.Error{Code: code, Message: err.Error(), Verdict: v}
}

var errNotOwner = &peer.Error{Code: peer.CodeNotOwner, Message: "this VM does not own the partition", Verdict: verdict.NotRun}
