package host

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"mustardreach.example/mustardreach/internal/process/member"
	"mustardreach.example/mustardreach/internal/request/burn"
)

// gatherTimeout bounds the collection of the counts of other hosts.
const gatherTimeout = 2 * time.Second

// report handles GET /v1/report/slo?scope=host|fleet&format=json|html|text.
func (h *Host) report(w http.ResponseWriter, r *http.Request) {
	local := burn.HostSamples{
		Host:    h.self.Host,
		Samples: h.slo.totals(),
	}
	if r.URL.Query().Get("scope") == "host" {
		writeJSON(w, local)
		return
	}
	hosts, missing := h.gatherSamples(r.Context())
	report := burn.Merge(append(hosts, local), h.objectives(), time.Now())
	report.Missing = missing
	switch r.URL.Query().Get("format") {
	case "html":
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		_ = report.WriteHTML(w)
	case "text":
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_ = report.WriteText(w)
	default:
		writeJSON(w, report)
	}
}

// objectives returns the success target of each service of the release in
// force.
func (h *Host) objectives() map[string]float64 {
	objectives := map[string]float64{}
	if state := h.state(); state != nil {
		for name, service := range state.Services {
			objectives[name] = service.Target
		}
	}
	return objectives
}

// gatherSamples fetches the counts of every live peer. missing lists the peers
// that are not alive or did not reply.
func (h *Host) gatherSamples(ctx context.Context) (hosts []burn.HostSamples, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	for _, peer := range h.control.Snapshot().Peers {
		if peer.Status != member.StatusAlive {
			missing = append(missing, peer.Info.Host)
			continue
		}
		samples, err := fetchSamples(ctx, peer.Info.Operators)
		if err != nil {
			missing = append(missing, peer.Info.Host)
			continue
		}
		hosts = append(hosts, samples)
	}
	return hosts, missing
}

func fetchSamples(ctx context.Context, operators netip.AddrPort) (burn.HostSamples, error) {
	var samples burn.HostSamples
	target := "http://" + operators.String() + "/v1/report/slo?scope=host"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return samples, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return samples, err
	}
	defer func() { _ = response.Body.Close() }()
	return samples, json.NewDecoder(response.Body).Decode(&samples)
}
