package budget

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The figures of docs/design/callers.md.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		memory          int64
		descriptors     int
		wantConnections int
		wantStoreCalls  int
	}{
		"memory decides": {
			memory:          284 << 20,
			descriptors:     3900,
			wantConnections: 568,
			wantStoreCalls:  195,
		},
		"descriptors decide": {
			memory:          284 << 20,
			descriptors:     312,
			wantConnections: 62,
			wantStoreCalls:  15,
		},
		"few of both": {
			memory:          1,
			descriptors:     1,
			wantConnections: 1,
			wantStoreCalls:  minStoreCalls,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			config := ForProcess(tt.memory, tt.descriptors)
			assert.Equal(t, tt.wantConnections, config.Connections)
			assert.Equal(t, tt.wantStoreCalls, StoreCalls(tt.descriptors))
			assert.LessOrEqual(t, int64(config.Connections-1)*placeBytes+config.Bytes, tt.memory/4+1)
		})
	}
}
