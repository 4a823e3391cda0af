package command

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// run runs one command line and returns its exit status and all its output.
func run(arguments ...string) (int, string) {
	var out bytes.Buffer
	status := Run(arguments, &out, &out)
	return status, out.String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.ini")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestExitStatus(t *testing.T) {
	tests := map[string]struct {
		arguments []string
		status    int
		output    string
	}{
		"version":                {arguments: []string{"version"}, status: 0, output: "peer protocol"},
		"no command":             {arguments: nil, status: 2, output: "command is missing"},
		"an unknown command":     {arguments: []string{"fly"}, status: 2, output: `"fly"`},
		"an unknown flag":        {arguments: []string{"serve", "-wings"}, status: 2, output: "wings"},
		"no host given":          {arguments: []string{"status"}, status: 2, output: "-operators"},
		"not an address":         {arguments: []string{"status", "-operators", "there"}, status: 2, output: "IP:PORT"},
		"unreachable host":       {arguments: []string{"status", "-operators", "127.0.0.1:1"}, status: 1, output: "is the host running?"},
		"no customer":            {arguments: []string{"ledger", "-callers", "127.0.0.1:1"}, status: 2, output: "-customer"},
		"payload is not JSON":    {arguments: []string{"job", "submit", "-callers", "127.0.0.1:1", "-payload", "{"}, status: 2, output: "-payload"},
		"no file":                {arguments: []string{"check", "/nowhere.ini"}, status: 2, output: "nowhere"},
		"serve without settings": {arguments: []string{"serve"}, status: 2, output: "host.id"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			status, text := run(test.arguments...)
			assert.Equal(t, test.status, status, text)
			assert.Contains(t, text, test.output)
		})
	}
}

// TestCheckNamesLineAndKey checks files whose faults an operator must find from
// the message alone, and one without a fault.
func TestCheckNamesLineAndKey(t *testing.T) {
	status, text := run("check", writeFile(t, "[added zone a]\nspeed = 1\n[host]\n"))
	assert.Equal(t, 1, status)
	assert.Contains(t, text, "file.ini:2:")
	status, text = run("check", writeFile(t, "[note]\nid = x\n[added class k]\nretries = 100000\n"))
	assert.Equal(t, 1, status, "values are checked offline too")
	assert.Contains(t, text, "file.ini:4: retries")
	status, text = run("check", writeFile(t, "[withdrawn zone a]\n"))
	assert.Equal(t, 0, status, text)
}

// TestHostRefusalIsShown guards against a refusal whose reason is lost on the
// way from the host's response to the operator.
func TestHostRefusalIsShown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"detail":"lost to note other","outcome":"not_run"}`))
	}))
	defer server.Close()
	status, text := run("release", "apply", "-operators", server.Listener.Addr().String(), writeFile(t, "[withdrawn zone a]\n"))
	assert.Equal(t, 1, status)
	assert.Contains(t, text, "lost to note other")
}

func TestSamplesAreValid(t *testing.T) {
	samples, err := filepath.Glob("../../../samples/*/*.ini")
	require.NoError(t, err)
	require.NotEmpty(t, samples)
	for _, sample := range samples {
		status, text := run("check", sample)
		assert.Equal(t, 0, status, text)
	}
}

// Guards against a host that SIGHUP ends (review case 10), and against a short
// command that goes on after its terminal is closed.
func TestOnlyHostsRunOnAfterHangup(t *testing.T) {
	tests := map[string]struct {
		arguments []string
		want      bool
	}{
		"entry host":         {arguments: []string{"serve", "-config", "host.ini"}, want: true},
		"host on a platform": {arguments: []string{"platform"}, want: true},
		"shards":             {arguments: []string{"platform", "shards"}},
		"job command":        {arguments: []string{"job", "get", "platform"}},
		"no command":         {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, runsHost(test.arguments))
		})
	}
}
