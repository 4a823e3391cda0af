package ledger

import (
	"net/http"
	"slices"

	"mustardreach.example/mustardreach/internal/process/platform"
	"mustardreach.example/mustardreach/internal/request/job"
)

// Standing is the status of a job in the ledger.
type Standing string

// The standings. Every job has exactly one of them.
const (
	// DoneOnce means that the job has completed.
	DoneOnce Standing = "done_once"
	// NotDone means that the job has failed or was cancelled.
	NotDone Standing = "not_done"
	// Pending means that the job has not ended.
	Pending Standing = "pending"
)

// Line is one job in a customer's ledger.
type Line struct {
	Standing Standing    `json:"standing"`
	Record   *job.Record `json:"record"`
}

// Ledger lists the jobs accepted for a customer, earliest submission first.
type Ledger struct {
	Customer string `json:"customer"`
	Lines    []Line `json:"lines"`
}

// StandingOf returns the standing of a job, derived from its record alone.
func StandingOf(record *job.Record) Standing {
	switch record.State {
	case job.Done:
		return DoneOnce
	case job.Failed, job.Cancelled:
		return NotDone
	}
	return Pending
}

// Ledger answers GET /v1/customers/{customer}/ledger. Records that cannot be
// decoded are left out.
func (h *Handler) Ledger(w http.ResponseWriter, r *http.Request) {
	customer := r.PathValue("customer")
	response, err := h.config.Scan(r.Context(), platform.TxnRequest{
		Success: []platform.Op{
			platform.GetPrefix(job.ActivePrefix+customer+".", 0),
			platform.GetPrefix(job.EndedPrefix+customer+".", 0),
		},
	})
	if err != nil {
		h.refuseRead(w, err)
		return
	}
	ledger := Ledger{
		Customer: customer,
		Lines:    []Line{},
	}
	for _, answer := range response.Responses {
		if answer.Range == nil {
			continue
		}
		for _, pair := range answer.Range.Kvs {
			if record, err := job.Decode(pair.Value); err == nil {
				ledger.Lines = append(ledger.Lines, Line{
					Standing: StandingOf(record),
					Record:   record,
				})
			}
		}
	}
	slices.SortFunc(ledger.Lines, func(a, b Line) int {
		return a.Record.SubmittedAt.Compare(b.Record.SubmittedAt)
	})
	writeJSON(w, http.StatusOK, ledger)
}
