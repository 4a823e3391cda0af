package command

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"mustardreach.example/mustardreach/internal/process/host"
)

// status prints a host's view of the store, the rights and its peers.
func (s *session) status() *ffcli.Command {
	var to target
	flags := s.flags("status")
	to.register(flags)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "mustardreach status -config FILE.ini [-json]",
		ShortHelp:  "show a host's view: store, rights, peers",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			address, err := to.operatorsAddress()
			if err != nil {
				return err
			}
			body, err := call{
				method:  http.MethodGet,
				address: address,
				path:    "/v1/status",
			}.do(ctx)
			if err != nil {
				return err
			}
			if to.json {
				_, err := s.out.Write(body)
				return err
			}
			return s.printStatus(body)
		},
	}
}

func (s *session) printStatus(body []byte) error {
	var status host.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return refusedError("unexpected response from the host: %w", err)
	}
	_, _ = fmt.Fprintf(s.out, "host %s in %s, build %s, ready: %t\n", status.Host, status.Zone, status.Build, status.Ready)
	_, _ = fmt.Fprintf(s.out, "store in reach: %t; release %d confirmed %s\n", status.StoreUp, status.ReleaseVersion, formatTime(status.ConfirmedAt))
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "RIGHT\tHOLDER")
	for _, name := range slices.Sorted(maps.Keys(status.Holders)) {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", name, status.Holders[name])
	}
	_, _ = fmt.Fprintln(table, "PEER\tZONE\tSTATUS\tRELEASE\tHEARD")
	for _, peer := range status.Peers {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\n", peer.Info.Host, peer.Info.Zone, peer.Status, peer.ReleaseVersion, formatTime(peer.LastSeenAt))
	}
	return table.Flush()
}
