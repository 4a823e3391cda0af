package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validSettings = `[host]
id = a-1
zone = a

[listen]
callers = 127.0.0.1:1
operators = 127.0.0.1:2
peers = 127.0.0.1:3

[peers]
key = sixteen-bytes-or-more

[platform]
endpoints = 127.0.0.1:4
`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "host.ini")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoad(t *testing.T) {
	loaded, err := Load(writeFile(t, validSettings))
	require.NoError(t, err)
	assert.Equal(t, "a-1", loaded.Host.ID)
	assert.Equal(t, "127.0.0.1:3", loaded.Listen.Peers.String())
}

func TestEnvironmentOverridesFile(t *testing.T) {
	t.Setenv("MUSTARDREACH_HOST_ID", "from-env")
	loaded, err := Load(writeFile(t, validSettings))
	require.NoError(t, err)
	assert.Equal(t, "from-env", loaded.Host.ID)
}

// TestInvalidSettings checks that errors name file, line and key, so that an
// operator finds the faulty value.
func TestInvalidSettings(t *testing.T) {
	tests := map[string]struct {
		text  string
		wants []string
	}{
		"unknown key": {
			text:  validSettings + "speed = 3\n",
			wants: []string{"host.ini:15:", "platform.speed", "unknown key"},
		},
		"not an address": {
			text:  "[listen]\npeers = localhost\n",
			wants: []string{"host.ini:2:", "listen.peers", "IP:PORT"},
		},
		"not a duration": {
			text:  "[peers]\n\nheartbeat = soon\n",
			wants: []string{"host.ini:3:", "peers.heartbeat", "duration"},
		},
		"duration of zero": {
			text:  "[rights]\nterm = 0s\n",
			wants: []string{"host.ini:2:", "rights.term", "above zero"},
		},
		"number out of range": {
			text:  "[requests]\nqueue = 99999999999\n",
			wants: []string{"host.ini:2:", "requests.queue"},
		},
		"peer key too short": {
			text:  "[host]\nid = a\nzone = z\n[listen]\ncallers = 127.0.0.1:1\noperators = 127.0.0.1:2\npeers = 127.0.0.1:3\n[platform]\nendpoints = 127.0.0.1:4\n[peers]\nkey = short\n",
			wants: []string{"host.ini:11:", "peers.key", "16 bytes"},
		},
		"term shorter than three polls": {
			text:  validSettings + "[rights]\nterm = 1s\n",
			wants: []string{"host.ini:16:", "rights.term", "platform.poll"},
		},
		"required setting missing": {
			text:  "[host]\nid = a\n",
			wants: []string{"host.zone", "required"},
		},
		"same key twice": {
			text:  "[host]\nid = a\nid = b\n",
			wants: []string{"host.ini:3:", "line 2"},
		},
		"not INI at all": {
			text:  "host\n",
			wants: []string{"host.ini"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Load(writeFile(t, test.text))
			require.Error(t, err)
			for _, want := range test.wants {
				assert.ErrorContains(t, err, want)
			}
		})
	}
}

// FuzzLoad guards against a panic in parsing and against settings that are
// accepted without a required key.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[a]\nb"))
	f.Add([]byte("\"\"\"="))
	f.Fuzz(func(t *testing.T, text []byte) {
		loaded, err := Load(writeFile(t, string(text)))
		if err == nil && loaded.Host.ID == "" {
			t.Fatal("accepted without host.id")
		}
	})
}
