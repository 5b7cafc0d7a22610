package main

import "fmt"

// exitCode is an exit code of the command; docs/hoistctl.md lists all of them.
type exitCode int

// Exit codes. Scripts rely on them, so their meaning never changes.
const (
	exitOK            exitCode = 0
	exitFindings      exitCode = 1
	exitUsage         exitCode = 2
	exitUnreachable   exitCode = 3
	exitCredential    exitCode = 4
	exitErrorResponse exitCode = 5
	exitDiffers       exitCode = 6
	exitFile          exitCode = 7
)

// failure is an error with an exit code; the message is empty if the output already states the error.
type failure struct {
	code    exitCode
	message string
}

// Error returns the message.
func (f failure) Error() string { return f.message }

// fail returns a failure with a message.
func fail(code exitCode, format string, args ...any) error {
	return failure{code, fmt.Sprintf(format, args...)}
}
