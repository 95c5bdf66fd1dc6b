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

// errUsage marks a command that was called wrongly.
var errUsage = errors.New("wrong usage")

// errRefused marks input that was checked and refused.
var errRefused = errors.New("refused")

func usage(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errUsage)
}

// ExitCode returns the exit code that goes with a command's error.
func ExitCode(err error) int {
	var settings config.Problems
	var status *api.StatusError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errUsage), errors.As(err, &settings):
		return ExitUsage
	case errors.Is(err, errRefused):
		return ExitRejected
	case errors.As(err, &status):
		return statusExitCode(status.Status)
	default:
		return ExitFailed
	}
}

func statusExitCode(status int) int {
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
