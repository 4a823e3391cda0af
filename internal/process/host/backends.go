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

// listEntry is one entry of the platform's discovery list, which names runners
// and workers.
type listEntry struct {
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
	// entries is keyed by the platform's key of each entry.
	entries map[string]listEntry
}

// apply records the changed entries of a read, or all entries if whole is set.
// It returns false if an entry has been removed, which a read of changes does
// not show: the whole list must then be read again.
func (b *backends) apply(response *platform.RangeResponse, whole bool) bool {
	if whole {
		b.entries = map[string]listEntry{}
	}
	for _, pair := range response.Kvs {
		var entry listEntry
		if err := json.Unmarshal(pair.Value, &entry); err != nil {
			klog.ErrorS(err, "discovery list entry cannot be decoded", "key", string(pair.Key))
			entry = listEntry{} // what was decoded before the error is not used
		}
		b.entries[string(pair.Key)] = entry
	}
	return int64(response.Count) == int64(len(b.entries))
}

// runners returns the listed runners and their lenders for the admission loop.
func (b *backends) runners() gate.Backends {
	list := gate.Backends{
		Lenders: map[string]gate.Lender{},
	}
	for key, entry := range b.entries {
		if !strings.HasPrefix(key, listPrefix+"runners/") || !entry.Address.IsValid() {
			continue
		}
		list.Entries = append(list.Entries, runner.Entry{
			ID:      entry.ID,
			Zone:    entry.Zone,
			Service: entry.Service,
			Address: entry.Address,
			Leaving: entry.State == leavingState,
		})
		list.Lenders[entry.ID] = gate.Lender{
			Name: lenderName(entry.Zone, shardOf(entry.ID)),
			Zone: entry.Zone,
		}
	}
	return list
}

// workers returns the listed workers for the dispatcher.
func (b *backends) workers() []dispatch.Entry {
	var list []dispatch.Entry
	for key, entry := range b.entries {
		if !strings.HasPrefix(key, listPrefix+"workers/") || !entry.Address.IsValid() {
			continue
		}
		list = append(list, dispatch.Entry{
			ID:      entry.ID,
			Zone:    entry.Zone,
			Rack:    entry.Rack,
			Address: entry.Address,
			Leaving: entry.State == leavingState,
			Total:   entry.Total,
		})
	}
	return list
}

// limits returns, by runner, the slots that the lender of one shard of this
// host's zone may lend. Runners that are leaving are left out.
func (c *Control) limits(shard int) map[string]int {
	limits := map[string]int{}
	for key, entry := range c.backends.entries {
		if !strings.HasPrefix(key, listPrefix+"runners/") || entry.Zone != c.config.Self.Zone || shardOf(entry.ID) != shard {
			continue
		}
		if service, ok := c.state.Services[entry.Service]; ok && entry.State != leavingState {
			limits[entry.ID] = service.Slots
		}
	}
	return limits
}
