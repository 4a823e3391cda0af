package schedule

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a reason or an exclusion that logs and counters show without a word,
// or two of them with the same one.
func TestReasonsHaveWords(t *testing.T) {
	words := map[string]bool{}
	for reason := range reasonCount {
		assert.NotEmpty(t, reason.String())
		words[reason.String()] = true
	}
	assert.Len(t, words, int(reasonCount))
	clear(words)
	for cause := range exclusionCount {
		assert.NotEmpty(t, cause.String())
		words[cause.String()] = true
	}
	assert.Len(t, words, int(exclusionCount))
}
