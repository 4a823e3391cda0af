// Package logsink takes log lines without ever making their writer wait. Lines
// are written in batches by a goroutine of its own; when they come faster than
// they can be written, they are dropped and counted, and the count is logged.
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
	// mostWaiting bounds the bytes that wait to be written: a second of lines
	// of a busy leader several times over.
	mostWaiting = 1 << 20
	// flushInterval is how long a line waits for others at most.
	flushInterval = 100 * time.Millisecond
	// writeBytes bounds one write, so that readers of a pipe get whole lines.
	writeBytes = 4 << 10
	// flushBytes wakes the writer early.
	flushBytes = 64 << 10
)

// Sink is an io.Writer for whole lines. It is safe for concurrent use.
type Sink struct {
	out  io.Writer
	full chan struct{}

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	dropped int64
}

// New returns a sink whose loop is not yet running.
func New(out io.Writer) *Sink {
	return &Sink{
		out:  out,
		full: make(chan struct{}, 1),
	}
}

// Write implements io.Writer; it never fails and never waits.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting)+len(line) > mostWaiting {
		s.dropped++
		return len(line), nil
	}
	s.waiting = append(s.waiting, line...)
	if len(s.waiting) > flushBytes {
		select {
		case s.full <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Run writes until the context ends.
func (s *Sink) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.Flush()
			return
		case <-ticker.C:
		case <-s.full:
		}
		s.Flush()
	}
}

// wholeLines is the length of the lines that go into one write.
func wholeLines(lines []byte) int {
	if len(lines) <= writeBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:writeBytes], '\n'); end >= 0 {
		return end + 1
	}
	return writeBytes
}

// Flush writes what waits.
func (s *Sink) Flush() {
	s.mu.Lock()
	lines, dropped := s.waiting, s.dropped
	s.waiting, s.spare, s.dropped = s.spare[:0], nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "logsink: %d lines dropped\n", dropped)
	}
	for rest := lines; len(rest) > 0; {
		part := rest[:wholeLines(rest)]
		_, _ = s.out.Write(part) // there is nowhere left to say so
		rest = rest[len(part):]
	}
	s.mu.Lock()
	s.spare = lines
	s.mu.Unlock()
}
