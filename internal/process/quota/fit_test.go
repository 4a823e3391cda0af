package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/request/work"
)

// Guards against a gang that waits for ever, and against the refusal of a job
// that can run in waves.
func TestCheckJob(t *testing.T) {
	tests := map[string]struct {
		gang bool
		size worker.Size
		want string
	}{
		"runs in waves": {
			size: cores(2),
		},
		"gang that fits": {
			gang: true,
			size: cores(1),
		},
		"gang that never fits": {
			gang: true,
			size: cores(2),
			want: "step 0 needs 4 x 2000 millicores at once, the limit is 6000",
		},
		"task that never fits": {
			size: cores(7),
			want: "step 0 needs 1 x 7000 millicores at once, the limit is 6000",
		},
		"gang without a limit in the resource": {
			gang: true,
			size: worker.Size{
				MemoryBytes: 1 << 40,
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := CheckJob(&work.Job{
				Steps: []work.Step{{
					Count: 4,
					Size:  tt.size,
					Gang:  tt.gang,
				}},
			}, cores(6))
			if tt.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, ErrNeverFits)
			assert.ErrorContains(t, err, tt.want)
		})
	}
}
