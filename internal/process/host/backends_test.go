package host

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"mustardreach.example/mustardreach/internal/process/platform"
)

// Guards against a runner that is used though its entry cannot be read: another
// writer has left it, and the other entries hold.
func TestOddDiscoveryEntryIsNotUsed(t *testing.T) {
	const start = `{"id":"r-odd","zone":"recife","service":"quotes","address":"10.0.0.9:8000","total":`
	tests := map[string]string{
		"deeply nested":    start + strings.Repeat("[", 200_000),
		"number too large": start + `{"milli_cores":1e400}}`,
		"another type":     start + `"all"}`,
		"port out of range": strings.Replace(start, "8000", "65536", 1) +
			`{}}`,
		"no JSON": "\xff",
	}
	for name, odd := range tests {
		t.Run(name, func(t *testing.T) {
			list := &backends{}
			assert.True(t, list.apply(&platform.RangeResponse{
				Kvs: []platform.KeyValue{
					{
						Key:   []byte(listPrefix + "runners/r-odd"),
						Value: []byte(odd),
					},
					{
						Key:   []byte(listPrefix + "runners/r-sound"),
						Value: []byte(`{"id":"r-sound","zone":"recife","service":"quotes","address":"10.0.0.1:8000"}`),
					},
				},
				Count: 2,
			}, true))
			entries := list.runners().Entries
			if assert.Len(t, entries, 1) {
				assert.Equal(t, "r-sound", entries[0].ID)
			}
		})
	}
}
