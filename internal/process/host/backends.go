package host

import (
	"encoding/json"
	"net/netip"
	"strings"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/dispatch"
	"mustardreach.example/mustardreach/internal/process/platform"
	"mustardreach.example/mustardreach/internal/request/gate"
	"mustardreach.example/mustardreach/internal/request/runner"
)

// listLine is one line of the platform's discovery list, which names runners
// and workers.
type listLine struct {
	ID      string         `json:"id"`
	Zone    string         `json:"zone"`
	Rack    string         `json:"rack"`
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	State   string         `json:"state"`
	Total   worker.Size    `json:"total"`
}

const leavingState = "leaving"

// backends is this host's copy of the platform's discovery list.
type backends struct {
	// lines is keyed by the platform's key of each line.
	lines map[string]listLine
}

// apply records the changed lines of a read, or all lines if whole is set. It
// returns false if a line has been removed, which a read of changes does not
// show: the whole list must then be read again.
func (b *backends) apply(response *platform.RangeResponse, whole bool) bool {
	if whole {
		b.lines = map[string]listLine{}
	}
	for _, pair := range response.Kvs {
		var line listLine
		if err := json.Unmarshal(pair.Value, &line); err != nil {
			klog.ErrorS(err, "line of the platform's list", "key", string(pair.Key))
		}
		b.lines[string(pair.Key)] = line
	}
	return int64(response.Count) == int64(len(b.lines))
}

// runners returns the listed runners and their lenders for the admission loop.
func (b *backends) runners() gate.Backends {
	list := gate.Backends{
		Lenders: map[string]gate.Lender{},
	}
	for key, line := range b.lines {
		if !strings.HasPrefix(key, listPrefix+"runners/") || !line.Address.IsValid() {
			continue
		}
		list.Entries = append(list.Entries, runner.Entry{
			ID:      line.ID,
			Zone:    line.Zone,
			Service: line.Service,
			Address: line.Address,
			Leaving: line.State == leavingState,
		})
		list.Lenders[line.ID] = gate.Lender{
			Name: lenderName(line.Zone, shardOf(line.ID)),
			Zone: line.Zone,
		}
	}
	return list
}

// workers returns the listed workers for the dispatcher.
func (b *backends) workers() []dispatch.Entry {
	var entries []dispatch.Entry
	for key, line := range b.lines {
		if !strings.HasPrefix(key, listPrefix+"workers/") || !line.Address.IsValid() {
			continue
		}
		entries = append(entries, dispatch.Entry{
			ID:      line.ID,
			Zone:    line.Zone,
			Rack:    line.Rack,
			Address: line.Address,
			Leaving: line.State == leavingState,
			Total:   line.Total,
		})
	}
	return entries
}

// limits returns, by runner, the slots that the lender of one shard of this
// host's zone may lend. Runners that are leaving are left out.
func (c *Control) limits(shard int) map[string]int {
	limits := map[string]int{}
	for key, line := range c.backends.lines {
		if !strings.HasPrefix(key, listPrefix+"runners/") || line.Zone != c.config.Self.Zone || shardOf(line.ID) != shard {
			continue
		}
		if service, ok := c.state.Services[line.Service]; ok && line.State != leavingState {
			limits[line.ID] = service.Slots
		}
	}
	return limits
}
