package gate

import (
	"expvar"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/budget"
	"mustardreach.example/mustardreach/internal/connection/listener"
)

// A request runs only if there is memory for its answer; the refusal says that it
// has not run.
func TestMemoryForAnswersIsTakenBeforeTheRequestRuns(t *testing.T) {
	tests := map[string]struct {
		bytes      int64
		wantStatus int
		wantRuns   int64
	}{
		"memory": {
			bytes:      maxBufferedBytes,
			wantStatus: http.StatusOK,
			wantRuns:   1,
		},
		"no memory": {
			bytes:      maxBufferedBytes - 1,
			wantStatus: http.StatusServiceUnavailable,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, echo)
			free, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			require.NoError(t, free.Close())
			callers := listener.New(listener.Config{
				Name:    "callers",
				Address: netip.MustParseAddrPort(free.Addr().String()),
				Handler: f.handler,
				Budget: budget.New(budget.Config{
					Connections:   1,
					Bytes:         tt.bytes,
					StallTime:     time.Minute,
					ProgressBytes: 1,
					Evicted:       func(budget.Phase) {},
					Clock:         time.Now,
				}),
				Limits: func() listener.Limits {
					return listener.Limits{
						HeaderBytes:   1 << 10,
						HeaderTimeout: time.Minute,
						IdleTimeout:   time.Minute,
					}
				},
				Refusals: listener.NewRefusals(new(expvar.Map).Init(), time.Now),
			})
			require.NoError(t, callers.Listen())
			go callers.Run()
			t.Cleanup(callers.Close)
			response, err := http.Get("http://" + free.Addr().String() + "/v1/services/quotes/x")
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			text, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.Equal(t, tt.wantStatus, response.StatusCode)
			assert.Equal(t, tt.wantRuns, f.runs.Load())
			if tt.wantRuns == 0 {
				assert.Contains(t, string(text), NotRun)
				assert.Equal(t, "1", response.Header.Get("Retry-After"))
			}
		})
	}
}
