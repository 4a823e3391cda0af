// Package ledger serves the HTTP API for jobs: submission, lookup, cancellation
// and the list of a customer's jobs, its ledger. It keeps no state besides the
// job records in the platform.
package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"time"

	"mustardreach.example/mustardreach/internal/connection/listener"
	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/platform"
	"mustardreach.example/mustardreach/internal/request/gate"
	"mustardreach.example/mustardreach/internal/request/job"
	"mustardreach.example/mustardreach/internal/version/release"
)

// Config configures a Handler.
type Config struct {
	// State returns the release state in force; nil before the first.
	State func() *release.State
	// ZoneFor chooses the zone whose dispatcher places a new job; false without
	// one.
	ZoneFor func(size worker.Size) (string, bool)
	// Commit runs one write transaction in the platform.
	Commit func(ctx context.Context, txn platform.TxnRequest) (platform.TxnResponse, error)
	// Read runs one read transaction with a small answer.
	Read func(ctx context.Context, txn platform.TxnRequest) (platform.TxnResponse, error)
	// Scan runs one read transaction with a large answer.
	Scan func(ctx context.Context, txn platform.TxnRequest) (platform.TxnResponse, error)
	// NotifyDispatcher notifies a zone's dispatcher that the record of the job id
	// has changed.
	NotifyDispatcher func(zone, id string)
	// BodyBytes bounds the body of a submission, in bytes.
	BodyBytes int64
	// Clock returns the current time.
	Clock func() time.Time
	// Counts counts submissions accepted, and refusals by status.
	Counts *expvar.Map
}

// Handler serves /v1/jobs and /v1/customers.
type Handler struct {
	config Config
}

// NewHandler returns a handler.
func NewHandler(config Config) *Handler {
	return &Handler{
		config: config,
	}
}

// Submission is the body of POST /v1/jobs.
type Submission struct {
	Customer string `json:"customer"`
	Class    string `json:"class"`
	// Cores and MemoryGB are above zero; Accelerators is not negative.
	Cores        float64 `json:"cores"`
	MemoryGB     float64 `json:"memory_gb"`
	Accelerators int64   `json:"accelerators"`
	// Payload is passed to the worker unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
}

const (
	bytesPerGB        = 1e9
	milliCoresPerCore = 1000
	maxCores          = 4096
	maxMemoryGB       = 1 << 16
	maxAccelerators   = 1024
	// bodyTimeout bounds the time for receiving a body.
	bodyTimeout = 10 * time.Second
	// decodeFactor bounds the memory of a job as a multiple of the length of its
	// body: the payload in the decoder, in the record and in the call to the store.
	decodeFactor = 8
	// maxRetries bounds how often a store call is repeated after a failed, an
	// unknown or a conflicting result.
	maxRetries = 5
)

// Size returns the declared size in the units used by workers: millicores,
// bytes and accelerators.
func (s Submission) Size() worker.Size {
	return worker.Size{
		MilliCores:   int64(s.Cores * milliCoresPerCore),
		MemoryBytes:  int64(s.MemoryGB * bytesPerGB),
		Accelerators: s.Accelerators,
	}
}

// check returns an error that names the first invalid field, or nil.
func (s Submission) check(state *release.State) error {
	_, known := state.Classes[s.Class]
	switch {
	case !job.ValidName(s.Customer):
		return errors.New("customer: needs 1 to 64 characters without blanks, dots, colons or slashes")
	case !known:
		return fmt.Errorf("class: %q is not in release %d", s.Class, state.Version)
	case !(s.Cores > 0 && s.Cores <= maxCores):
		return fmt.Errorf("cores: must be above 0 and at most %d", maxCores)
	case !(s.MemoryGB > 0 && s.MemoryGB <= maxMemoryGB):
		return fmt.Errorf("memory_gb: must be above 0 and at most %d", maxMemoryGB)
	case s.Accelerators < 0 || s.Accelerators > maxAccelerators:
		return fmt.Errorf("accelerators: must be from 0 to %d", maxAccelerators)
	}
	return nil
}

// Submit answers POST /v1/jobs. Submitting again with the same customer and
// Idempotency-Key, through any host, returns the same job.
func (h *Handler) Submit(w http.ResponseWriter, r *http.Request) {
	record, problem := h.readSubmission(w, r)
	if problem != nil {
		h.refuse(w, *problem)
		return
	}
	stored, err := h.create(r.Context(), record)
	switch {
	case errors.Is(err, platform.ErrUnknown):
		h.refuse(w, gate.Problem{
			Status:     http.StatusGatewayTimeout,
			Detail:     "the store's answer was lost; submit again with the same Idempotency-Key to learn what became of it",
			Outcome:    gate.Unknown,
			RetryAfter: time.Second,
		})
	case err != nil:
		h.refuse(w, gate.Problem{
			Status:     http.StatusServiceUnavailable,
			Detail:     "the platform's store is out of reach; the job was not accepted",
			Outcome:    gate.NotRun,
			RetryAfter: time.Second,
		})
	case stored.Request != record.Request:
		h.refuse(w, problemOf(http.StatusUnprocessableEntity, "the idempotency key was used for another job"))
	default:
		h.config.Counts.Add("submitted", 1)
		h.config.NotifyDispatcher(stored.Zone, stored.ID)
		writeJSON(w, http.StatusAccepted, stored)
	}
}

func problemOf(status int, detail string) gate.Problem {
	return gate.Problem{
		Status:  status,
		Detail:  detail,
		Outcome: gate.NotRun,
	}
}

func (h *Handler) refuse(w http.ResponseWriter, problem gate.Problem) {
	h.config.Counts.Add(fmt.Sprintf("refused_%d", problem.Status), 1)
	gate.WriteProblem(w, problem)
}

func (h *Handler) readSubmission(w http.ResponseWriter, r *http.Request) (*job.Record, *gate.Problem) {
	refuse := func(status int, detail string) (*job.Record, *gate.Problem) {
		problem := problemOf(status, detail)
		return nil, &problem
	}
	state := h.config.State()
	if state == nil {
		return refuse(http.StatusServiceUnavailable, "no release is in force on this host yet")
	}
	body, err := listener.ReadBody(w, r, h.config.BodyBytes, h.config.Clock().Add(bodyTimeout))
	if err != nil {
		return nil, gate.BodyProblem(err, h.config.BodyBytes)
	}
	if err := body.Take(r.Context(), decodeFactor*body.Len()); err != nil {
		return nil, gate.BodyProblem(err, h.config.BodyBytes)
	}
	var submission Submission
	decoder := json.NewDecoder(body.Reader())
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&submission); err != nil {
		return refuse(http.StatusBadRequest, "body: "+err.Error())
	}
	if err := submission.check(state); err != nil {
		return refuse(http.StatusBadRequest, err.Error())
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		return refuse(http.StatusBadRequest, "Idempotency-Key: is required, so that a repeated submission finds the same job")
	}
	zone, ok := h.config.ZoneFor(submission.Size())
	if !ok {
		return refuse(http.StatusServiceUnavailable, "every availability zone is withdrawn; jobs are accepted again once one is back")
	}
	return newRecord(submission, key, zone, h.config.Clock()), nil
}

func newRecord(submission Submission, key, zone string, now time.Time) *job.Record {
	text, _ := json.Marshal(submission)
	sum := sha256.Sum256(text)
	return &job.Record{
		ID:          job.IDFor(submission.Customer, key),
		Customer:    submission.Customer,
		Class:       submission.Class,
		Key:         key,
		Request:     hex.EncodeToString(sum[:16]),
		Size:        submission.Size(),
		Payload:     submission.Payload,
		Zone:        zone,
		State:       job.Accepted,
		SubmittedAt: now.UTC().Round(time.Millisecond),
	}
}

// create stores a new record, or returns the stored one with the same ID.
// Errors: platform.ErrUnavailable if nothing was stored, platform.ErrUnknown if
// the record may have been stored, job.ErrRecord if the stored one cannot be
// decoded.
func (h *Handler) create(ctx context.Context, record *job.Record) (*job.Record, error) {
	active, ended := job.ActivePrefix+record.ID, job.EndedPrefix+record.ID
	txn := platform.TxnRequest{
		Compare: []platform.Compare{platform.KeyAbsent(active), platform.KeyAbsent(ended)},
		Success: []platform.Op{platform.Put(active, record.Encode())},
		Failure: []platform.Op{platform.Get(active), platform.Get(ended)},
	}
	notStored := true
	for try := 0; ; try++ {
		response, err := h.config.Commit(ctx, txn)
		switch {
		case err == nil && response.Succeeded:
			return record, nil
		case err == nil:
			return firstRecord(response)
		case errors.Is(err, platform.ErrUnknown):
			notStored = false
		}
		if try == maxRetries || ctx.Err() != nil {
			if notStored {
				return nil, platform.ErrUnavailable
			}
			return nil, platform.ErrUnknown
		}
		time.Sleep(retryDelay)
	}
}

// retryDelay is the delay before a store call is repeated.
const retryDelay = 100 * time.Millisecond

// firstRecord decodes the first record in a response. Errors: errNotFound,
// job.ErrRecord.
func firstRecord(response platform.TxnResponse) (*job.Record, error) {
	for _, answer := range response.Responses {
		if answer.Range != nil && len(answer.Range.Kvs) > 0 {
			return job.Decode(answer.Range.Kvs[0].Value)
		}
	}
	return nil, errNotFound
}

var errNotFound = errors.New("no such job")

// find reads a job's record and its revision. Errors: errNotFound,
// job.ErrRecord and those of Config.Read.
func (h *Handler) find(ctx context.Context, id string) (*job.Record, int64, error) {
	response, err := h.config.Read(ctx, platform.TxnRequest{
		Success: []platform.Op{platform.Get(job.ActivePrefix + id), platform.Get(job.EndedPrefix + id)},
	})
	if err != nil {
		return nil, 0, err
	}
	record, err := firstRecord(response)
	if err != nil {
		return nil, 0, err
	}
	for _, answer := range response.Responses {
		if answer.Range != nil && len(answer.Range.Kvs) > 0 {
			return record, int64(answer.Range.Kvs[0].ModRevision), nil
		}
	}
	return nil, 0, errNotFound
}

// Get answers GET /v1/jobs/{id}.
func (h *Handler) Get(w http.ResponseWriter, r *http.Request) {
	record, _, err := h.find(r.Context(), r.PathValue("id"))
	if err != nil {
		h.refuseRead(w, err)
		return
	}
	writeJSON(w, http.StatusOK, record)
}

func (h *Handler) refuseRead(w http.ResponseWriter, err error) {
	if errors.Is(err, errNotFound) {
		h.refuse(w, problemOf(http.StatusNotFound, err.Error()))
		return
	}
	h.refuse(w, gate.Problem{
		Status:     http.StatusServiceUnavailable,
		Detail:     "the platform's store is out of reach, so the state of the job is unknown",
		Outcome:    gate.Unknown,
		RetryAfter: time.Second,
	})
}

// Cancel answers DELETE /v1/jobs/{id}. It records the cancellation; the job
// ends when its attempt is known to be over. A job that has ended already stays
// as it is.
func (h *Handler) Cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	for range maxRetries {
		record, revision, err := h.find(r.Context(), id)
		if err != nil {
			h.refuseRead(w, err)
			return
		}
		if record.State.Final() || record.Cancel {
			writeJSON(w, cancelStatus(record), record)
			return
		}
		next := record.Clone()
		next.Cancel = true
		_, err = h.config.Commit(r.Context(), platform.TxnRequest{
			Compare: []platform.Compare{platform.KeyAt(job.ActivePrefix+id, revision)},
			Success: []platform.Op{platform.Put(job.ActivePrefix+id, next.Encode())},
		})
		if errors.Is(err, platform.ErrUnavailable) {
			h.refuseRead(w, err)
			return
		}
		h.config.NotifyDispatcher(record.Zone, id) // the next iteration reads the record back
	}
	h.refuseRead(w, platform.ErrUnknown)
}

func cancelStatus(record *job.Record) int {
	if record.State.Final() {
		return http.StatusOK
	}
	return http.StatusAccepted
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
