package command

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"mustardreach.example/mustardreach/internal/process/leader"
	"mustardreach.example/mustardreach/internal/process/shard"
	"mustardreach.example/mustardreach/platform"
)

// shards prints who leads each shard of the fleet and how full it is.
func (s *session) shards() *ffcli.Command {
	flags := s.flags("shards")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "shards",
		ShortUsage: "mustardreach platform shards [-json]",
		ShortHelp:  "show the leader and the load of each shard",
		LongHelp:   "Reads the store that the platform's settings file names.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("unexpected argument %q", args[0])
			}
			status, err := platform.Shards(ctx)
			if err != nil {
				return refusedError("%w", err)
			}
			if *asJSON {
				return json.NewEncoder(s.out).Encode(status)
			}
			return s.printShards(status)
		},
	}
}

func (s *session) printShards(status []leader.ShardStatus) error {
	const milli = 1000
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SHARD\tLEADER\tTOKEN\tSERVICE\tCORES\tCLAIMED\tIDLE\tWAITING\tWAITING FILLERS")
	for _, each := range status {
		host := each.Host
		if host == "" {
			host = "none"
		}
		services := slices.Sorted(maps.Keys(each.Loads))
		if len(services) == 0 {
			_, _ = fmt.Fprintf(table, "%d\t%s\t%d\t-\t-\t-\t-\t-\t-\n", each.Shard, host, each.Token)
		}
		for _, service := range services {
			load := each.Loads[service]
			_, _ = fmt.Fprintf(table, "%d\t%s\t%d\t%s\t%d\t%s\t%s\t%d\t%d\n", each.Shard, host, each.Token, service, load.Capacity/milli,
				percent(load.Capacity-load.Free, load), percent(load.Unused, load), load.Waiting/milli, load.WaitingFillers/milli)
		}
	}
	return table.Flush()
}

// percent formats a part of a shard's cores.
func percent(part int64, load shard.Load) string {
	if load.Capacity == 0 {
		return "-"
	}
	const whole = 100
	return fmt.Sprintf("%d%%", whole*part/load.Capacity)
}
