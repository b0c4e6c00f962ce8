package ctl

import (
	"context"
	"errors"
	"fmt"

	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/wire"
)

// Exit codes of ibisctl.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2 // wrong usage, or a file that breaks a rule
	ExitConflict    = 3 // another change came first
	ExitUnavailable = 4 // no steward answers, or the log is out
	ExitTimeout     = 5
)

// Error is a failed command with its exit code and what to do.
type Error struct {
	Exit    int
	Message string
	Remedy  string
	Err     error
}

// Error returns the message and the remedy.
func (e *Error) Error() string {
	s := e.Message
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func usageErrorf(remedy, format string, args ...any) error {
	return &Error{Exit: ExitUsage, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// exitCode returns the exit code of err. Errors that are not ours are cobra's, of wrong usage.
func exitCode(err error) int {
	var e *Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.Exit
	}
	return ExitUsage
}

// remoteError turns an error of a call into one that names the remedy.
func remoteError(err error) error {
	e := &Error{Exit: ExitFailure, Message: "the steward refused", Err: err}
	switch code := rpc.Code(err); {
	case code == wire.CodeUnauthorized:
		e.Message, e.Remedy = "the operators' token was refused", "name the right file with --token-file"
	case code == wire.CodeConflict:
		e.Exit = ExitConflict
	case code == wire.CodeInvalid:
		e.Exit = ExitUsage
	case code == wire.CodeUnavailable || code == wire.CodeNotReady:
		e.Exit, e.Message, e.Remedy = ExitUnavailable, "no steward can answer now", "what is in force stays; try again later or name other stewards with --server"
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled):
		e.Exit, e.Message, e.Remedy = ExitTimeout, "no answer in time", "raise --timeout or name other stewards with --server"
	case code == 0:
		e.Exit, e.Message, e.Remedy = ExitUnavailable, "no steward answers", "check the addresses given with --server and that ibissteward runs there"
	}
	return e
}
