// Package load generates load for a site of entry hosts and stand-ins, and
// checks the results against what the back ends recorded.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"mustardreach.example/mustardreach/internal/process/standin"
	"mustardreach.example/mustardreach/internal/request/gate"
	"mustardreach.example/mustardreach/internal/request/job"
	"mustardreach.example/mustardreach/internal/request/ledger"
)

// Site is the system under test: entry hosts and the stand-ins behind them.
type Site struct {
	// Callers and Operators are the hosts' addresses for callers and for
	// operators, in the same order of hosts.
	Callers, Operators []string
	// Admin is the address through which the stand-ins are controlled.
	Admin string
	// Service is the idempotent service to which plans send requests.
	Service string
	Random  *rand.Rand

	client *http.Client
	next   atomic.Uint64
	ready  []atomic.Bool
	// idle slows the readiness probes, so that they add little to the measured
	// cost of idle hosts.
	idle atomic.Bool
}

// callTimeout is the timeout of one call of the load tool.
const callTimeout = 12 * time.Second

// Open prepares the site for calls and starts to probe the hosts' readiness.
func (s *Site) Open() {
	s.client = &http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 512,
			IdleConnTimeout:     time.Second * 5,
		},
	}
	s.ready = make([]atomic.Bool, len(s.Callers))
	for i := range s.ready {
		s.ready[i].Store(true)
	}
	go s.probeReadiness()
}

// probeReadiness stands in for the platform's load balancer: it probes the
// readiness of each host forever.
func (s *Site) probeReadiness() {
	probe := &http.Client{
		Timeout: 250 * time.Millisecond,
	}
	for {
		for i, operatorAddress := range s.Operators {
			response, err := probe.Get("http://" + operatorAddress + "/readyz")
			s.ready[i].Store(err == nil && response.StatusCode == http.StatusOK)
			if err == nil {
				_ = response.Body.Close()
			}
		}
		pause := probeInterval
		if s.idle.Load() {
			pause = idleProbeInterval
		}
		time.Sleep(pause)
	}
}

// Pauses between two rounds of readiness probes.
const (
	probeInterval     = 100 * time.Millisecond
	idleProbeInterval = 2 * time.Second
)

// nextHost returns the next ready host in turn, or any host if none is ready.
func (s *Site) nextHost() string {
	for range s.Callers {
		i := int(s.next.Add(1)) % len(s.Callers)
		if s.ready[i].Load() {
			return s.Callers[i]
		}
	}
	return s.Callers[int(s.next.Load())%len(s.Callers)]
}

// Request is one call to a service.
type Request struct {
	Method, Path, Host string
	// Key is the idempotency key; empty for none.
	Customer, Key string
	// Timeout is the request's timeout as sent to the host; zero for none.
	Timeout time.Duration
	// WorkTime is the median service time at the runner; zero for its default.
	WorkTime time.Duration
	// Retry permits another try, through another host unless Host is set, if
	// the connection breaks.
	Retry bool
}

// Answer is the result of a call.
type Answer struct {
	Status  int
	Outcome gate.Outcome
	Body    []byte
	Took    time.Duration
	Err     error
}

// Succeeded reports whether the call was answered without an error status.
func (a Answer) Succeeded() bool {
	return a.Err == nil && a.Status < http.StatusBadRequest
}

// Call makes one call, with up to three tries if the request permits a retry.
func (s *Site) Call(request Request) Answer {
	began := time.Now()
	var answer Answer
	for range 3 {
		host := request.Host
		if host == "" {
			host = s.nextHost()
		}
		answer = s.callOnce(host, request)
		if answer.Err == nil || !request.Retry {
			break
		}
	}
	answer.Took = time.Since(began)
	return answer
}

func (s *Site) callOnce(host string, request Request) Answer {
	message, err := http.NewRequest(request.Method, "http://"+host+request.Path, strings.NewReader("work"))
	if err != nil {
		return Answer{Err: err}
	}
	setHeader := func(name, value string) {
		if value != "" {
			message.Header.Set(name, value)
		}
	}
	setHeader("Customer", request.Customer)
	setHeader("Idempotency-Key", request.Key)
	if request.Timeout > 0 {
		setHeader("Request-Timeout", fmt.Sprintf("%.3f", request.Timeout.Seconds()))
	}
	if request.WorkTime > 0 {
		setHeader("Work-Time", request.WorkTime.String())
	}
	response, err := s.client.Do(message)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	answer := Answer{
		Status: response.StatusCode,
		Body:   body,
		Err:    err,
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		var problem gate.Problem
		_ = json.Unmarshal(body, &problem)
		answer.Outcome = problem.Outcome
	}
	return answer
}

// exchange encodes in as JSON, or sends it unchanged if it is a string, and
// decodes the JSON answer into out. It returns the HTTP status.
func (s *Site) exchange(method, url string, header map[string]string, in, out any) (int, error) {
	var body []byte
	switch given := in.(type) {
	case nil:
	case string:
		body = []byte(given)
	default:
		body, _ = json.Marshal(in)
	}
	request, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return response.StatusCode, fmt.Errorf("%s %s: %d %s", method, url, response.StatusCode, text)
	}
	if out == nil {
		return response.StatusCode, nil
	}
	return response.StatusCode, json.Unmarshal(text, out)
}

// Fault sets the fault of the stand-ins of a kind whose names contain match. It
// panics if they do not answer.
func (s *Site) Fault(kind, match string, fault any) {
	_, err := s.exchange(http.MethodPost, "http://"+s.Admin+"/faults/"+kind+"?match="+match, nil, fault, nil)
	if err != nil {
		panic(err) // the stand-ins are part of the test site and must answer
	}
}

// records returns what the stand-ins of a kind recorded. It panics if they do
// not answer.
func records[T any](s *Site, kind string) T {
	var found T
	if _, err := s.exchange(http.MethodGet, "http://"+s.Admin+"/records/"+kind, nil, nil, &found); err != nil {
		panic(err)
	}
	return found
}

// Runners returns the counts of each runner.
func (s *Site) Runners() []standin.RunnerRecord { return records[[]standin.RunnerRecord](s, "runners") }

// Events returns the events that all workers recorded.
func (s *Site) Events() []standin.Event { return records[[]standin.Event](s, "workers") }

// Store returns the counts of the platform's store.
func (s *Site) Store() standin.StoreRecord { return records[standin.StoreRecord](s, "store") }

// Submit submits a job through a ready host. It retries with the same
// idempotency key, up to 20 tries in all, until the job is accepted.
func (s *Site) Submit(submission ledger.Submission, key string) (*job.Record, error) {
	var record job.Record
	var err error
	for range 20 {
		_, err = s.exchange(http.MethodPost, "http://"+s.nextHost()+"/v1/jobs", map[string]string{"Idempotency-Key": key}, submission, &record)
		if err == nil {
			return &record, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, err
}

// Job returns the record of a job.
func (s *Site) Job(id string) (*job.Record, error) {
	var record job.Record
	_, err := s.exchange(http.MethodGet, "http://"+s.nextHost()+"/v1/jobs/"+id, nil, nil, &record)
	return &record, err
}

// Cancel cancels a job.
func (s *Site) Cancel(id string) error {
	_, err := s.exchange(http.MethodDelete, "http://"+s.nextHost()+"/v1/jobs/"+id, nil, nil, nil)
	return err
}

// Ledger returns a customer's ledger.
func (s *Site) Ledger(customer string) (ledger.Ledger, error) {
	var found ledger.Ledger
	_, err := s.exchange(http.MethodGet, "http://"+s.nextHost()+"/v1/customers/"+customer+"/ledger", nil, nil, &found)
	return found, err
}

// Apply applies a release note through one host.
func (s *Site) Apply(operatorAddress, note string) (int, error) {
	return s.exchange(http.MethodPost, "http://"+operatorAddress+"/v1/releases", nil, note, nil)
}
