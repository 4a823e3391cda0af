// Package settings reads the settings of one process from flags, environment
// variables and an INI file, in that order of precedence, by means of ff. Every
// value is checked before anything starts.
package settings

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/peterbourgon/ff/v3"

	"mustardreach.example/mustardreach/internal/process/inifile"
)

// EnvPrefix is the prefix of the names of environment variables.
const EnvPrefix = "MUSTARDREACH"

// Settings holds all settings of a process. Durations are above zero.
type Settings struct {
	// Host identifies this process in the fleet.
	Host Host
	// Listen holds the addresses that the process serves on.
	Listen Listen
	// Peers configures the connections between entry hosts.
	Peers Peers
	// Platform configures the client of the key-value service.
	Platform Platform
	// Rights configures the exclusive rights of hosts.
	Rights Rights
	// Requests bounds the requests of callers.
	Requests Requests
	// Jobs configures the dispatcher.
	Jobs Jobs
	// Stop configures graceful shutdown.
	Stop Stop
	// LogLevel is klog's verbosity, 0 to 9.
	LogLevel int

	file   inifile.File
	flags  *flag.FlagSet
	config *string
}

// Host identifies a process and its place in the fleet.
type Host struct {
	// ID is unique in the fleet.
	ID string
	// Zone is the availability zone; Region groups zones.
	Zone, Region string
	// Gate and Dispatch enable the two roles: serving callers and placing jobs
	// on workers.
	Gate, Dispatch bool
	// MemoryMB is the memory of the process, in MiB, and Descriptors how many
	// descriptors it may use. Callers get a part of each.
	MemoryMB, Descriptors int
}

// Listen holds the listen addresses for callers, operators and other entry
// hosts.
type Listen struct {
	Callers, Operators, Peers netip.AddrPort
}

// Peers configures connections between entry hosts.
type Peers struct {
	// Seeds are addresses of other entry hosts as reached from this host.
	Seeds []netip.AddrPort
	// Key is shared by the fleet, at least 16 bytes.
	Key string
	// PreviousKey is also accepted while keys are rotated. It may be empty.
	PreviousKey string
	// Heartbeat is the interval of heartbeats. Suspect is the time without one
	// after which a peer is suspected to have failed.
	Heartbeat, Suspect time.Duration
	// FrameBytes is the maximum size of one message.
	FrameBytes int
	// Discover makes this host dial hosts that other hosts report.
	Discover bool
}

// Platform configures the store client.
type Platform struct {
	Endpoints []netip.AddrPort
	// Timeout bounds one call.
	Timeout time.Duration
	// Poll is the interval of the single read that fetches everything needed.
	Poll time.Duration
	// CallsPerSecond is this host's share of the platform's call rate.
	CallsPerSecond float64
	// WritesPerSecond is this host's share of the platform's write rate.
	WritesPerSecond float64
}

// Rights configures the exclusive rights of hosts and the permit to start
// tasks.
type Rights struct {
	// Term is how long a right is held without renewal; at least three polls.
	Term time.Duration
	// Margin is the extra time that a host waits after the term before it
	// acquires a right.
	Margin time.Duration
	// Isolation is how long a newly started host waits for unresponsive
	// candidates.
	Isolation time.Duration
	// Permit is the maximum age, when a task starts, of the confirmation that
	// the release in force is the current one.
	Permit time.Duration
}

// Requests configures the gate, which serves callers.
type Requests struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int
	// Queue is the maximum number of queued requests per service.
	Queue int
	// Timeout is the default and the maximum deadline of a request.
	Timeout time.Duration
	// CreditTerm is how long a lent slot is valid without renewal.
	CreditTerm time.Duration
	// FleetHosts is the maximum number of entry hosts that can exist at once.
	FleetHosts int
}

// Jobs configures the dispatcher.
type Jobs struct {
	// Tick is the interval of placement. Heartbeat is the interval at which
	// worker leases are renewed.
	Tick, Heartbeat time.Duration
	// Lease is the term of a task's lease; at least three heartbeats.
	Lease time.Duration
}

// Stop configures graceful shutdown.
type Stop struct {
	// Settle is the wait after readiness fails, so that the load balancer stops
	// sending requests.
	Settle time.Duration
	// Drain is the maximum wait for requests in progress.
	Drain time.Duration
}

// Register defines a flag for every setting. The caller must pass Options to ff
// and call Check after parsing.
func Register(flags *flag.FlagSet) *Settings {
	settings := &Settings{
		flags: flags,
	}
	settings.register(flags)
	settings.config = flags.String("config", "", "settings file, in INI format")
	return settings
}

// Options returns the ff options for environment variables and the file.
func (s *Settings) Options() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(func(text io.Reader, set func(name, value string) error) error {
			return s.parseFile(*s.config, text, set)
		}),
	}
}

// Load reads and checks a settings file. Environment variables override it.
func Load(name string) (*Settings, error) {
	flags := flag.NewFlagSet("settings", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	settings := Register(flags)
	if err := ff.Parse(flags, []string{"-config", name}, settings.Options()...); err != nil {
		return nil, err
	}
	return settings, settings.Check()
}

// IsFile reports whether the text is a settings file, by its sections, rather
// than a release note.
func IsFile(text []byte) bool {
	file, err := inifile.Parse("", text)
	if err != nil {
		return false
	}
	for _, section := range file.Sections {
		if section.Name == "host" || section.Name == "listen" {
			return true
		}
	}
	return false
}

// parseFile passes every entry of the file to set. Errors name file, line and
// key.
func (s *Settings) parseFile(name string, text io.Reader, set func(name, value string) error) error {
	body, err := io.ReadAll(text)
	if err != nil {
		return err
	}
	file, err := inifile.Parse(name, body)
	if err != nil {
		return err
	}
	s.file = file
	for _, entry := range file.Entries {
		key := entry.Section + "." + entry.Key
		if s.flags.Lookup(key) == nil {
			return file.Errorf(entry.Line, key, "unknown key; 'mustardreach serve -h' lists the known ones")
		}
		if err := set(key, entry.Value); err != nil {
			return file.Errorf(entry.Line, key, "%v", rootCause(err))
		}
	}
	return nil
}

// rootCause returns the innermost error, without the context that ff and flag
// add.
func rootCause(err error) error {
	for {
		inner, ok := err.(interface{ Unwrap() error })
		if !ok || inner.Unwrap() == nil {
			return err
		}
		err = inner.Unwrap()
	}
}

// keyError returns an error about a setting. It names the line of the file that
// has the key, or line 0 if the file does not have it.
func (s *Settings) keyError(key, format string, args ...any) error {
	for _, entry := range s.file.Entries {
		if entry.Section+"."+entry.Key == key {
			return s.file.Errorf(entry.Line, key, format, args...)
		}
	}
	name := s.file.Name
	if name == "" {
		name = "flags"
	}
	return fmt.Errorf("%s:0: %s: %s", name, key, fmt.Sprintf(format, args...))
}

// Check reports the first setting that is missing, too short, or inconsistent
// with another. The error names file, line and key.
func (s *Settings) Check() error {
	const (
		minIntervalsPerTerm     = 3
		minKeyBytes             = 16
		minHeartbeatsPerSuspect = 2
	)
	switch {
	case s.Host.ID == "":
		return s.keyError("host.id", "is required")
	case s.Host.Zone == "":
		return s.keyError("host.zone", "is required")
	case !s.Listen.Peers.IsValid():
		return s.keyError("listen.peers", "is required")
	case !s.Listen.Operators.IsValid():
		return s.keyError("listen.operators", "is required")
	case s.Host.Gate && !s.Listen.Callers.IsValid():
		return s.keyError("listen.callers", "is required while host.gate is true")
	case len(s.Platform.Endpoints) == 0:
		return s.keyError("platform.endpoints", "at least one address is required")
	case len(s.Peers.Key) < minKeyBytes:
		return s.keyError("peers.key", "needs at least %d bytes", minKeyBytes)
	case s.Rights.Term < minIntervalsPerTerm*s.Platform.Poll:
		return s.keyError("rights.term", "must be at least %d times platform.poll (%v)", minIntervalsPerTerm, s.Platform.Poll)
	case s.Jobs.Lease < minIntervalsPerTerm*s.Jobs.Heartbeat:
		return s.keyError("jobs.lease", "must be at least %d times jobs.heartbeat (%v)", minIntervalsPerTerm, s.Jobs.Heartbeat)
	case s.Peers.Suspect < minHeartbeatsPerSuspect*s.Peers.Heartbeat:
		return s.keyError("peers.suspect", "must be at least %d times peers.heartbeat (%v)", minHeartbeatsPerSuspect, s.Peers.Heartbeat)
	case s.Rights.Isolation < s.Rights.Term:
		return s.keyError("rights.isolation", "must be at least rights.term (%v)", s.Rights.Term)
	}
	return nil
}
