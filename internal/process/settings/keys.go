package settings

import (
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// register defines a flag named section.key for every setting.
func (s *Settings) register(flags *flag.FlagSet) {
	s.registerHost(flags)
	s.registerPlatform(flags)
	s.registerWork(flags)
}

func (s *Settings) registerHost(flags *flag.FlagSet) {
	flags.Func("host.id", "unique name of this host", nameValue(&s.Host.ID))
	flags.Func("host.zone", "availability zone of this host", nameValue(&s.Host.Zone))
	flags.Func("host.region", "region of this host", nameValue(&s.Host.Region))
	flags.BoolVar(&s.Host.Gate, "host.gate", true, "serve callers")
	flags.BoolVar(&s.Host.Dispatch, "host.dispatch", true, "place jobs on workers")
	flags.Func("listen.callers", "address for callers, IP:PORT", addressValue(&s.Listen.Callers))
	flags.Func("listen.operators", "address for operators, IP:PORT", addressValue(&s.Listen.Operators))
	flags.Func("listen.peers", "address for other entry hosts, IP:PORT", addressValue(&s.Listen.Peers))
	flags.Func("peers.seeds", "addresses of other entry hosts, comma separated", addressList(&s.Peers.Seeds))
	flags.StringVar(&s.Peers.Key, "peers.key", "", "key shared by the fleet")
	flags.StringVar(&s.Peers.PreviousKey, "peers.previous_key", "", "key also accepted during rotation")
	flags.BoolVar(&s.Peers.Discover, "peers.discover", true, "dial hosts reported by other hosts")
	durationVar(flags, &s.Peers.Heartbeat, "peers.heartbeat", 500*time.Millisecond, "interval of heartbeats between entry hosts")
	durationVar(flags, &s.Peers.Suspect, "peers.suspect", 2*time.Second, "time without a heartbeat before a peer is suspected")
	integerVar(flags, &s.Peers.FrameBytes, "peers.frame_bytes", 1<<20, 1<<10, 16<<20, "maximum bytes of one message")
	integerVar(flags, &s.LogLevel, "log.level", 0, 0, 9, "verbosity")
}

func (s *Settings) registerPlatform(flags *flag.FlagSet) {
	flags.Func("platform.endpoints", "addresses of the store, comma separated", addressList(&s.Platform.Endpoints))
	durationVar(flags, &s.Platform.Timeout, "platform.timeout", 600*time.Millisecond, "deadline of one call")
	durationVar(flags, &s.Platform.Poll, "platform.poll", 500*time.Millisecond, "interval of the combined read")
	s.Platform.CallsPerSecond = 100
	flags.Func("platform.calls_per_second", "maximum calls a second from this host (default 100)", positiveNumber(&s.Platform.CallsPerSecond))
	s.Platform.WritesPerSecond = 25
	flags.Func("platform.writes_per_second", "maximum batched writes a second from this host (default 25)", positiveNumber(&s.Platform.WritesPerSecond))
	durationVar(flags, &s.Rights.Term, "rights.term", 2*time.Second, "how long a right is held without renewal")
	durationVar(flags, &s.Rights.Margin, "rights.margin", 300*time.Millisecond, "extra wait before acquiring an expired right")
	durationVar(flags, &s.Rights.Isolation, "rights.isolation", time.Minute, "wait of a newly started host for unresponsive candidates")
	durationVar(flags, &s.Rights.Permit, "rights.permit", 2*time.Second, "maximum age of the release's confirmation when a task starts")
}

func (s *Settings) registerWork(flags *flag.FlagSet) {
	integerVar(flags, &s.Host.MemoryMB, "host.memory_mb", 512, 64, 1<<20, "memory of the process in MiB, of which callers get a quarter")
	integerVar(flags, &s.Host.Descriptors, "host.descriptors", 4096, 64, 1<<20, "descriptors of the process, of which callers get a fifth")
	integerVar(flags, &s.Requests.BodyBytes, "requests.body_bytes", 1<<20, 1, 1<<30, "maximum bytes of a request body")
	integerVar(flags, &s.Requests.Queue, "requests.queue", 512, 1, 1<<20, "maximum queued requests per service")
	durationVar(flags, &s.Requests.Timeout, "requests.timeout", 2*time.Second, "default and maximum deadline of a request")
	durationVar(flags, &s.Requests.CreditTerm, "requests.credit_term", 1500*time.Millisecond, "how long a lent slot is valid without renewal")
	integerVar(flags, &s.Requests.FleetHosts, "requests.fleet_hosts", 9, 1, 1000, "maximum number of entry hosts at once")
	durationVar(flags, &s.Jobs.Tick, "jobs.tick", 100*time.Millisecond, "interval of placement")
	durationVar(flags, &s.Jobs.Heartbeat, "jobs.heartbeat", 500*time.Millisecond, "interval of worker heartbeats")
	durationVar(flags, &s.Jobs.Lease, "jobs.lease", 8*time.Second, "term of a task's lease")
	durationVar(flags, &s.Stop.Settle, "stop.settle", time.Second, "wait after readiness fails, before draining")
	durationVar(flags, &s.Stop.Drain, "stop.drain", 30*time.Second, "maximum wait for requests in progress")
}

var errNotPositive = errors.New("must be above zero")

// nameValue returns a flag parser for the name of a host, zone or region.
func nameValue(target *string) func(string) error {
	return func(text string) error {
		if text == "" || strings.ContainsAny(text, " /\t\"") {
			return fmt.Errorf("%q is not a name: it must not be empty or contain a space, tab, slash or quote", text)
		}
		*target = text
		return nil
	}
}

// addressValue returns a flag parser for an address, IP:PORT.
func addressValue(target *netip.AddrPort) func(string) error {
	return func(text string) error {
		parsed, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return fmt.Errorf("%q is not an address of the form IP:PORT", text)
		}
		*target = parsed
		return nil
	}
}

// addressList returns a flag parser for addresses separated by commas. Empty
// items are ignored.
func addressList(target *[]netip.AddrPort) func(string) error {
	return func(text string) error {
		*target = nil
		for part := range strings.SplitSeq(text, ",") {
			if strings.TrimSpace(part) == "" {
				continue
			}
			var parsed netip.AddrPort
			if err := addressValue(&parsed)(part); err != nil {
				return err
			}
			*target = append(*target, parsed)
		}
		return nil
	}
}

// positiveNumber returns a flag parser for a number above zero.
func positiveNumber(target *float64) func(string) error {
	return func(text string) error {
		parsed, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", text)
		}
		if !(parsed > 0) {
			return errNotPositive
		}
		*target = parsed
		return nil
	}
}

// durationVar defines a flag for a duration above zero.
func durationVar(flags *flag.FlagSet, target *time.Duration, name string, defaultValue time.Duration, usage string) {
	*target = defaultValue
	flags.Func(name, fmt.Sprintf("%s (default %v)", usage, defaultValue), func(text string) error {
		parsed, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 1.5s", text)
		}
		if parsed <= 0 {
			return errNotPositive
		}
		*target = parsed
		return nil
	})
}

// integerVar defines a flag for a whole number from minimum to maximum.
func integerVar(flags *flag.FlagSet, target *int, name string, defaultValue, minimum, maximum int, usage string) {
	*target = defaultValue
	flags.Func(name, fmt.Sprintf("%s (default %d)", usage, defaultValue), func(text string) error {
		parsed, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		if parsed < minimum || parsed > maximum {
			return fmt.Errorf("%d is not between %d and %d", parsed, minimum, maximum)
		}
		*target = parsed
		return nil
	})
}
