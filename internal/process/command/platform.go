package command

import (
	"context"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"

	"mustardreach.example/mustardreach/platform"
)

// platform runs a host on the users' platform until it is told to stop.
func (s *session) platform() *ffcli.Command {
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "mustardreach platform",
		ShortHelp:  "run an entry host on the users' platform",
		LongHelp:   "The platform hands the settings over by a file; docs/PLATFORM.md says how.",
		FlagSet:    s.flags("platform"),
		Exec: func(ctx context.Context, words []string) error {
			if len(words) > 0 {
				return usageError("unexpected %q", words[0])
			}
			debug.SetGCPercent(garbagePercent)
			if err := platform.Serve(ctx); err != nil {
				return refusedError("%w", err)
			}
			return nil
		},
	}
}
