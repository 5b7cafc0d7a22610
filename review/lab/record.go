//go:build review

package lab

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Recorder writes what happened in a case, each line with the seconds since the start.
type Recorder struct {
	mu     sync.Mutex
	file   *os.File
	buffer *bufio.Writer
	start  time.Time
	count  int
}

// newRecorder creates the file of the record.
func newRecorder(path string) (*Recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, eris.Wrap(err, "create record")
	}
	return &Recorder{file: f, buffer: bufio.NewWriter(f), start: time.Now()}, nil
}

// logf writes a line.
func (r *Recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.buffer, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.buffer, format+"\n", args...)
}

// violate writes a violation of the rule.
func (r *Recorder) violate(format string, args ...any) {
	r.logf("VIOLATION "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
}

// violations returns the number of violations.
func (r *Recorder) violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// close writes the buffered lines.
func (r *Recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.buffer.Flush() // An incomplete record shows itself.
	_ = r.file.Close()   // See above.
}
