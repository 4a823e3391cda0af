package ledger

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/platform"
	"mustardreach.example/mustardreach/internal/process/standin"
	"mustardreach.example/mustardreach/internal/request/gate"
	"mustardreach.example/mustardreach/internal/request/job"
	"mustardreach.example/mustardreach/internal/version/release"
)

// fixture is a handler on an in-memory store whose answers can be lost.
type fixture struct {
	mux   *http.ServeMux
	store *standin.Store
	// dropAnswers is how many of the next calls take effect without an answer;
	// down makes every call fail without effect.
	dropAnswers int
	down        bool
}

func newFixture() *fixture {
	f := &fixture{
		mux:   http.NewServeMux(),
		store: standin.NewStore(),
	}
	handler := NewHandler(Config{
		State: func() *release.State {
			return &release.State{
				Version: 1,
				Classes: map[string]release.Class{"plan": {}},
			}
		},
		ZoneFor:          func(worker.Size) (string, bool) { return "recife", true },
		Commit:           f.txn,
		Read:             f.txn,
		Scan:             f.txn,
		NotifyDispatcher: func(string, string) {},
		BodyBytes:        10_000,
		Clock:            func() time.Time { return time.Unix(1000, 0) },
		Counts:           &expvar.Map{},
	})
	f.mux.HandleFunc("POST /v1/jobs", handler.Submit)
	f.mux.HandleFunc("GET /v1/jobs/{id}", handler.Get)
	f.mux.HandleFunc("DELETE /v1/jobs/{id}", handler.Cancel)
	f.mux.HandleFunc("GET /v1/customers/{customer}/ledger", handler.Ledger)
	return f
}

func (f *fixture) txn(_ context.Context, txn platform.TxnRequest) (platform.TxnResponse, error) {
	if f.down {
		return platform.TxnResponse{}, platform.ErrUnavailable
	}
	response, _ := f.store.Txn(txn)
	if f.dropAnswers > 0 {
		f.dropAnswers--
		return platform.TxnResponse{}, platform.ErrUnknown
	}
	return response, nil
}

func (f *fixture) call(method, path, key, body string) (int, []byte) {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	recorder := httptest.NewRecorder()
	f.mux.ServeHTTP(recorder, request)
	return recorder.Code, recorder.Body.Bytes()
}

const validSubmission = `{"customer":"lucia","class":"plan","cores":4,"memory_gb":8}`

// TestSubmissionsAreRefusedWithTheField guards against invalid submissions that
// are stored, or refused without naming the field at fault.
func TestSubmissionsAreRefusedWithTheField(t *testing.T) {
	tests := map[string]struct {
		key, body  string
		wantDetail string
	}{
		"no key":                {body: validSubmission, wantDetail: "Idempotency-Key"},
		"not JSON":              {key: "k", body: "{", wantDetail: "body"},
		"an unknown field":      {key: "k", body: `{"colour":"red"}`, wantDetail: "colour"},
		"no customer":           {key: "k", body: `{"class":"plan","cores":1,"memory_gb":1}`, wantDetail: "customer"},
		"a customer with a /":   {key: "k", body: `{"customer":"a/b","class":"plan","cores":1,"memory_gb":1}`, wantDetail: "customer"},
		"an unknown class":      {key: "k", body: `{"customer":"a","class":"x","cores":1,"memory_gb":1}`, wantDetail: "class"},
		"negative cores":        {key: "k", body: `{"customer":"a","class":"plan","cores":-1,"memory_gb":1}`, wantDetail: "cores"},
		"memory over the limit": {key: "k", body: `{"customer":"a","class":"plan","cores":1,"memory_gb":1e18}`, wantDetail: "memory_gb"},
		"a body over the limit": {key: "k", body: strings.Repeat("x", 20_000), wantDetail: "10000 bytes"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			status, body := f.call(http.MethodPost, "/v1/jobs", test.key, test.body)
			var problem gate.Problem
			require.NoError(t, json.Unmarshal(body, &problem))
			assert.GreaterOrEqual(t, status, 400)
			assert.Contains(t, problem.Detail, test.wantDetail)
			assert.Equal(t, gate.NotRun, problem.Outcome)
			assert.Empty(t, f.store.Dump("mustardreach/"), "nothing is stored")
		})
	}
}

// TestLostAnswersFindTheSameJob guards against a duplicate job when the store
// applies a write but its answer is lost and the write is repeated, or when the
// caller submits again. Another job under the same key is refused.
func TestLostAnswersFindTheSameJob(t *testing.T) {
	f := newFixture()
	f.dropAnswers = 2
	status, first := f.call(http.MethodPost, "/v1/jobs", "k", validSubmission)
	require.Equal(t, http.StatusAccepted, status, string(first))
	status, second := f.call(http.MethodPost, "/v1/jobs", "k", validSubmission)
	require.Equal(t, http.StatusAccepted, status)
	assert.JSONEq(t, string(first), string(second))
	assert.Len(t, f.store.Dump("mustardreach/"), 1)
	status, _ = f.call(http.MethodPost, "/v1/jobs", "k", strings.Replace(validSubmission, "4", "5", 1))
	assert.Equal(t, http.StatusUnprocessableEntity, status)
}

// TestStoreDownIsNotRun guards against an unclear answer to a submission when
// no store call had an effect: the job was not accepted, so its outcome is
// not_run.
func TestStoreDownIsNotRun(t *testing.T) {
	f := newFixture()
	f.down = true
	status, body := f.call(http.MethodPost, "/v1/jobs", "k", validSubmission)
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Contains(t, string(body), `"not_run"`)
}

// TestCancelAndLedger guards against a cancellation that is not recorded, and
// against a ledger that shows a job as ended before it is.
func TestCancelAndLedger(t *testing.T) {
	f := newFixture()
	_, body := f.call(http.MethodPost, "/v1/jobs", "k", validSubmission)
	record, err := job.Decode(body)
	require.NoError(t, err)
	status, body := f.call(http.MethodDelete, "/v1/jobs/"+record.ID, "", "")
	assert.Equal(t, http.StatusAccepted, status)
	cancelled, err := job.Decode(body)
	require.NoError(t, err)
	assert.True(t, cancelled.Cancel)
	status, _ = f.call(http.MethodDelete, "/v1/jobs/nobody.0", "", "")
	assert.Equal(t, http.StatusNotFound, status)
	_, body = f.call(http.MethodGet, "/v1/customers/lucia/ledger", "", "")
	var ledger Ledger
	require.NoError(t, json.Unmarshal(body, &ledger))
	require.Len(t, ledger.Lines, 1)
	assert.Equal(t, Pending, ledger.Lines[0].Standing, "it has not ended yet")
}
