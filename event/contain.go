package event

import (
	"fmt"
	"runtime/debug"

	"github.com/sirupsen/logrus"
)

// Contain runs the handling of one message, request or round of a loop. If it panics, Contain logs the panic with its stack
// and returns false, so that an unexpected input ends only what it concerns.
//
// The handling must leave shared state as it was until it has succeeded; states are immutable and replaced at the end.
func (l *Log) Contain(unit string, handle func()) (completed bool) {
	defer func() {
		if p := recover(); p != nil {
			l.Write(PanicContained, logrus.Fields{"unit": unit, "panic": fmt.Sprint(p), "stack": string(debug.Stack())})
		}
	}()
	handle()
	return true
}
