package daemon

import (
	"io"
	stdlog "log"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist/event"
)

// logQueue bounds the log lines that wait for a slow reader of standard output.
const logQueue = 4096

// discardLogger returns a logger for the messages of net/http about callers' broken connections, which say nothing about this process.
func discardLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// AsyncWriter writes log lines in the background and drops those that exceed its queue, so that logging never blocks a request.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	to      io.Writer
	ended   chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to the writer.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	o := &AsyncWriter{lines: make(chan []byte, logQueue), to: to, ended: make(chan struct{})}
	go o.run()
	return o
}

// Write queues a line or drops it.
func (o *AsyncWriter) Write(b []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), b...):
	default:
		o.dropped.Add(1)
	}
	return len(b), nil
}

// run writes queued lines.
func (o *AsyncWriter) run() {
	defer close(o.ended)
	for b := range o.lines {
		if _, err := o.to.Write(b); err != nil {
			o.dropped.Add(1)
		}
		if n := o.dropped.Swap(0); n > 0 {
			o.report(n)
		}
	}
}

// report writes how many lines were dropped.
func (o *AsyncWriter) report(n int64) {
	l := logrus.New()
	l.SetFormatter(&logrus.JSONFormatter{})
	l.SetOutput(o.to)
	event.NewLog(l).Write(event.LogDropped, logrus.Fields{"lines": n})
}

// Close writes the queued lines and ends the output; nothing may be written afterwards.
func (o *AsyncWriter) Close() {
	close(o.lines)
	<-o.ended
}
