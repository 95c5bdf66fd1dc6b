package command

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"filbertcross/internal/api"
	"filbertcross/internal/config"
)

// Exit codes of every command.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnavailable = 4
	ExitRejected    = 5
)

// errInvalidUsage marks a command that was called wrongly.
var errInvalidUsage = errors.New("wrong usage")

// errRejected marks input that was checked and refused.
var errRejected = errors.New("refused")

func usageError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errInvalidUsage)
}

// ExitCode returns the exit code that goes with a command's error.
func ExitCode(err error) int {
	var settings config.Problems
	var status *api.StatusError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errInvalidUsage), errors.As(err, &settings):
		return ExitUsage
	case errors.Is(err, errRejected):
		return ExitRejected
	case errors.As(err, &status):
		return httpStatusExitCode(status.Status)
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
