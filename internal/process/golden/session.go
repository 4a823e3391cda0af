// Package golden compares recorded test sessions, the timed inputs and the
// decisions they led to, with golden files under testdata. Running the tests
// with -rewrite rewrites the files.
package golden

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var rewrite = flag.Bool("rewrite", false, "rewrite the golden sessions")

// fileMode is the permission mode of a golden file.
const fileMode = 0o644

// Session collects the lines of one session.
type Session struct {
	lines []string
}

// Add appends a formatted line, with the time since the start of the session.
func (s *Session) Add(at time.Duration, format string, args ...any) {
	s.lines = append(s.lines, fmt.Sprintf("%8.3fs  %s", at.Seconds(), fmt.Sprintf(format, args...)))
}

// Check compares the session with testdata/NAME.golden, or writes that file if
// the tests run with -rewrite.
func (s *Session) Check(t *testing.T, name string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	text := strings.Join(s.lines, "\n") + "\n"
	if *rewrite {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, []byte(text), fileMode))
		return
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err, "run 'make golden' to write it")
	require.Equal(t, string(want), text)
}
