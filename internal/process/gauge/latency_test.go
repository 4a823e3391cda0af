package gauge

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLatencies(t *testing.T) {
	one := NewLatencies()
	assert.Equal(t, "{}", one.String())
	for i := range 100 {
		one.Note("start", time.Duration(i+1)*time.Millisecond)
	}
	one.Note("start", time.Hour)
	var got map[string]Summary
	require.NoError(t, json.Unmarshal([]byte(one.String()), &got))
	assert.Equal(t, int64(101), got["start"].Count)
	assert.InDelta(t, 51, got["start"].P50MS, 1)
	assert.InDelta(t, 60000, got["start"].MaxMS, 600)
}
