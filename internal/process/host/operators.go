package host

import (
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	"github.com/google/uuid"

	"mustardreach.example/mustardreach/internal/connection/listener"
	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/process/member"
	"mustardreach.example/mustardreach/internal/process/platform"
	"mustardreach.example/mustardreach/internal/request/gate"
	"mustardreach.example/mustardreach/internal/version/release"
)

// maxNoteBytes bounds the size of a release note.
const maxNoteBytes = 512 << 10

// noteTimeout bounds the time for receiving one.
const noteTimeout = 30 * time.Second

func (h *Host) operatorsMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", h.live)
	mux.HandleFunc("GET /readyz", h.readiness)
	mux.HandleFunc("GET /v1/status", h.status)
	mux.HandleFunc("POST /v1/releases", h.applyRelease)
	mux.HandleFunc("GET /v1/releases", h.showRelease)
	mux.HandleFunc("GET /v1/report/slo", h.report)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	return mux
}

func (h *Host) live(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

// readiness replies with status 503 and the reason while this host can't serve
// requests.
func (h *Host) readiness(w http.ResponseWriter, _ *http.Request) {
	snapshot := h.control.Snapshot()
	reason := ""
	switch {
	case !h.ready.Load():
		reason = "stopping"
	case snapshot.State == nil && snapshot.StoreUp:
		reason = "no release has been applied yet; apply one with 'mustardreach release apply'"
	case snapshot.State == nil:
		reason = "no release is known: the store is out of reach and no peer has given one"
	}
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// Status is a host's reply to GET /v1/status.
type Status struct {
	Host           string            `json:"host"`
	Zone           string            `json:"zone"`
	Build          string            `json:"build"`
	Ready          bool              `json:"ready"`
	StoreUp        bool              `json:"store_up"`
	ReleaseVersion uint64            `json:"release_version"`
	NoteID         string            `json:"note_id"`
	InForceAt      time.Time         `json:"in_force_at,omitzero"`
	ConfirmedAt    time.Time         `json:"confirmed_at,omitzero"`
	PermitUntil    time.Time         `json:"permit_until,omitzero"`
	Rights         []message.Claim   `json:"rights"`
	Holders        map[string]string `json:"holders"`
	Peers          []PeerStatus      `json:"peers"`
}

func (h *Host) status(w http.ResponseWriter, _ *http.Request) {
	snapshot := h.control.Snapshot()
	status := Status{
		Host:        h.self.Host,
		Zone:        h.self.Zone,
		Build:       Build,
		Ready:       h.ready.Load(),
		StoreUp:     snapshot.StoreUp,
		InForceAt:   snapshot.InForceAt,
		ConfirmedAt: snapshot.ConfirmedAt,
		PermitUntil: snapshot.Authority.PermitUntil,
		Rights:      snapshot.Rights,
		Holders:     snapshot.Holders,
		Peers:       snapshot.Peers,
	}
	if snapshot.State != nil {
		status.ReleaseVersion, status.NoteID = snapshot.State.Version, snapshot.State.NoteID
	}
	writeJSON(w, status)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// readNote receives a release note. Errors: those of listener.ReadBody.
func readNote(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := listener.ReadBody(w, r, maxNoteBytes, time.Now().Add(noteTimeout))
	if err != nil {
		return nil, err
	}
	return body.Bytes(r.Context())
}

// applyRelease handles POST /v1/releases?name=FILE&dry_run=true.
func (h *Host) applyRelease(w http.ResponseWriter, r *http.Request) {
	text, err := readNote(w, r)
	if err != nil {
		problem := gate.BodyProblem(err, maxNoteBytes)
		refuseRelease(w, problem.Status, problem.Detail)
		return
	}
	name := r.URL.Query().Get("name")
	if name == "" {
		name = "note"
	}
	note, err := release.ParseNote(name, text)
	if err != nil {
		refuseRelease(w, http.StatusBadRequest, err.Error())
		return
	}
	if note.ID == "" {
		note.ID = r.Header.Get("Idempotency-Key")
	}
	if note.ID == "" {
		note.ID = uuid.NewString()
	}
	dryRun, _ := strconv.ParseBool(r.URL.Query().Get("dry_run"))
	accepted, err := h.releases.accept(r.Context(), note, text, dryRun)
	var conflict *release.ConflictError
	switch {
	case err == nil:
		writeJSON(w, accepted)
	case errors.As(err, &conflict):
		refuseRelease(w, http.StatusConflict, err.Error())
	case errors.Is(err, platform.ErrUnknown):
		gate.WriteProblem(w, gate.Problem{
			Status:  http.StatusGatewayTimeout,
			Detail:  fmt.Sprintf("the store's answer was lost; apply note %s again to learn whether it was accepted", note.ID),
			Outcome: gate.Unknown,
		})
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, errStoreBehind):
		refuseRelease(w, http.StatusServiceUnavailable, err.Error())
	default:
		refuseRelease(w, http.StatusBadRequest, err.Error())
	}
}

// refuseRelease replies that the release note was not accepted.
func refuseRelease(w http.ResponseWriter, status int, detail string) {
	gate.WriteProblem(w, gate.Problem{
		Status:  status,
		Detail:  detail,
		Outcome: gate.NotRun,
	})
}

// ReleaseView is the release in force and the notes that led to it.
type ReleaseView struct {
	State *release.State `json:"state"`
	// History is present only if the request asks for it.
	History []historyEntry `json:"history,omitempty"`
	// Hosts lists the version in force on this host and on each peer.
	Hosts []ReleaseHost `json:"hosts"`
}

// ReleaseHost is the version in force on one host, as that host reports it.
type ReleaseHost struct {
	Host      string        `json:"host"`
	Zone      string        `json:"zone"`
	Status    member.Status `json:"status"`
	Version   uint64        `json:"version"`
	InForceAt time.Time     `json:"in_force_at,omitzero"`
}

func (h *Host) showRelease(w http.ResponseWriter, r *http.Request) {
	snapshot := h.control.Snapshot()
	view := ReleaseView{
		State: snapshot.State,
	}
	self := ReleaseHost{
		Host:      h.self.Host,
		Zone:      h.self.Zone,
		Status:    member.StatusAlive,
		InForceAt: snapshot.InForceAt,
	}
	if snapshot.State != nil {
		self.Version = snapshot.State.Version
	}
	view.Hosts = append(view.Hosts, self)
	for _, peer := range snapshot.Peers {
		view.Hosts = append(view.Hosts, ReleaseHost{
			Host:      peer.Info.Host,
			Zone:      peer.Info.Zone,
			Status:    peer.Status,
			Version:   peer.ReleaseVersion,
			InForceAt: peer.InForceAt,
		})
	}
	if r.URL.Query().Get("history") != "" {
		view.History = h.history(r)
	}
	writeJSON(w, view)
}

// history reads the accepted notes from the store; it returns none while the
// store is unreachable.
func (h *Host) history(r *http.Request) []historyEntry {
	response, err := h.readStore(r.Context(), platform.TxnRequest{
		Success: []platform.Op{platform.GetPrefix(historyPrefix, 0)},
	})
	if err != nil {
		return nil
	}
	var entries []historyEntry
	for _, pair := range rangeOf(response, 0).Kvs {
		var entry historyEntry
		if json.Unmarshal(pair.Value, &entry) == nil {
			entries = append(entries, entry)
		}
	}
	return entries
}
