package gate

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells whether the work of a request without an answer has run.
type Outcome string

// The outcomes. NotRun is reported only when it is certain.
const (
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
	Pending Outcome = "pending"
)

// Problem is an error answer of the entry host, as defined in RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Outcome tells whether the work ran.
	Outcome Outcome `json:"outcome"`
	// RetryAfter is zero if a retry does not help.
	RetryAfter time.Duration `json:"-"`
}

const problemType = "application/problem+json"

// WriteProblem writes a problem as the answer.
func WriteProblem(w http.ResponseWriter, problem Problem) {
	problem.Type = "about:blank"
	problem.Title = http.StatusText(problem.Status)
	w.Header().Set("Content-Type", problemType)
	if problem.RetryAfter > 0 {
		seconds := int(math.Ceil(problem.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(problem.Status)
	_ = json.NewEncoder(w).Encode(problem)
}
