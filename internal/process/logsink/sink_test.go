package logsink

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// blockedWriter blocks every write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *blockedWriter) Write(text []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(text)
}

func (s *blockedWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// TestFlushKeepsLineOrder guards the two buffers that Flush swaps: a buffer
// used again must not reorder or repeat lines.
func TestFlushKeepsLineOrder(t *testing.T) {
	out := &bytes.Buffer{}
	sink := New(out)
	for range 2 {
		_, _ = sink.Write([]byte("a\n"))
		_, _ = sink.Write([]byte("b\n"))
		sink.Flush()
	}
	assert.Equal(t, "a\nb\na\nb\n", out.String())
}

// TestWriteDoesNotBlock writes four times the buffer while the output is
// blocked: a full pipe must not stop the program that logs, and the lines
// dropped must be reported afterwards.
func TestWriteDoesNotBlock(t *testing.T) {
	out := &blockedWriter{
		unblock: make(chan struct{}),
	}
	sink := New(out)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go sink.Run(ctx)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	start := time.Now()
	for range 4 * maxBufferedBytes / len(line) {
		_, _ = sink.Write(line)
	}
	assert.Less(t, time.Since(start), 5*time.Second)
	close(out.unblock)
	require.Eventually(t, func() bool { return strings.Contains(out.String(), "lines dropped") }, 5*time.Second, 10*time.Millisecond)
}
