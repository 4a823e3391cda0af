package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"mustardreach.example/mustardreach/internal/connection/message"
	"mustardreach.example/mustardreach/internal/process/host"
)

// version prints the build and the versions of the peer protocol.
func (s *session) version() *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "mustardreach version",
		ShortHelp:  "print the version",
		FlagSet:    s.flags("version"),
		Exec: func(context.Context, []string) error {
			_, err := fmt.Fprintf(s.out, "mustardreach %s, peer protocol %d (reads %d and later)\n",
				host.Build, message.Version, message.OldestVersion)
			return err
		},
	}
}
