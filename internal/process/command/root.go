// Package command is the command line: one file for each command.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit statuses.
const (
	exitDone    = 0
	exitRefused = 1
	exitUsage   = 2
)

// errUsage marks a call whose words or settings are wrong.
var errUsage = errors.New("usage")

// usageError wraps a reason so that the exit status is that of bad usage.
func usageError(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{errUsage}, args...)...)
}

// session is what a command writes to.
type session struct {
	out, err io.Writer
}

// Run runs the command that the arguments name and returns the exit status.
func Run(arguments []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	one := &session{
		out: out,
		err: errOut,
	}
	root := one.root()
	err := root.Parse(arguments)
	if err == nil {
		err = root.Run(ctx)
	}
	return one.finish(err)
}

func (s *session) root() *ffcli.Command {
	flags := s.flags("mustardreach")
	return &ffcli.Command{
		Name:       "mustardreach",
		ShortUsage: "mustardreach COMMAND [flags]",
		ShortHelp:  "schedule latency-critical requests and batch jobs on shared workers",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			s.serve(),
			s.platform(),
			s.release(),
			s.job(),
			s.ledger(),
			s.report(),
			s.status(),
			s.check(),
			s.version(),
		},
		Exec: s.needCommand("mustardreach -h"),
	}
}

// needCommand complains about a missing or unknown word.
func (s *session) needCommand(help string) func(context.Context, []string) error {
	return func(_ context.Context, words []string) error {
		if len(words) > 0 {
			return usageError("unknown command %q; try '%s'", words[0], help)
		}
		return usageError("a command is missing; try '%s'", help)
	}
}

func (s *session) flags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(s.err)
	return flags
}

func (s *session) finish(err error) int {
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitDone
	case errors.Is(err, errUsage):
		_, _ = fmt.Fprintln(s.err, "mustardreach:", err)
		return exitUsage
	case errors.Is(err, errRefused):
		_, _ = fmt.Fprintln(s.err, "mustardreach:", err)
		return exitRefused
	}
	_, _ = fmt.Fprintln(s.err, "mustardreach:", err)
	return exitUsage
}
