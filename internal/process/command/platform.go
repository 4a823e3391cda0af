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

// leaderGarbagePercent lets the heap of a leader, some ten megabytes, grow to a
// few times its size: collections took more of a small host's share than the
// memory is worth.
const leaderGarbagePercent = 300

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
			debug.SetGCPercent(leaderGarbagePercent)
			sink := logsink.New(s.err)
			logging, stop := context.WithCancel(context.WithoutCancel(ctx))
			defer stop()
			go sink.Run(logging)
			defer sink.Flush()
			klog.SetLogger(textlogger.NewLogger(textlogger.NewConfig(textlogger.Output(sink))))
			if err := platform.Serve(ctx); err != nil {
				return refusedError("%w", err)
			}
			return nil
		},
	}
}
