package platform_test

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/process/platform"
	"mustardreach.example/mustardreach/internal/process/standin"
)

func newClient(address string, timeout time.Duration) *platform.Client {
	return platform.NewClient(platform.Config{
		Endpoints:      []netip.AddrPort{netip.MustParseAddrPort(address)},
		Timeout:        timeout,
		CallsPerSecond: 10000,
		Calls:          &expvar.Map{},
	})
}

func put(key, value string) platform.TxnRequest {
	return platform.TxnRequest{
		Compare: []platform.Compare{platform.KeyAbsent(key)},
		Success: []platform.Op{platform.Put(key, []byte(value))},
		Failure: []platform.Op{platform.Get(key)},
	}
}

func TestCompareAndSwap(t *testing.T) {
	server := httptest.NewServer(standin.NewStore())
	defer server.Close()
	client := newClient(server.Listener.Addr().String(), 20*time.Second)
	first, err := client.Txn(context.Background(), "put", put("k", "one"))
	require.NoError(t, err)
	assert.True(t, first.Succeeded)
	second, err := client.Txn(context.Background(), "put", put("k", "two"))
	require.NoError(t, err)
	assert.False(t, second.Succeeded)
	assert.Equal(t, "one", string(second.Responses[0].Range.Kvs[0].Value))
}

// TestErrorsReportPossibleEffect guards against a write reported as not done
// that was done, or reported as unknown although the platform rejected it.
func TestErrorsReportPossibleEffect(t *testing.T) {
	tests := map[string]struct {
		serve http.HandlerFunc
		want  error
	}{
		"an interrupted response is unknown": {
			serve: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			want:  platform.ErrUnknown,
		},
		"a server error is unknown": {
			serve: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
			want:  platform.ErrUnknown,
		},
		"a response that is not JSON is unknown": {
			serve: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) },
			want:  platform.ErrUnknown,
		},
		"an exceeded rate limit is unavailable": {
			serve: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
			want:  platform.ErrUnavailable,
		},
		"a bad request is refused": {
			serve: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) },
			want:  platform.ErrRefused,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(test.serve)
			defer server.Close()
			client := newClient(server.Listener.Addr().String(), 20*time.Second)
			_, err := client.Txn(context.Background(), "test", platform.TxnRequest{})
			require.ErrorIs(t, err, test.want)
		})
	}
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = newClient(address, 20*time.Second).Txn(context.Background(), "test", platform.TxnRequest{})
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

// TestTimeoutIsUnknown sends a request that the server receives but does not
// answer in time: it may still take effect.
func TestTimeoutIsUnknown(t *testing.T) {
	finish := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-finish }))
	defer server.Close()
	defer close(finish)
	_, err := newClient(server.Listener.Addr().String(), 50*time.Millisecond).Txn(context.Background(), "test", platform.TxnRequest{})
	require.ErrorIs(t, err, platform.ErrUnknown)
}

// concurrentCommit is one of many commits submitted at once.
type concurrentCommit struct {
	committer *platform.Committer
	key       string
	pending   *sync.WaitGroup
	succeeded chan<- string
}

func (c concurrentCommit) run() {
	defer c.pending.Done()
	response, err := c.committer.Do(context.Background(), put(c.key, "x"))
	if err == nil && response.Succeeded {
		c.succeeded <- c.key
	}
}

// TestCommitterKeepsResultsSeparate submits two commits for each key, of which
// one must fail without failing the others in its call.
func TestCommitterKeepsResultsSeparate(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	committer := platform.NewCommitter(platform.CommitterConfig{
		Client:         newClient(server.Listener.Addr().String(), 20*time.Second),
		BatchDelay:     5 * time.Millisecond,
		MaxBatch:       50,
		QueueSize:      1000,
		MaxInFlight:    2,
		CallsPerSecond: 1000,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go committer.Run(ctx)
	const keys = 100
	var pending sync.WaitGroup
	succeeded := make(chan string, 2*keys)
	for i := range 2 * keys {
		pending.Add(1)
		go concurrentCommit{
			committer: committer,
			key:       string(rune('a' + i%keys)),
			pending:   &pending,
			succeeded: succeeded,
		}.run()
	}
	pending.Wait()
	assert.Len(t, succeeded, keys, "one commit succeeds for each key")
	assert.Less(t, store.Record().Calls, 2*keys, "commits share calls")
}
