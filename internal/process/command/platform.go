package command

import (
	"context"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
	"k8s.io/klog/v2"
	"k8s.io/klog/v2/textlogger"

	"mustardreach.example/mustardreach/internal/process/logsink"
	"mustardreach.example/mustardreach/platform"
)

// leaderGCPercent lets the heap of a leader, some ten megabytes, grow to a few
// times its size. On a small host the processor time of more frequent garbage
// collections costs more than the memory.
const leaderGCPercent = 300

// platform runs an entry host on the users' platform until it receives a signal
// to stop.
func (s *session) platform() *ffcli.Command {
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "mustardreach platform [shards]",
		ShortHelp:  "run an entry host on the users' platform",
		LongHelp:   "The platform provides the settings in a file; docs/PLATFORM.md describes it.",
		FlagSet:    s.flags("platform"),
		Subcommands: []*ffcli.Command{
			s.shards(),
		},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("unexpected argument %q", args[0])
			}
			debug.SetGCPercent(leaderGCPercent)
			sink := logsink.New(s.err)
			logging, stop := context.WithCancel(context.WithoutCancel(ctx))
			defer stop()
			go sink.Run(logging)
			defer sink.Flush()
			klog.SetLogger(textlogger.NewLogger(textlogger.NewConfig(textlogger.Output(sink))))
			if err := platform.Serve(ctx, s.hangups); err != nil {
				return refusedError("%w", err)
			}
			return nil
		},
	}
}
