package leader

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// Guards against calls to what somebody else has listed: an entry of a service that no
// configuration names has the address of a worker (review case 6).
func TestEntryOfAnotherServiceIsNotUsed(t *testing.T) {
	s := newSite(t)
	value, err := cbor.Marshal(schedule.Listing{
		ID:      "x",
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
		Service: "inventory",
		Born:    time.Now(),
	})
	require.NoError(t, err)
	s.put("workers/x", value)
	leading, _ := s.startLeader("recife-1")
	s.submit("a")
	s.waitCompleted(leading, "a")
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	assert.NotContains(t, s.workers.tokens, "x", "it was polled")
	assert.Contains(t, s.workers.tokens, "w0")
}
