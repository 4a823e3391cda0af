package listener

import (
	"bufio"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/budget"
)

// testListener is a running Listener.
type testListener struct {
	*Listener
	address  string
	counts   *expvar.Map
	failures chan error
	// limits may be replaced at any time.
	limits atomic.Pointer[Limits]
}

// testLimits are the limits of a test unless it replaces them.
var testLimits = Limits{
	HeaderBytes:   2 << 10,
	HeaderTimeout: time.Minute,
	IdleTimeout:   time.Minute,
}

const (
	testBodyBytes   = 64 << 10
	testConnections = 2
)

func startListener(t *testing.T, handler http.HandlerFunc) *testListener {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(socket.Addr().String())
	require.NoError(t, socket.Close())
	l := &testListener{
		address:  address.String(),
		counts:   new(expvar.Map).Init(),
		failures: make(chan error, 1),
	}
	l.limits.Store(&testLimits)
	l.Listener = New(Config{
		Name:    "callers",
		Address: address,
		Handler: handler,
		Budget: budget.New(budget.Config{
			Connections:   testConnections,
			Bytes:         testBodyBytes,
			StallTime:     50 * time.Millisecond,
			ProgressBytes: 1 << 10,
			Evicted:       func(phase budget.Phase) { l.counts.Add("evicted_"+phase.String(), 1) },
			Clock:         time.Now,
		}),
		Limits:   func() Limits { return *l.limits.Load() },
		Refusals: NewRefusals(l.counts, time.Now),
		Failures: l.failures,
	})
	require.NoError(t, l.Listen())
	go l.Run()
	t.Cleanup(l.Close)
	return l
}

// echo answers with the length of the body, or the status of its error.
func echo(timeout time.Duration) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		body, err := ReadBody(writer, request, testBodyBytes, time.Now().Add(timeout))
		if err != nil {
			writer.WriteHeader(Status(err))
			return
		}
		_, _ = fmt.Fprintf(writer, "%d", body.Len())
	}
}

func (l *testListener) dial(t *testing.T) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", l.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	require.NoError(t, connection.SetDeadline(time.Now().Add(time.Minute)))
	return connection
}

// read returns the status and the body of the next answer.
func read(t *testing.T, connection net.Conn) (status int, body string) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(text)
}

// isClosed waits until the other side has closed the connection.
func isClosed(connection net.Conn) bool {
	var timeout net.Error
	_, err := io.Copy(io.Discard, connection)
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

func (l *testListener) count(name string) string {
	if value := l.counts.Get(name); value != nil {
		return value.String()
	}
	return "0"
}

func TestRequests(t *testing.T) {
	const start = "POST / HTTP/1.1\r\nHost: a\r\n"
	tests := map[string]struct {
		limits  Limits
		timeout time.Duration
		text    string
		// want is the status of the answer; zero means that the connection is closed
		// without one.
		want int
		// wantBody is the body of an answer 200.
		wantBody string
	}{
		"length": {
			text:     start + "Content-Length: 30000\r\n\r\n" + strings.Repeat("x", 30000),
			want:     http.StatusOK,
			wantBody: "30000",
		},
		"largest": {
			text:     start + fmt.Sprintf("Content-Length: %d\r\n\r\n", testBodyBytes/2) + strings.Repeat("x", testBodyBytes/2),
			want:     http.StatusOK,
			wantBody: fmt.Sprint(testBodyBytes / 2),
		},
		"chunks": {
			text:     start + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("8\r\nxxxxxxxx\r\n", 1000) + "0\r\n\r\n",
			want:     http.StatusOK,
			wantBody: "8000",
		},
		"no body": {
			text:     "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
			want:     http.StatusOK,
			wantBody: "0",
		},
		"length over the limit": {
			text: start + fmt.Sprintf("Content-Length: %d\r\n\r\n", testBodyBytes+1),
			want: http.StatusRequestEntityTooLarge,
		},
		"body without an end": {
			timeout: 100 * time.Millisecond,
			text:    start + "Content-Length: 10\r\n\r\nxxx",
			want:    http.StatusRequestTimeout,
		},
		"more than there is memory": {
			text: start + "Transfer-Encoding: chunked\r\n\r\nffff\r\n" + strings.Repeat("x", 0xffff) + "\r\n",
			want: http.StatusServiceUnavailable,
		},
		"malformed chunk": {
			text: start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
			want: http.StatusBadRequest,
		},
		"header within the limit": {
			text:     "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 1900) + "\r\n\r\n",
			want:     http.StatusOK,
			wantBody: "0",
		},
		"header over the limit": {
			text: "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 7<<10) + "\r\n\r\n",
			want: http.StatusRequestHeaderFieldsTooLarge,
		},
		"header for which there is no memory": {
			limits: Limits{
				HeaderBytes:   1 << 20,
				HeaderTimeout: time.Minute,
			},
			text: "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", testBodyBytes) + "\r\n\r\n",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if tt.timeout == 0 {
				tt.timeout = time.Minute
			}
			l := startListener(t, echo(tt.timeout))
			if tt.limits != (Limits{}) {
				l.limits.Store(&tt.limits)
			}
			connection := l.dial(t)
			go func() { _, _ = connection.Write([]byte(tt.text)) }()
			if tt.want != 0 {
				status, body := read(t, connection)
				assert.Equal(t, tt.want, status)
				assert.Equal(t, tt.wantBody, body)
			}
			if tt.want != http.StatusOK {
				assert.True(t, isClosed(connection))
			}
			require.Eventually(t, func() bool {
				now, _ := l.config.Budget.Use()
				return now.Bytes == 0
			}, time.Minute, time.Millisecond, "memory is given back")
		})
	}
}

func TestTimeLimits(t *testing.T) {
	tests := map[string]struct {
		limits Limits
		// sent is sent before the wait, of which an answer is read if answered is set.
		sent     string
		answered bool
	}{
		"nothing sent": {
			limits: Limits{
				HeaderTimeout: 50 * time.Millisecond,
				IdleTimeout:   time.Hour,
			},
		},
		"header without an end": {
			limits: Limits{
				HeaderBytes:   2 << 10,
				HeaderTimeout: 50 * time.Millisecond,
				IdleTimeout:   time.Hour,
			},
			sent: "GET / HTTP/1.1\r\nHost: ",
		},
		"idle after an answer": {
			limits: Limits{
				HeaderBytes:   2 << 10,
				HeaderTimeout: time.Hour,
				IdleTimeout:   50 * time.Millisecond,
			},
			sent:     "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
			answered: true,
		},
		"header without an end after an answer": {
			limits: Limits{
				HeaderBytes:   2 << 10,
				HeaderTimeout: 50 * time.Millisecond,
				IdleTimeout:   time.Hour,
			},
			sent:     "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: ",
			answered: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := startListener(t, echo(time.Minute))
			l.limits.Store(&tt.limits)
			connection := l.dial(t)
			_, _ = connection.Write([]byte(tt.sent))
			if tt.answered {
				status, _ := read(t, connection)
				assert.Equal(t, http.StatusOK, status)
			}
			assert.True(t, isClosed(connection))
		})
	}
}

// A connection meets new limits with its next request, without being closed.
func TestLimitsChangeOnOpenConnections(t *testing.T) {
	l := startListener(t, echo(time.Minute))
	connection := l.dial(t)
	large := "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 7<<10) + "\r\n\r\n"
	wide := testLimits
	wide.HeaderBytes = 16 << 10
	l.limits.Store(&wide)
	_, _ = connection.Write([]byte(large))
	status, _ := read(t, connection)
	require.Equal(t, http.StatusOK, status)
	l.limits.Store(&testLimits)
	_, _ = connection.Write([]byte(large))
	status, _ = read(t, connection)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
}

// A handler that works longer than all limits of time is not disturbed.
func TestSlowHandlerKeepsItsConnection(t *testing.T) {
	l := startListener(t, func(writer http.ResponseWriter, request *http.Request) {
		_, err := ReadBody(writer, request, testBodyBytes, time.Now().Add(50*time.Millisecond))
		assert.NoError(t, err)
		select {
		case <-request.Context().Done():
			writer.WriteHeader(http.StatusInternalServerError)
		case <-time.After(200 * time.Millisecond):
		}
	})
	l.limits.Store(&Limits{
		HeaderBytes:   2 << 10,
		HeaderTimeout: 50 * time.Millisecond,
		IdleTimeout:   50 * time.Millisecond,
	})
	for name, text := range map[string]string{
		"with a body":    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
		"without a body": "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		connection := l.dial(t)
		_, _ = connection.Write([]byte(text))
		status, _ := read(t, connection)
		assert.Equal(t, http.StatusOK, status, name)
	}
}

// Of more connections than there are places for, those that are idle give way; if
// all are served, a new one is closed at once, without an answer.
func TestConnectionsBeyondTheBudget(t *testing.T) {
	started, leave := make(chan struct{}, testConnections), make(chan struct{})
	l := startListener(t, func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/slow" {
			started <- struct{}{}
			<-leave
		}
	})
	defer close(leave)
	idle := l.dial(t)
	_, _ = idle.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	_, _ = read(t, idle)
	for range testConnections {
		connection := l.dial(t)
		_, _ = connection.Write([]byte("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"))
		<-started // until its request has arrived, it gives way itself
	}
	assert.True(t, isClosed(idle))
	assert.Equal(t, "1", l.count("evicted_waiting"))
	text, _ := io.ReadAll(l.dial(t))
	assert.Empty(t, text)
	assert.Equal(t, "1", l.count("refused_connections"))
}

// A body that stalls gives way to one that makes progress, and its handler gets an
// error.
func TestStalledBodyGivesWay(t *testing.T) {
	l := startListener(t, echo(time.Minute))
	stalled := l.dial(t)
	_, _ = stalled.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 45000)))
	require.Eventually(t, func() bool {
		now, _ := l.config.Budget.Use()
		return now.Bytes >= 40000
	}, time.Minute, time.Millisecond)
	time.Sleep(100 * time.Millisecond) // longer than StallTime
	connection := l.dial(t)
	_, _ = connection.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\n" + strings.Repeat("x", 50000)))
	status, body := read(t, connection)
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "50000", body)
	assert.True(t, isClosed(stalled))
	assert.Equal(t, "1", l.count("evicted_receiving"))
}

// A caller that does not read its answers gives way, and its memory with it.
func TestUnreadAnswersGiveWay(t *testing.T) {
	l := startListener(t, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write(make([]byte, 8<<20))
	})
	unread := l.dial(t)
	_, _ = unread.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	time.Sleep(100 * time.Millisecond) // longer than StallTime
	first, second := l.dial(t), l.dial(t)
	_, _ = second.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	_, _ = first.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	require.Eventually(t, func() bool {
		extra := l.dial(t)
		_, _ = extra.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
		return l.count("evicted_sending") != "0"
	}, time.Minute, 20*time.Millisecond)
}

// Guards against a process that exits on shutdown while requests are in progress,
// so that callers lose their responses.
func TestRequestsInProgressAreFinished(t *testing.T) {
	started := make(chan struct{})
	l := startListener(t, func(writer http.ResponseWriter, _ *http.Request) {
		close(started)
		time.Sleep(200 * time.Millisecond)
		_, _ = writer.Write([]byte("whole"))
	})
	bodies := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + l.address)
		if err != nil {
			bodies <- err.Error()
			return
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		bodies <- string(text)
	}()
	<-started
	require.NoError(t, l.Drain(context.Background(), time.Now().Add(time.Second)))
	assert.Equal(t, "whole", <-bodies)
	assert.Empty(t, l.failures, "a shutdown is not reported as a failure")
}

// Connections whose request does not arrive do not hold up a shutdown.
func TestDrainDoesNotWaitForStalledRequests(t *testing.T) {
	l := startListener(t, echo(time.Hour))
	stalled := l.dial(t)
	_, _ = stalled.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nx"))
	header := l.dial(t)
	_, _ = header.Write([]byte("POST / HTTP/1.1\r\nHost"))
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, l.Drain(context.Background(), time.Now().Add(time.Minute)))
	assert.True(t, isClosed(stalled))
	assert.True(t, isClosed(header))
}

// Requests that are served hold up a shutdown until its deadline.
func TestDrainEndsAtItsDeadline(t *testing.T) {
	started, leave := make(chan struct{}), make(chan struct{})
	defer close(leave)
	l := startListener(t, func(http.ResponseWriter, *http.Request) {
		close(started)
		<-leave
	})
	served := l.dial(t)
	_, _ = served.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	<-started
	require.ErrorIs(t, l.Drain(context.Background(), time.Now().Add(100*time.Millisecond)), context.DeadlineExceeded)
	assert.True(t, isClosed(served))
}

func TestAddressInUse(t *testing.T) {
	first := startListener(t, echo(time.Minute))
	second := New(Config{
		Name:    "callers",
		Address: netip.MustParseAddrPort(first.address),
	})
	require.ErrorIs(t, second.Listen(), ErrListen)
}

// A reason that comes often is counted each time, and logged once in an interval.
func TestRefusalsAreLoggedOnceInAnInterval(t *testing.T) {
	counts, now := new(expvar.Map).Init(), time.Unix(1000, 0)
	refusals := NewRefusals(counts, func() time.Time { return now })
	for range 5 {
		refusals.Add("no_memory")
	}
	assert.Equal(t, `{"refused_no_memory": 5}`, counts.String())
	assert.Equal(t, 4, refusals.logs["no_memory"].since, "the first one is logged")
	now = now.Add(refusalLogInterval)
	refusals.Add("no_memory")
	assert.Zero(t, refusals.logs["no_memory"].since)
}
