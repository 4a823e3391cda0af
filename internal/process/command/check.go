package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"mustardreach.example/mustardreach/internal/process/settings"
	"mustardreach.example/mustardreach/internal/version/release"
)

// check validates a settings file or a release note without contacting a host.
func (s *session) check() *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "mustardreach check FILE.ini",
		ShortHelp:  "check a settings file or a release note offline",
		FlagSet:    s.flags("check"),
		Exec: func(_ context.Context, args []string) error {
			name, text, err := readFile(args, "settings or release note")
			if err != nil {
				return err
			}
			if settings.IsFile(text) {
				if _, err := settings.Load(name); err != nil {
					return refusedError("%w", err)
				}
				_, _ = fmt.Fprintf(s.out, "%s: good settings\n", name)
				return nil
			}
			note, err := release.ParseNote(name, text)
			if err != nil {
				return refusedError("%w", err)
			}
			_, _ = fmt.Fprintf(s.out, "%s: a well-formed release note with %d changes; 'release apply -dry-run' checks it against what is in force\n", name, len(note.Changes))
			return nil
		},
	}
}
