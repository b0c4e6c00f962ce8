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
	ExitUsage       = 2 // wrong usage, or an invalid file
	ExitConflict    = 3 // a conflicting change was decided first
	ExitUnavailable = 4 // no steward answers, or the log is unavailable
	ExitTimeout     = 5
)

// Error is the error of a failed command: its exit code, what happened, and what the operator can do.
type Error struct {
	Exit    int
	Message string
	Remedy  string
	Err     error
}

// Error returns the message, the cause and the remedy.
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

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }

func usageErrorf(remedy, format string, args ...any) error {
	return &Error{Exit: ExitUsage, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// exitCode returns the exit code for err. An error that is not an *Error comes from cobra and means wrong usage.
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

// remoteError converts the error of a call to a steward into an Error with an exit code and a remedy.
func remoteError(err error) error {
	e := &Error{Exit: ExitFailure, Message: "the steward rejected the request", Err: err}
	switch code := rpc.Code(err); {
	case code == wire.CodeUnauthorized:
		e.Message, e.Remedy = "the steward rejected the operator token", "specify the file with the current token with --token-file"
	case code == wire.CodeConflict:
		e.Exit = ExitConflict
	case code == wire.CodeInvalid:
		e.Exit = ExitUsage
	case code == wire.CodeUnavailable || code == wire.CodeNotReady:
		e.Exit, e.Message, e.Remedy = ExitUnavailable, "no steward can serve the request at present", "the tables in force are unchanged; try again later or specify other stewards with --server"
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled):
		e.Exit, e.Message, e.Remedy = ExitTimeout, "no steward answered in time", "raise --timeout or specify other stewards with --server"
	case code == 0:
		e.Exit, e.Message, e.Remedy = ExitUnavailable, "no steward is reachable", "check the addresses given with --server and that ibissteward runs there"
	}
	return e
}
