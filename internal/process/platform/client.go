// Package platform is the client of the platform's key-value service, which
// speaks etcd's v3 JSON mapping over HTTP. Every call has a deadline and counts
// against the host's rate limit, and every error says whether the call may have
// taken effect.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"
)

var (
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknown means that the call may or may not have taken effect.
	ErrUnknown = errors.New("platform outcome unknown")
	// ErrRefused means that the platform rejected the call, or that the call
	// could not be encoded; it had no effect.
	ErrRefused = errors.New("platform refused the call")
)

const (
	maxResponseBytes   = 64 << 20
	maxIdleConnections = 8
	// burstSeconds is how many seconds' worth of calls may be sent at once.
	burstSeconds          = 2
	statusRateExceeded    = http.StatusTooManyRequests
	transactionPath       = "/v3/kv/txn"
	contentTypeJSON       = "application/json"
	idleConnectionTimeout = 30 * time.Second
)

// Config sets up a Client.
type Config struct {
	// Endpoints must not be empty. A call that fails moves the client on to the
	// next one.
	Endpoints []netip.AddrPort
	// Timeout bounds each call; above zero.
	Timeout time.Duration
	// CallsPerSecond is this host's share of the platform's call rate; above
	// zero.
	CallsPerSecond float64
	// Calls counts the calls sent, by kind.
	Calls *expvar.Map
}

// Client sends transactions to the platform. It is safe for concurrent use.
type Client struct {
	config  Config
	http    *http.Client
	limiter *rate.Limiter
	// next counts failed calls; modulo the endpoints it selects one.
	next atomic.Uint32
}

// NewClient returns a client. It opens connections on demand.
func NewClient(config Config) *Client {
	burst := int(config.CallsPerSecond*burstSeconds) + 1
	return &Client{
		config: config,
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: maxIdleConnections,
				IdleConnTimeout:     idleConnectionTimeout,
			},
		},
		limiter: rate.NewLimiter(rate.Limit(config.CallsPerSecond), burst),
	}
}

// Txn runs one transaction, after waiting for the rate limit; kind is its name
// in the call counts. Errors: ErrUnavailable, ErrUnknown or ErrRefused.
func (c *Client) Txn(ctx context.Context, kind string, txn TxnRequest) (TxnResponse, error) {
	var response TxnResponse
	body, err := json.Marshal(txn)
	if err != nil {
		return response, fmt.Errorf("%w: cannot encode %s request: %v", ErrRefused, kind, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return response, fmt.Errorf("%w: %s call exceeds this host's limit of %v calls a second: %v", ErrUnavailable, kind, c.config.CallsPerSecond, err)
	}
	c.config.Calls.Add(kind, 1)
	return response, c.post(ctx, transactionPath, body, &response)
}

func (c *Client) post(ctx context.Context, path string, body []byte, response any) error {
	endpoint := int(c.next.Load()) % len(c.config.Endpoints)
	url := "http://" + c.config.Endpoints[endpoint].String() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: cannot build request to %s: %v", ErrRefused, url, err)
	}
	request.Header.Set("Content-Type", contentTypeJSON)
	answer, err := c.http.Do(request)
	if err != nil {
		c.next.Add(1)
		return classify(err)
	}
	defer func() { _ = answer.Body.Close() }()
	return decode(answer, response)
}

// decode reads the response and maps its status to the errors of this package.
func decode(answer *http.Response, response any) error {
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: cannot read response of %s: %v", ErrUnknown, answer.Request.URL, err)
	}
	switch {
	case answer.StatusCode == statusRateExceeded:
		return fmt.Errorf("%w: the platform's rate limit is exceeded at %s", ErrUnavailable, answer.Request.URL)
	case answer.StatusCode >= http.StatusInternalServerError:
		return fmt.Errorf("%w: %s answered with status %d", ErrUnknown, answer.Request.URL, answer.StatusCode)
	case answer.StatusCode != http.StatusOK:
		return fmt.Errorf("%w: %s answered with status %d: %s", ErrRefused, answer.Request.URL, answer.StatusCode, text)
	}
	if err := json.Unmarshal(text, response); err != nil {
		return fmt.Errorf("%w: cannot decode response of %s: %v", ErrUnknown, answer.Request.URL, err)
	}
	return nil
}

// classify distinguishes calls that were never sent, because no connection was
// made, from calls that may have arrived.
func classify(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %v", ErrUnknown, err)
}
