// Package gate serves callers' requests to a service's back ends: it routes,
// limits, retries and hedges, and says truthfully what ran.
package gate

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"mustardreach.example/mustardreach/internal/process/platform"
	"mustardreach.example/mustardreach/internal/request/admission"
	"mustardreach.example/mustardreach/internal/version/release"
)

// Config sets up a Handler.
type Config struct {
	Desk *Desk
	// Host names this host in claims.
	Host string
	// State returns the release state in force; nil before the first.
	State func() *release.State
	// Commit runs one small transaction in the platform.
	Commit func(ctx context.Context, txn platform.TxnRequest) (platform.TxnResponse, error)
	// Record takes in how a request ended, for the service-level report.
	Record func(service, customer string, good bool, took time.Duration)
	// BodyBytes bounds a request body.
	BodyBytes int64
	// Timeout bounds every request.
	Timeout time.Duration
	// IdleConnections bounds idle connections to one runner.
	IdleConnections int
	// Counts counts requests by outcome.
	Counts *expvar.Map
}

// Handler serves /v1/services/.
type Handler struct {
	config    Config
	desk      *Desk
	transport *http.Transport
	ids       atomic.Uint64
	// active counts requests in progress, for graceful shutdown.
	active sync.WaitGroup
}

const (
	idleTimeout = 2 * time.Second
	// readBufferBytes keeps the memory of many connections small.
	readBufferBytes = 4 << 10
)

// NewHandler returns a handler that uses a desk whose loop is running.
func NewHandler(config Config) *Handler {
	return &Handler{
		config: config,
		desk:   config.Desk,
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

// call is one caller's request.
type call struct {
	ctx      context.Context
	service  string
	customer string
	method   string
	path     string
	header   http.Header
	body     []byte
	deadline time.Time
	// repeatable means that sending it twice does no harm.
	repeatable bool
	// key is the caller's idempotency key, empty without one.
	key     string
	started time.Time
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Done()
	one, problem := h.read(w, r)
	if problem != nil {
		h.config.Counts.Add("refused_"+strconv.Itoa(problem.Status), 1)
		WriteProblem(w, *problem)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), one.deadline)
	defer cancel()
	one.ctx = ctx
	if one.key != "" && !one.repeatable {
		h.serveKeyed(w, one)
		return
	}
	h.serve(w, one)
}

// read checks a request and takes its body in.
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.config.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal(http.StatusRequestEntityTooLarge, fmt.Sprintf("body is over %d bytes", h.config.BodyBytes))
	}
	if err != nil {
		return nil, refusal(http.StatusBadRequest, "body could not be read")
	}
	now := time.Now()
	return &call{
		service:    name,
		customer:   CustomerOf(r),
		method:     r.Method,
		path:       r.URL.RequestURI(),
		header:     forwarded(r.Header),
		body:       body,
		deadline:   now.Add(timeout),
		repeatable: service.Idempotent || r.Method == http.MethodGet || r.Method == http.MethodHead,
		key:        r.Header.Get("Idempotency-Key"),
		started:    now,
	}, nil
}

func refusal(status int, detail string) *Problem {
	return &Problem{
		Status:  status,
		Detail:  detail,
		Outcome: NotRun,
	}
}

// CustomerOf names the customer that a request is made for.
func CustomerOf(r *http.Request) string {
	if customer := r.Header.Get("Customer"); customer != "" {
		return customer
	}
	return "anonymous"
}

func readTimeout(r *http.Request, most time.Duration) (time.Duration, error) {
	text := r.Header.Get("Request-Timeout")
	if text == "" {
		return most, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) || seconds > time.Hour.Seconds() {
		return 0, fmt.Errorf("Request-Timeout %q is not a number of seconds above 0", text)
	}
	return min(time.Duration(seconds*float64(time.Second)), most), nil
}

// hopHeaders are for one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func forwarded(header http.Header) http.Header {
	copied := header.Clone()
	for _, listed := range strings.Split(copied.Get("Connection"), ",") {
		copied.Del(strings.TrimSpace(listed))
	}
	for _, name := range hopHeaders {
		copied.Del(name)
	}
	return copied
}

// serve sends the request and passes the answer on.
func (h *Handler) serve(w http.ResponseWriter, one *call) {
	result, last, problem := h.exchange(one)
	if problem != nil {
		h.fail(w, one, *problem)
		return
	}
	h.pass(w, one, result, last)
}

func (h *Handler) fail(w http.ResponseWriter, one *call, problem Problem) {
	h.config.Counts.Add("outcome_"+string(problem.Outcome), 1)
	h.config.Record(one.service, one.customer, false, time.Since(one.started))
	WriteProblem(w, problem)
}

// pass writes a runner's answer to the caller. An answer that breaks off is
// broken off towards the caller too.
func (h *Handler) pass(w http.ResponseWriter, one *call, result sent, from *attempt) {
	header := w.Header()
	for name, values := range forwarded(result.response.Header) {
		header[name] = values
	}
	if result.whole && one.method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(result.head)))
	}
	w.WriteHeader(result.response.StatusCode)
	_, err := w.Write(result.head)
	if err == nil && !result.whole {
		err = from.finish(w, result.response.Body)
	}
	good := err == nil && result.response.StatusCode < http.StatusInternalServerError
	took := time.Since(one.started)
	h.config.Record(one.service, one.customer, good, took)
	if !good {
		h.config.Counts.Add("answered_bad", 1)
	} else {
		h.config.Counts.Add("answered_good", 1)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// acquire waits for a slot.
func (h *Handler) acquire(one *call, avoid []string, extra bool) Slot {
	reply := make(chan Slot, 1)
	id := h.ids.Add(1)
	h.desk.wants <- want{
		service: one.service,
		ticket: admission.Ticket{
			ID:        id,
			Customer:  one.customer,
			Deadline:  one.deadline,
			Avoid:     avoid,
			ArrivedAt: time.Now(),
		},
		extra: extra,
		reply: reply,
	}
	select {
	case slot := <-reply:
		return slot
	case <-one.ctx.Done():
		h.desk.leaves <- id
		slot := <-reply
		if slot.Refused == "" {
			h.desk.ended(ending{
				slot:    slot,
				verdict: abandoned,
				freed:   true,
			})
			slot.Refused = "caller left"
		}
		return slot
	}
}

// digest identifies what a keyed request asks for.
func digest(one *call) string {
	sum := sha256.New()
	_, _ = fmt.Fprintf(sum, "%s %s\n", one.method, one.path)
	_, _ = sum.Write(one.body)
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// serveKeyed runs a request with an idempotency key at most once.
func (h *Handler) serveKeyed(w http.ResponseWriter, one *call) {
	wanted := Claim{
		State:    ClaimOpen,
		Token:    uuid.NewString(),
		Host:     h.config.Host,
		Request:  digest(one),
		Deadline: one.deadline.Add(settleTime),
	}
	key := claimKey(one.customer, one.service, one.key)
	mine, found, err := h.claim(one.ctx, key, wanted)
	switch {
	case err != nil:
		h.fail(w, one, Problem{
			Status:     http.StatusServiceUnavailable,
			Detail:     "the platform's store is out of reach, so the key cannot be claimed; nothing was sent",
			Outcome:    NotRun,
			RetryAfter: time.Second,
		})
	case !mine:
		h.serveRecorded(w, one, found, wanted)
	default:
		h.runClaimed(w, one, found)
	}
}

// runClaimed sends a request whose key is ours, once, and records the end.
func (h *Handler) runClaimed(w http.ResponseWriter, one *call, found held) {
	result, last, problem := h.exchange(one)
	record := found
	switch {
	case problem != nil && problem.Outcome == NotRun:
		record.claim.State = ClaimNotRun
	case problem != nil:
		record.claim.State = ClaimUnsure
	default:
		record.claim.State = ClaimDone
		record.claim.Status = result.response.StatusCode
		record.claim.Type = result.response.Header.Get("Content-Type")
		record.claim.Body = result.head
		if !result.whole || len(result.head) > recordedBytes {
			record.claim.Body, record.claim.Cut = nil, true
		}
	}
	writer := &settling{
		handler: h,
		held:    record,
	}
	if writer.try(one.ctx) != nil {
		go writer.run()
	}
	if problem != nil {
		h.fail(w, one, *problem)
		return
	}
	h.pass(w, one, result, last)
}

// serveRecorded answers a key that was claimed before.
func (h *Handler) serveRecorded(w http.ResponseWriter, one *call, found held, wanted Claim) {
	claim := found.claim
	switch {
	case claim.Request != wanted.Request:
		h.fail(w, one, *refusal(http.StatusUnprocessableEntity, "the idempotency key was used for another request"))
	case claim.State == ClaimDone && !claim.Cut:
		w.Header().Set("Content-Type", claim.Type)
		w.Header().Set("Idempotent-Replay", "true")
		w.WriteHeader(claim.Status)
		_, _ = w.Write(claim.Body)
		h.config.Counts.Add("replayed", 1)
	case claim.State == ClaimDone:
		h.fail(w, one, Problem{
			Status:  http.StatusConflict,
			Detail:  fmt.Sprintf("the request ran and was answered with status %d; the answer was too large to keep", claim.Status),
			Outcome: Unknown,
		})
	case claim.State == ClaimOpen && time.Now().Before(claim.Deadline):
		h.fail(w, one, Problem{
			Status:     http.StatusConflict,
			Detail:     "the request with this key is still running",
			Outcome:    Pending,
			RetryAfter: time.Until(claim.Deadline),
		})
	default:
		h.fail(w, one, Problem{
			Status:  http.StatusConflict,
			Detail:  "the request with this key may have run; its answer was lost",
			Outcome: Unknown,
		})
	}
}
