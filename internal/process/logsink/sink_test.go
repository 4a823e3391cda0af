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

// stuck is a writer that blocks until it is let go.
type stuck struct {
	gate chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *stuck) Write(text []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(text)
}

func (s *stuck) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

func TestLinesKeepTheirOrder(t *testing.T) {
	out := &bytes.Buffer{}
	sink := New(out)
	for range 2 {
		_, _ = sink.Write([]byte("a\n"))
		_, _ = sink.Write([]byte("b\n"))
		sink.Flush()
	}
	assert.Equal(t, "a\nb\na\nb\n", out.String())
}

func TestWritersNeverWait(t *testing.T) {
	out := &stuck{
		gate: make(chan struct{}),
	}
	sink := New(out)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go sink.Run(ctx)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	begun := time.Now()
	for range 4 * mostWaiting / len(line) {
		_, _ = sink.Write(line)
	}
	assert.Less(t, time.Since(begun), 5*time.Second)
	close(out.gate)
	require.Eventually(t, func() bool { return strings.Contains(out.String(), "lines dropped") }, 5*time.Second, 10*time.Millisecond)
}
