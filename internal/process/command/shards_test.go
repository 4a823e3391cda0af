package command

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/leader"
	"mustardreach.example/mustardreach/internal/process/shard"
)

func TestPrintShards(t *testing.T) {
	out := &bytes.Buffer{}
	require.NoError(t, (&session{
		out: out,
	}).printShards([]leader.ShardStatus{
		{
			Shard: 0,
			Host:  "recife-1",
			Token: 2379,
			Loads: map[string]shard.Load{
				"workshop": {
					Capacity: 5_856_000,
					Free:     1_171_200,
					Unused:   2_928_000,
					Waiting:  78_000,
				},
			},
		},
		{
			Shard: 1,
		},
	}))
	assert.Equal(t, `SHARD  LEADER    TOKEN  SERVICE   CORES  CLAIMED  IDLE  WAITING  WAITING FILLERS
0      recife-1  2379   workshop  5856   80%      50%   78       0
1      none      0      -         -      -        -     -        -
`, out.String())
}

func TestShardsNeedsSettings(t *testing.T) {
	out, errOut := &bytes.Buffer{}, &bytes.Buffer{}
	assert.Equal(t, exitFailure, Run([]string{"platform", "shards"}, out, errOut))
	assert.Contains(t, errOut.String(), "not set")
	assert.Equal(t, exitUsage, Run([]string{"platform", "shards", "more"}, out, errOut))
}
