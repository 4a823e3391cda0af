package load

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPortInUse guards against a base that is reported as free while another
// process listens on one of its ports.
func TestPortInUse(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	port := listener.Addr().(*net.TCPAddr).Port
	base := port - sitePorts()[0]
	assert.Equal(t, port, PortInUse(context.Background(), base))
}
