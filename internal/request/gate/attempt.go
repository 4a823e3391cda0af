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

// settleTime is added to a request's deadline before its slot is used again.
const settleTime = 50 * time.Millisecond

// wholeBytes is the largest answer that is read to its end before any of it
// is passed on; larger ones are passed on as they come.
const wholeBytes = 64 << 10

// sent is how one send to a runner ended.
type sent struct {
	slot     Slot
	response *http.Response
	// head is the beginning of the body; all of it if whole.
	head  []byte
	whole bool
	err   error
	// took is the time from the slot to the answer.
	took time.Duration
	// began means that bytes of the request may have reached the runner.
	began bool
}

// failed tells whether another runner might do better.
func (s sent) failed() bool {
	return s.err != nil || s.response.StatusCode >= http.StatusInternalServerError
}

// attempt is one send of a request to one runner.
type attempt struct {
	handler *Handler
	call    *call
	slot    Slot
	results chan<- sent

	// use and conn belong to the newest connection tried.
	use  atomic.Pointer[use]
	conn *conn
	// ctx ends at the call's deadline or when the send is given up.
	ctx    context.Context
	cancel context.CancelFunc
	// returned is set by whoever gives the slot back, exactly once.
	returned atomic.Bool
}

// run sends the request and reports how it ended, at the latest at the
// request's deadline. It gives the slot back when the runner is done with it.
func (a *attempt) run() {
	sentAt := time.Now()
	result := a.send()
	result.took = time.Since(sentAt)
	verdict := runner.Success
	switch {
	case errors.Is(result.err, context.Canceled), errors.Is(result.err, errLapsed), a.short(result):
		verdict = runner.Abandoned
	case result.failed():
		verdict = runner.Failure
	}
	a.handler.desk.ended(ending{
		slot:    a.slot,
		verdict: verdict,
		leaving: result.response != nil && result.response.Header.Get("Runner-State") == "leaving",
		freed:   a.over(result) && a.returned.CompareAndSwap(false, true),
	})
	a.results <- result
}

// short tells whether the request ran out of time that it mostly spent waiting
// for a slot, which is not the runner's fault.
func (a *attempt) short(result sent) bool {
	whole := a.call.deadline.Sub(a.call.started)
	return errors.Is(result.err, context.DeadlineExceeded) && result.took < whole/2
}

// over tells whether the runner is certainly done with the request.
func (a *attempt) over(result sent) bool {
	if result.err != nil {
		return !result.began
	}
	return result.whole
}

func (a *attempt) send() sent {
	result := sent{
		slot: a.slot,
	}
	request, err := a.request()
	if err != nil {
		result.err = err
		return result
	}
	response, err := a.handler.transport.RoundTrip(request)
	hold := a.use.Load()
	result.began = hold != nil && hold.wrote.Load()
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
		a.letGo()
		a.cancel()
	}
	return result
}

// letGo ends the hold on the connection after an answer read to its end.
func (a *attempt) letGo() {
	if a.conn != nil {
		a.conn.current.CompareAndSwap(a.use.Load(), nil)
	}
}

// finish passes the rest of a long answer on and gives the slot back.
func (a *attempt) finish(w io.Writer, body io.ReadCloser) error {
	_, err := io.Copy(w, body)
	if err == nil {
		_ = body.Close()
		a.letGo()
		a.ended()
	}
	a.cancel()
	_ = body.Close()
	return err
}

// readHead reads up to wholeBytes and tells whether that was everything.
func readHead(body io.Reader) (head []byte, whole bool, err error) {
	head, err = io.ReadAll(io.LimitReader(body, wholeBytes))
	if err != nil || len(head) < wholeBytes {
		return head, true, err
	}
	return head, false, nil
}

// onceReader hides its kind from net/http, which would otherwise send some
// requests again by itself.
type onceReader struct {
	io.Reader
}

func (a *attempt) request() (*http.Request, error) {
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{
		GotConn: a.gotConn,
	})
	target := "http://" + a.slot.Address.String() + a.call.path
	body := io.NopCloser(onceReader{
		Reader: bytes.NewReader(a.call.body),
	})
	request, err := http.NewRequestWithContext(ctx, a.call.method, target, body)
	if err != nil {
		return nil, fmt.Errorf("cannot build request: %w", err)
	}
	request.ContentLength = int64(len(a.call.body))
	if len(a.call.body) == 0 {
		request.Body = io.NopCloser(onceReader{
			Reader: http.NoBody,
		})
	}
	request.Header = a.call.header.Clone()
	left := time.Until(a.call.deadline).Seconds()
	request.Header.Set("Request-Timeout", strconv.FormatFloat(max(left, 0), 'f', 3, 64))
	request.Header.Set("Attempt-Id", strconv.FormatUint(a.slot.Attempt, 10))
	return request, nil
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	guarded, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	a.conn = guarded
	hold := &use{
		until:    a.slot.Until,
		deadline: a.call.deadline.Add(settleTime),
		ended:    a.ended,
	}
	a.use.Store(hold)
	guarded.current.Store(hold)
}

// ended gives the slot back, once.
func (a *attempt) ended() {
	if !a.returned.CompareAndSwap(false, true) {
		return
	}
	a.handler.desk.free(a.slot)
}
