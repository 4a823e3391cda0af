// Package logsink buffers log lines so that logging never blocks. A goroutine
// writes them in batches; when the buffer is full, further lines are dropped
// and counted, and the count is logged.
package logsink

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes is several times what a busy leader logs in a second.
	maxBufferedBytes = 1 << 20
	// flushInterval is the maximum time that a line stays in the buffer while
	// the output accepts writes.
	flushInterval = 100 * time.Millisecond
	// maxWriteBytes is small enough that a write to a pipe is atomic, so that
	// its readers get whole lines.
	maxWriteBytes = 4 << 10
	// earlyFlushBytes is the buffer size above which Run flushes at once.
	earlyFlushBytes = 64 << 10
)

// Sink is a buffered io.Writer for whole lines. It is safe for concurrent use.
type Sink struct {
	out  io.Writer
	wake chan struct{}

	mu     sync.Mutex
	buffer []byte
	// spare is an emptied buffer that the next Flush swaps in.
	spare []byte
	// dropped counts the lines dropped since the last Flush.
	dropped int64
}

// New returns a sink that writes to out once Run is called.
func New(out io.Writer) *Sink {
	return &Sink{
		out:  out,
		wake: make(chan struct{}, 1),
	}
}

// Write implements io.Writer. It never fails and never blocks on the output; a
// line that does not fit the buffer is dropped.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(line) > maxBufferedBytes {
		s.dropped++
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	if len(s.buffer) > earlyFlushBytes {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Run flushes at the interval, and early when much is buffered, until the
// context ends.
func (s *Sink) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.Flush()
			return
		case <-ticker.C:
		case <-s.wake:
		}
		s.Flush()
	}
}

// wholeLines returns the number of bytes to write at once: as many whole lines
// as fit maxWriteBytes, or a part of a line that is longer than that.
func wholeLines(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	return maxWriteBytes
}

// Flush writes the buffered lines, then the number of lines dropped, if any.
func (s *Sink) Flush() {
	s.mu.Lock()
	lines, dropped := s.buffer, s.dropped
	s.buffer, s.spare, s.dropped = s.spare[:0], nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "logsink: %d lines dropped\n", dropped)
	}
	for remaining := lines; len(remaining) > 0; {
		chunk := remaining[:wholeLines(remaining)]
		_, _ = s.out.Write(chunk) // the log itself failed: nowhere to report it
		remaining = remaining[len(chunk):]
	}
	s.mu.Lock()
	s.spare = lines
	s.mu.Unlock()
}
