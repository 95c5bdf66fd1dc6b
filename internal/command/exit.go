package command

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/api"
	"filbertcross/internal/config"
)

// Exit codes of all commands.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnavailable = 4
	ExitRejected    = 5
)

// errInvalidUsage marks errors in the arguments of a command, or a file argument that cannot
// be read.
var errInvalidUsage = errors.New("invalid usage")

// errRejected marks errors in input that was checked without a VM.
var errRejected = errors.New("rejected input")

func usageError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errInvalidUsage)
}

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var problems config.Problems
	var statusErr *api.StatusError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errInvalidUsage), errors.As(err, &problems):
		return ExitUsage
	case errors.Is(err, errRejected):
		return ExitRejected
	case errors.As(err, &statusErr):
		return httpStatusExitCode(statusErr.Status)
	default:
		return ExitFailed
	}
}

func httpStatusExitCode(status int) int {
	switch {
	case status == http.StatusConflict:
		return ExitConflict
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return ExitUnavailable
	case status < http.StatusInternalServerError:
		return ExitRejected
	default:
		return ExitFailed
	}
}
