// Package gate serves callers' requests to a service's back ends. It routes,
// limits, retries and hedges them, and reports for requests without an answer
// whether the work may have run.
package gate

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"expvar"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"mustardreach.example/mustardreach/internal/connection/listener"
	"mustardreach.example/mustardreach/internal/process/platform"
	"mustardreach.example/mustardreach/internal/request/admission"
	"mustardreach.example/mustardreach/internal/version/release"
)

// Config configures a Handler.
type Config struct {
	Admission *Admission
	// Host is the name of this host in claims.
	Host string
	// State returns the release state in force, or nil before the first
	// release.
	State func() *release.State
	// Commit runs a transaction in the platform's store.
	Commit func(ctx context.Context, txn platform.TxnRequest) (platform.TxnResponse, error)
	// Record records how a request ended, for the service-level report.
	Record func(service, customer string, good bool, took time.Duration)
	// BodyBytes bounds a request body.
	BodyBytes int64
	// Timeout bounds every request.
	Timeout time.Duration
	// IdleConnections bounds the idle connections to one runner.
	IdleConnections int
	// Counts counts requests by outcome.
	Counts *expvar.Map
}

// Handler serves /v1/services/.
type Handler struct {
	config    Config
	admitter  *Admission
	transport *http.Transport
	ids       atomic.Uint64
	// active counts the requests in progress, for graceful shutdown.
	active sync.WaitGroup
}

const (
	idleTimeout = 2 * time.Second
	// readBufferBytes is small because there are many connections. It is also
	// the size of the write buffer.
	readBufferBytes = 4 << 10
)

// NewHandler returns a handler. The admission loop in its configuration must be
// running.
func NewHandler(config Config) *Handler {
	return &Handler{
		config:   config,
		admitter: config.Admission,
		transport: &http.Transport{
			DialContext:         dial,
			DisableCompression:  true,
			MaxIdleConns:        0,
			MaxIdleConnsPerHost: config.IdleConnections,
			IdleConnTimeout:     idleTimeout,
			ReadBufferSize:      readBufferBytes,
			WriteBufferSize:     readBufferBytes,
		},
	}
}

// Wait returns when no request is in progress.
func (h *Handler) Wait() {
	h.active.Wait()
}

// call is one request of a caller.
type call struct {
	ctx      context.Context
	service  string
	customer string
	method   string
	path     string
	header   http.Header
	body     []byte
	deadline time.Time
	// repeatable means that sending the request more than once is harmless.
	repeatable bool
	// key is the caller's idempotency key; empty if there is none.
	key     string
	started time.Time
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Done()
	c, problem := h.read(w, r)
	if problem != nil {
		h.config.Counts.Add("refused_"+strconv.Itoa(problem.Status), 1)
		WriteProblem(w, *problem)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	if c.key != "" && !c.repeatable {
		h.serveKeyed(w, c)
		return
	}
	h.serve(w, c)
}

// read validates a request and reads its body.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) (*call, *Problem) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/services/"), "/")
	state := h.config.State()
	if state == nil {
		return nil, refusal(http.StatusServiceUnavailable, "no release is in force on this host yet")
	}
	service, ok := state.Services[name]
	if !ok {
		return nil, refusal(http.StatusNotFound, fmt.Sprintf("service %q is not in release %d", name, state.Version))
	}
	timeout, err := readTimeout(r, min(service.Timeout, h.config.Timeout))
	if err != nil {
		return nil, refusal(http.StatusBadRequest, err.Error())
	}
	now := time.Now()
	body, err := h.readBody(w, r, now.Add(timeout))
	if err != nil {
		return nil, BodyProblem(err, h.config.BodyBytes)
	}
	return &call{
		service:    name,
		customer:   CustomerOf(r),
		method:     r.Method,
		path:       r.URL.RequestURI(),
		header:     endToEndHeader(r.Header),
		body:       body,
		deadline:   now.Add(timeout),
		repeatable: service.Idempotent || r.Method == http.MethodGet || r.Method == http.MethodHead,
		key:        r.Header.Get("Idempotency-Key"),
		started:    now,
	}, nil
}

// readBody receives the body by the deadline. It is held as long as the request may
// be retried. Memory for the answer, which is read before any of it is passed on, is
// taken too, while the request can still be refused. Errors: those of
// listener.ReadBody.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, error) {
	body, err := listener.ReadBody(w, r, h.config.BodyBytes, deadline)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	if err := body.Take(ctx, maxBufferedBytes); err != nil {
		return nil, err
	}
	return body.Bytes(ctx)
}

// BodyProblem returns the problem of a body that was not received: the request has
// not run.
func BodyProblem(err error, limit int64) *Problem {
	problem := refusal(listener.Status(err), err.Error())
	switch problem.Status {
	case http.StatusRequestEntityTooLarge:
		problem.Detail = fmt.Sprintf("body is over %d bytes", limit)
	case http.StatusServiceUnavailable:
		problem.RetryAfter = time.Second
	}
	return problem
}

// refusal is the problem of a request that was not run.
func refusal(status int, detail string) *Problem {
	return &Problem{
		Status:  status,
		Detail:  detail,
		Outcome: NotRun,
	}
}

// CustomerOf returns the customer that a request is made for.
func CustomerOf(r *http.Request) string {
	if customer := r.Header.Get("Customer"); customer != "" {
		return customer
	}
	return "anonymous"
}

// readTimeout returns the Request-Timeout of a request, at most limit.
func readTimeout(r *http.Request, limit time.Duration) (time.Duration, error) {
	text := r.Header.Get("Request-Timeout")
	if text == "" {
		return limit, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) || seconds > time.Hour.Seconds() {
		return 0, fmt.Errorf("Request-Timeout %q is not a number of seconds above 0 and up to 3600", text)
	}
	return min(time.Duration(seconds*float64(time.Second)), limit), nil
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeader returns a copy of the header without hop-by-hop headers.
func endToEndHeader(header http.Header) http.Header {
	copied := header.Clone()
	for _, listed := range strings.Split(copied.Get("Connection"), ",") {
		copied.Del(strings.TrimSpace(listed))
	}
	for _, name := range hopByHopHeaders {
		copied.Del(name)
	}
	return copied
}

// serve sends the request and writes the answer or the problem.
func (h *Handler) serve(w http.ResponseWriter, c *call) {
	result, from, problem := h.exchange(c)
	if problem != nil {
		h.writeFailure(w, c, *problem)
		return
	}
	h.writeAnswer(w, c, result, from)
}

// writeFailure counts and records a failed call and writes its problem.
func (h *Handler) writeFailure(w http.ResponseWriter, c *call, problem Problem) {
	h.config.Counts.Add("outcome_"+string(problem.Outcome), 1)
	h.config.Record(c.service, c.customer, false, time.Since(c.started))
	WriteProblem(w, problem)
}

// writeAnswer writes a runner's answer to the caller. If the runner's answer is
// truncated, the connection to the caller is aborted, so that the caller does
// not mistake it for complete.
func (h *Handler) writeAnswer(w http.ResponseWriter, c *call, result sendResult, from *attempt) {
	header := w.Header()
	for name, values := range endToEndHeader(result.response.Header) {
		header[name] = values
	}
	if result.whole && c.method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(result.head)))
	}
	w.WriteHeader(result.response.StatusCode)
	_, err := w.Write(result.head)
	if err == nil && !result.whole {
		err = from.copyRest(w, result.response.Body)
	}
	good := err == nil && result.response.StatusCode < http.StatusInternalServerError
	took := time.Since(c.started)
	h.config.Record(c.service, c.customer, good, took)
	if !good {
		h.config.Counts.Add("answered_bad", 1)
	} else {
		h.config.Counts.Add("answered_good", 1)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// acquire waits for a slot until the call ends. extra marks a retry or a hedge.
func (h *Handler) acquire(c *call, avoid []string, extra bool) Slot {
	reply := make(chan Slot, 1)
	id := h.ids.Add(1)
	h.admitter.requests <- slotRequest{
		service: c.service,
		ticket: admission.Ticket{
			ID:        id,
			Customer:  c.customer,
			Deadline:  c.deadline,
			Avoid:     avoid,
			ArrivedAt: time.Now(),
		},
		extra: extra,
		reply: reply,
	}
	select {
	case slot := <-reply:
		return slot
	case <-c.ctx.Done():
		h.admitter.cancellations <- id
		slot := <-reply
		if slot.Refused == "" {
			h.admitter.sendCompletion(completion{
				slot:    slot,
				verdict: abandoned,
				freed:   true,
			})
			slot.Refused = "caller disconnected or deadline passed"
		}
		return slot
	}
}

// requestDigest identifies the content of a keyed request.
func requestDigest(c *call) string {
	sum := sha256.New()
	_, _ = fmt.Fprintf(sum, "%s %s\n", c.method, c.path)
	_, _ = sum.Write(c.body)
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// serveKeyed runs a request with an idempotency key at most once.
func (h *Handler) serveKeyed(w http.ResponseWriter, c *call) {
	proposed := Claim{
		State:    ClaimOpen,
		Token:    uuid.NewString(),
		Host:     h.config.Host,
		Request:  requestDigest(c),
		Deadline: c.deadline.Add(deadlineMargin),
	}
	key := claimKey(c.customer, c.service, c.key)
	acquired, found, err := h.claim(c.ctx, key, proposed)
	switch {
	case err != nil:
		h.writeFailure(w, c, Problem{
			Status:     http.StatusServiceUnavailable,
			Detail:     "the platform's store is out of reach, so the key cannot be claimed; nothing was sent",
			Outcome:    NotRun,
			RetryAfter: time.Second,
		})
	case !acquired:
		h.serveRecorded(w, c, found, proposed)
	default:
		h.runClaimed(w, c, found)
	}
}

// runClaimed sends a request once, after its key was acquired, and records the
// outcome.
func (h *Handler) runClaimed(w http.ResponseWriter, c *call, found storedClaim) {
	result, from, problem := h.exchange(c)
	record := found
	switch {
	case problem != nil && problem.Outcome == NotRun:
		record.claim.State = ClaimNotRun
	case problem != nil:
		record.claim.State = ClaimUnknown
	default:
		record.claim.State = ClaimDone
		record.claim.Status = result.response.StatusCode
		record.claim.Type = result.response.Header.Get("Content-Type")
		record.claim.Body = result.head
		if !result.whole || len(result.head) > maxRecordedBodyBytes {
			record.claim.Body, record.claim.Cut = nil, true
		}
	}
	writer := &outcomeWriter{
		handler:     h,
		storedClaim: record,
	}
	if writer.write(c.ctx) != nil {
		go writer.run()
	}
	if problem != nil {
		h.writeFailure(w, c, *problem)
		return
	}
	h.writeAnswer(w, c, result, from)
}

// serveRecorded answers a request whose key was claimed before.
func (h *Handler) serveRecorded(w http.ResponseWriter, c *call, found storedClaim, proposed Claim) {
	claim := found.claim
	switch {
	case claim.Request != proposed.Request:
		h.writeFailure(w, c, *refusal(http.StatusUnprocessableEntity, "the idempotency key was used for another request"))
	case claim.State == ClaimDone && !claim.Cut:
		w.Header().Set("Content-Type", claim.Type)
		w.Header().Set("Idempotent-Replay", "true")
		w.WriteHeader(claim.Status)
		_, _ = w.Write(claim.Body)
		h.config.Counts.Add("replayed", 1)
	case claim.State == ClaimDone:
		h.writeFailure(w, c, Problem{
			Status:  http.StatusConflict,
			Detail:  fmt.Sprintf("the request ran and was answered with status %d; the answer was too large to keep", claim.Status),
			Outcome: Unknown,
		})
	case claim.State == ClaimOpen && time.Now().Before(claim.Deadline):
		h.writeFailure(w, c, Problem{
			Status:     http.StatusConflict,
			Detail:     "the request with this key is still running",
			Outcome:    Pending,
			RetryAfter: time.Until(claim.Deadline),
		})
	default:
		h.writeFailure(w, c, Problem{
			Status:  http.StatusConflict,
			Detail:  "the request with this key may have run; its answer was lost",
			Outcome: Unknown,
		})
	}
}
