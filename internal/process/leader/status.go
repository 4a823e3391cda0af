package leader

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/internal/process/store"
)

// ShardStatus is what the store tells about a shard.
type ShardStatus struct {
	Shard int `json:"shard"`
	// Host leads the shard; empty if no host does.
	Host string `json:"host"`
	// Token is the fencing token of the leadership; it rises with each term.
	Token int64 `json:"token"`
	// Loads holds the shard's load by service; empty if none is published.
	Loads map[string]shard.Load `json:"loads,omitempty"`
}

// ReadShards returns the status of all shards, by number. Errors: store.ErrAbsent
// if the fleet has no layout yet, and other errors of the store.
func ReadShards(ctx context.Context, client store.Client) ([]ShardStatus, error) {
	layout, _, err := readLayout(ctx, client)
	if err != nil {
		return nil, fmt.Errorf("read key %s: %w", keyLayout, err)
	}
	if layout.Shards == 0 {
		return nil, fmt.Errorf("read key %s: %w", keyLayout, store.ErrAbsent)
	}
	status := make([]ShardStatus, layout.Shards)
	for number := range status {
		status[number].Shard = number
		item, err := client.Get(ctx, KeysOf(number, layout.Shards).Lead)
		if errors.Is(err, store.ErrAbsent) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("read the lead key of shard %d: %w", number, err)
		}
		var member Member
		if err := cbor.Unmarshal(item.Value, &member); err != nil {
			return nil, fmt.Errorf("lead key of shard %d cannot be decoded: %w", number, err)
		}
		status[number].Host, status[number].Token = member.Host, item.Revision
	}
	loads, err := store.NewReader(client, prefixLoads).Read(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the loads of the shards: %w", err)
	}
	for _, item := range loads.Items {
		number, err := strconv.Atoi(strings.TrimPrefix(item.Key, prefixLoads))
		if err != nil || number < 0 || number >= layout.Shards {
			continue // not a load of this layout
		}
		if err := cbor.Unmarshal(item.Value, &status[number].Loads); err != nil {
			return nil, fmt.Errorf("load of shard %d cannot be decoded: %w", number, err)
		}
	}
	return status, nil
}
