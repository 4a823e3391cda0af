package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"
)

// ErrUnknown means that it is not known whether the worker acted on a message.
var ErrUnknown = errors.New("worker outcome unknown")

// maxAnswerBytes bounds how much of an answer is read.
const maxAnswerBytes = 16 << 20

// ClientConfig sets up a Client.
type ClientConfig struct {
	// Timeout bounds each exchange.
	Timeout time.Duration
}

// Client sends messages to any number of workers. It is safe for concurrent
// use.
type Client struct {
	http *http.Client
}

// NewClient returns a client.
func NewClient(config ClientConfig) *Client {
	return &Client{
		http: &http.Client{
			Timeout: config.Timeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 1,
				IdleConnTimeout:     time.Minute,
				ReadBufferSize:      4 << 10,
				WriteBufferSize:     4 << 10,
			},
		},
	}
}

// Heartbeat extends the leases of the listed attempts and returns the worker's
// inventory. Errors: ErrUnknown.
func (c *Client) Heartbeat(ctx context.Context, address netip.AddrPort, heartbeat Heartbeat) (Inventory, error) {
	var inventory Inventory
	return inventory, c.post(ctx, address, "/v1/heartbeat", heartbeat, &inventory)
}

// Start asks the worker to run an attempt. Errors: ErrUnknown.
func (c *Client) Start(ctx context.Context, address netip.AddrPort, start Start) (Reply, error) {
	var reply Reply
	return reply, c.post(ctx, address, "/v1/tasks", start, &reply)
}

// Command sends a verb (checkpoint, stop or throttle) to an attempt. Errors:
// ErrUnknown.
func (c *Client) Command(ctx context.Context, address netip.AddrPort, attempt, verb string, command Command) (Reply, error) {
	var reply Reply
	path := "/v1/tasks/" + url.PathEscape(attempt) + "/" + verb
	return reply, c.post(ctx, address, path, command, &reply)
}

func (c *Client) post(ctx context.Context, address netip.AddrPort, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("%w: cannot encode message to %s%s: %v", ErrUnknown, address, path, err)
	}
	target := "http://" + address.String() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: cannot build request to %s: %v", ErrUnknown, target, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("%w: cannot read answer of %s: %v", ErrUnknown, target, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s answered with status %d: %s", ErrUnknown, target, response.StatusCode, text)
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return fmt.Errorf("%w: cannot decode answer of %s: %v", ErrUnknown, target, err)
	}
	return nil
}
