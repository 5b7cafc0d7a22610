package daemon

import (
	"io"
	stdlog "log"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist/event"
)

// maxQueuedLines bounds the log lines that are queued for a slow reader of standard output.
const maxQueuedLines = 4096

// discardLogger returns a logger for the messages of net/http about the connections of callers, which are irrelevant
// to the operation of this process.
func discardLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// AsyncWriter writes log lines in the background. It drops lines when its queue is full, so that logging never blocks
// a request.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
	done    chan struct{}
}

// NewAsyncWriter returns a writer that writes to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	o := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), out: out, done: make(chan struct{})}
	go o.run()
	return o
}

// Write queues a line, or drops it if the queue is full.
func (o *AsyncWriter) Write(b []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), b...):
	default:
		o.dropped.Add(1)
	}
	return len(b), nil
}

// run writes the queued lines.
func (o *AsyncWriter) run() {
	defer close(o.done)
	for b := range o.lines {
		if _, err := o.out.Write(b); err != nil {
			o.dropped.Add(1)
		}
		if n := o.dropped.Swap(0); n > 0 {
			o.reportDropped(n)
		}
	}
}

// LogFormatter returns the format of log lines: JSON, with times in milliseconds, so that lines of several processes can be put
// in order.
func LogFormatter() logrus.Formatter {
	return &logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"}
}

// reportDropped writes a log line with the number of dropped lines.
func (o *AsyncWriter) reportDropped(n int64) {
	l := logrus.New()
	l.SetFormatter(LogFormatter())
	l.SetOutput(o.out)
	event.NewLog(l).Write(event.LogDropped, logrus.Fields{"lines": n})
}

// Close writes the queued lines and stops the writer; Write must not be called afterwards.
func (o *AsyncWriter) Close() {
	close(o.lines)
	<-o.done
}
