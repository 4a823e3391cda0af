package command

import (
	"context"
	"flag"
	"runtime/debug"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/host"
	"mustardreach.example/mustardreach/internal/process/settings"
)

// gcPercent is above Go's default of 100, at which garbage collection took a
// fifth of the processor time of an idle host with its small heap.
const gcPercent = 150

// serve runs an entry host until it receives a signal to stop.
func (s *session) serve() *ffcli.Command {
	flags := s.flags("serve")
	config := settings.Register(flags)
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "mustardreach serve -config FILE.ini [-SECTION.KEY VALUE ...]",
		ShortHelp:  "run an entry host",
		LongHelp: "Each flag is also a key of the file, [SECTION] KEY, and an environment variable,\n" +
			"MUSTARDREACH_SECTION_KEY. Flags override the environment, which overrides the file.\n" +
			"They hold for the life of the process: SIGHUP is ignored.",
		FlagSet: flags,
		Options: config.Options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("unexpected argument %q", args[0])
			}
			if err := config.Check(); err != nil {
				return usageError("%w", err)
			}
			setLogLevel(config.LogLevel)
			debug.SetGCPercent(gcPercent)
			entryHost, err := host.New(config)
			if err != nil {
				return refusedError("%w", err)
			}
			return entryHost.Run(ctx)
		},
	}
}

func setLogLevel(level int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", strconv.Itoa(level))
}
