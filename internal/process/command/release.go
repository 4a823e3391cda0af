package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"mustardreach.example/mustardreach/internal/process/host"
	"mustardreach.example/mustardreach/internal/version/release"
)

// release groups the operators' commands for release notes.
func (s *session) release() *ffcli.Command {
	return &ffcli.Command{
		Name:       "release",
		ShortUsage: "mustardreach release apply|show|status [flags]",
		ShortHelp:  "apply a release note, show what is in force and on which hosts",
		FlagSet:    s.flags("release"),
		Subcommands: []*ffcli.Command{
			s.releaseApply(),
			s.releaseShow(),
			s.releaseStatus(),
		},
		Exec: s.requireSubcommand("mustardreach release -h"),
	}
}

// releaseApply sends a release note to a host, or asks it for a dry run. The
// idempotency key lets the HTTP client retry the call if the response is lost.
func (s *session) releaseApply() *ffcli.Command {
	var to target
	flags := s.flags("release apply")
	to.register(flags)
	dryRun := flags.Bool("dry-run", false, "show the difference without applying it")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "mustardreach release apply -config FILE.ini [-dry-run] NOTE.ini",
		ShortHelp:  "bring a release note into force",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			name, text, err := readFile(args, "release note")
			if err != nil {
				return err
			}
			if _, err := release.ParseNote(name, text); err != nil {
				return refusedError("%w", err)
			}
			address, err := to.operatorsAddress()
			if err != nil {
				return err
			}
			body, err := call{
				method:  http.MethodPost,
				address: address,
				path:    fmt.Sprintf("/v1/releases?name=%s&dry_run=%t", url.QueryEscape(name), *dryRun),
				header:  http.Header{"Idempotency-Key": {uuid.NewString()}},
				body:    text,
			}.do(ctx)
			if err != nil {
				return err
			}
			return s.printAccepted(to, body)
		},
	}
}

// printAccepted prints what a note changes and where it is in force.
func (s *session) printAccepted(to target, body []byte) error {
	if to.json {
		_, err := s.out.Write(body)
		return err
	}
	var accepted host.Accepted
	if err := json.Unmarshal(body, &accepted); err != nil {
		return refusedError("unexpected response from the host: %w", err)
	}
	for _, line := range accepted.Difference {
		_, _ = fmt.Fprintln(s.out, line)
	}
	switch {
	case accepted.DryRun:
		_, _ = fmt.Fprintf(s.out, "dry run: would become version %d\n", accepted.Version)
		return nil
	case accepted.AlreadyAccepted:
		_, _ = fmt.Fprintf(s.out, "note %s was accepted before, as version %d\n", accepted.NoteID, accepted.Version)
	default:
		_, _ = fmt.Fprintf(s.out, "note %s accepted as version %d\n", accepted.NoteID, accepted.Version)
	}
	_, _ = fmt.Fprintf(s.out, "in force on: %s\n", strings.Join(accepted.InForce, " "))
	if len(accepted.Unconfirmed) > 0 {
		_, _ = fmt.Fprintf(s.out, "not confirmed yet: %s\n", strings.Join(accepted.Unconfirmed, " "))
	}
	return nil
}

// fetchRelease returns the decoded view of a host and the response it came in.
func (s *session) fetchRelease(ctx context.Context, to target, path string) (host.ReleaseView, []byte, error) {
	var view host.ReleaseView
	address, err := to.operatorsAddress()
	if err != nil {
		return view, nil, err
	}
	body, err := call{
		method:  http.MethodGet,
		address: address,
		path:    path,
	}.do(ctx)
	if err != nil {
		return view, nil, err
	}
	if err := json.Unmarshal(body, &view); err != nil {
		return view, nil, refusedError("unexpected response from the host: %w", err)
	}
	return view, body, nil
}

// releaseShow prints the release in force and the history of release notes.
func (s *session) releaseShow() *ffcli.Command {
	var to target
	flags := s.flags("release show")
	to.register(flags)
	return &ffcli.Command{
		Name:       "show",
		ShortUsage: "mustardreach release show -config FILE.ini [-json]",
		ShortHelp:  "show the release in force and the history of release notes",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			view, body, err := s.fetchRelease(ctx, to, "/v1/releases?history=true")
			if err != nil {
				return err
			}
			if to.json {
				_, err := s.out.Write(body)
				return err
			}
			if view.State == nil {
				return refusedError("no release is in force; apply one with 'mustardreach release apply'")
			}
			_, _ = fmt.Fprintf(s.out, "version %d, note %s\n", view.State.Version, view.State.NoteID)
			for _, line := range release.Difference(&release.State{}, view.State) {
				_, _ = fmt.Fprintln(s.out, strings.TrimPrefix(line, "+ "))
			}
			for _, entry := range view.History {
				_, _ = fmt.Fprintf(s.out, "history: version %d, note %s, at %s through %s\n",
					entry.Version, entry.NoteID, entry.At.Format(time.RFC3339), entry.Host)
			}
			return nil
		},
	}
}

// releaseStatus prints which version is in force on each host.
func (s *session) releaseStatus() *ffcli.Command {
	var to target
	flags := s.flags("release status")
	to.register(flags)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "mustardreach release status -config FILE.ini [-json]",
		ShortHelp:  "show which version is in force on each host and since when",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			view, body, err := s.fetchRelease(ctx, to, "/v1/releases")
			if err != nil {
				return err
			}
			if to.json {
				_, err := s.out.Write(body)
				return err
			}
			table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
			_, _ = fmt.Fprintln(table, "HOST\tZONE\tSTATUS\tVERSION\tSINCE")
			for _, entry := range view.Hosts {
				_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\n", entry.Host, entry.Zone, entry.Status, entry.Version, formatTime(entry.InForceAt))
			}
			return table.Flush()
		},
	}
}

// formatTime formats a time for output; the zero time is printed as -.
func formatTime(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.Format(time.RFC3339)
}
