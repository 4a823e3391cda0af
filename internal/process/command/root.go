// Package command implements the command line of mustardreach, with one file
// for each command.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit statuses.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

// errUsage means that the arguments or the settings are wrong.
var errUsage = errors.New("usage")

// usageError wraps errUsage, so that the exit status is exitUsage.
func usageError(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{errUsage}, args...)...)
}

// session holds what one run of the program gets from outside.
type session struct {
	out, err io.Writer
	// hangups receives each SIGHUP that does not end the program.
	hangups chan os.Signal
}

// Run runs the command given by the arguments and returns the exit status.
func Run(arguments []string, out, errOut io.Writer) int {
	// The signals stay caught until the process has ended, so that a further one
	// does not change its exit status.
	current := &session{
		out:     out,
		err:     errOut,
		hangups: make(chan os.Signal, 1),
	}
	ending := []os.Signal{syscall.SIGTERM, syscall.SIGINT}
	if runsHost(arguments) {
		signal.Notify(current.hangups, syscall.SIGHUP)
	} else {
		ending = append(ending, syscall.SIGHUP)
	}
	ctx, _ := signal.NotifyContext(context.Background(), ending...)
	root := current.root()
	err := root.Parse(arguments)
	if err == nil {
		err = root.Run(ctx)
	}
	return current.finish(err)
}

// runsHost reports whether the arguments ask for a command that goes on after its
// terminal is closed.
func runsHost(arguments []string) bool {
	return len(arguments) > 0 && arguments[0] == "serve" ||
		len(arguments) > 0 && arguments[0] == "platform" && !slices.Contains(arguments, "shards")
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
		Exec: s.requireSubcommand("mustardreach -h"),
	}
}

// requireSubcommand returns the action of a command group: an error, because a
// subcommand is missing or unknown.
func (s *session) requireSubcommand(help string) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return usageError("unknown command %q; try '%s'", args[0], help)
		}
		return usageError("a command is missing; try '%s'", help)
	}
}

// flags returns an empty flag set that reports errors instead of exiting.
func (s *session) flags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(s.err)
	return flags
}

// finish prints the error, if any, and returns the exit status.
func (s *session) finish(err error) int {
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitSuccess
	case errors.Is(err, errUsage):
		_, _ = fmt.Fprintln(s.err, "mustardreach:", err)
		return exitUsage
	case errors.Is(err, errRefused):
		_, _ = fmt.Fprintln(s.err, "mustardreach:", err)
		return exitFailure
	}
	_, _ = fmt.Fprintln(s.err, "mustardreach:", err)
	return exitUsage
}
