package gate

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"mustardreach.example/mustardreach/internal/request/runner"
)

// deadlineMargin is added to a request's deadline before its slot is used
// again. By then the runner has certainly stopped working on the request.
const deadlineMargin = 50 * time.Millisecond

// maxBufferedBytes bounds the answers that are read to the end before any of
// them is passed on. Larger answers are streamed.
const maxBufferedBytes = 64 << 10

// sendResult is the outcome of one send to a runner.
type sendResult struct {
	slot     Slot
	response *http.Response
	// head is the beginning of the body, or all of it if whole is set.
	head  []byte
	whole bool
	err   error
	// took is the time from the start of the send until it failed or the head
	// was read.
	took time.Duration
	// written means that bytes of the request may have reached the runner.
	written bool
}

// failed reports whether another runner might succeed.
func (s sendResult) failed() bool {
	return s.err != nil || s.response.StatusCode >= http.StatusInternalServerError
}

// attempt is one send of a request to one runner.
type attempt struct {
	handler *Handler
	call    *call
	slot    Slot
	results chan<- sendResult

	// connGuard and conn belong to the connection used last.
	connGuard atomic.Pointer[connGuard]
	conn      *conn
	// ctx ends at the call's deadline or when the send is cancelled.
	ctx    context.Context
	cancel context.CancelFunc
	// returned is set when the slot is given back, which happens exactly once.
	returned atomic.Bool
}

// run sends the request and reports the result, at the latest at the request's
// deadline. It gives the slot back if the runner has certainly finished.
func (a *attempt) run() {
	sentAt := time.Now()
	result := a.send()
	result.took = time.Since(sentAt)
	verdict := runner.Success
	switch {
	case errors.Is(result.err, context.Canceled), errors.Is(result.err, errSlotExpired), a.expiredAfterWaiting(result):
		verdict = runner.Abandoned
	case result.failed():
		verdict = runner.Failure
	}
	a.handler.admitter.sendCompletion(completion{
		slot:    a.slot,
		verdict: verdict,
		leaving: result.response != nil && result.response.Header.Get("Runner-State") == "leaving",
		freed:   a.runnerDone(result) && a.returned.CompareAndSwap(false, true),
	})
	a.results <- result
}

// expiredAfterWaiting reports whether the request timed out after it spent more
// than half of its time waiting for a slot, which is not the runner's fault.
func (a *attempt) expiredAfterWaiting(result sendResult) bool {
	timeout := a.call.deadline.Sub(a.call.started)
	return errors.Is(result.err, context.DeadlineExceeded) && result.took < timeout/2
}

// runnerDone reports whether the runner has certainly finished the request.
func (a *attempt) runnerDone(result sendResult) bool {
	if result.err != nil {
		return !result.written
	}
	return result.whole
}

func (a *attempt) send() sendResult {
	result := sendResult{
		slot: a.slot,
	}
	request, err := a.request()
	if err != nil {
		result.err = err
		return result
	}
	response, err := a.handler.transport.RoundTrip(request)
	guard := a.connGuard.Load()
	result.written = guard != nil && guard.wrote.Load()
	if err != nil {
		a.cancel()
		result.err = err
		return result
	}
	result.response = response
	result.head, result.whole, result.err = readHead(response.Body)
	if result.err != nil {
		a.cancel()
		_ = response.Body.Close()
		return result
	}
	if result.whole {
		_ = response.Body.Close()
		a.releaseGuard()
		a.cancel()
	}
	return result
}

// releaseGuard detaches the guard from the connection, after an answer that was
// read to the end.
func (a *attempt) releaseGuard() {
	if a.conn != nil {
		a.conn.current.CompareAndSwap(a.connGuard.Load(), nil)
	}
}

// copyRest streams the rest of a large answer and, if it arrives completely,
// gives the slot back.
func (a *attempt) copyRest(w io.Writer, body io.ReadCloser) error {
	_, err := io.Copy(w, body)
	if err == nil {
		_ = body.Close()
		a.releaseGuard()
		a.returnSlot()
	}
	a.cancel()
	_ = body.Close()
	return err
}

// readHead reads up to maxBufferedBytes and reports whether that was the whole
// body.
func readHead(body io.Reader) (head []byte, whole bool, err error) {
	head, err = io.ReadAll(io.LimitReader(body, maxBufferedBytes))
	if err != nil || len(head) < maxBufferedBytes {
		return head, true, err
	}
	return head, false, nil
}

// opaqueReader hides the concrete type of a body from net/http, which would
// otherwise resend some requests by itself.
type opaqueReader struct {
	io.Reader
}

func (a *attempt) request() (*http.Request, error) {
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{
		GotConn: a.gotConn,
	})
	target := "http://" + a.slot.Address.String() + a.call.path
	body := io.NopCloser(opaqueReader{
		Reader: bytes.NewReader(a.call.body),
	})
	request, err := http.NewRequestWithContext(ctx, a.call.method, target, body)
	if err != nil {
		return nil, fmt.Errorf("cannot build request: %w", err)
	}
	request.ContentLength = int64(len(a.call.body))
	if len(a.call.body) == 0 {
		request.Body = io.NopCloser(opaqueReader{
			Reader: http.NoBody,
		})
	}
	request.Header = a.call.header.Clone()
	left := time.Until(a.call.deadline).Seconds()
	request.Header.Set("Request-Timeout", strconv.FormatFloat(max(left, 0), 'f', 3, 64))
	request.Header.Set("Attempt-Id", strconv.FormatUint(a.slot.Attempt, 10))
	return request, nil
}

// gotConn attaches a guard to the connection that the request will be sent on.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	guarded, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	a.conn = guarded
	guard := &connGuard{
		until:      a.slot.Until,
		deadline:   a.call.deadline.Add(deadlineMargin),
		returnSlot: a.returnSlot,
	}
	a.connGuard.Store(guard)
	guarded.current.Store(guard)
}

// returnSlot gives the slot back, once.
func (a *attempt) returnSlot() {
	if !a.returned.CompareAndSwap(false, true) {
		return
	}
	a.handler.admitter.sendReturn(a.slot)
}
