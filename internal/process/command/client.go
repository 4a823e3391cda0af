package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"mustardreach.example/mustardreach/internal/process/settings"
	"mustardreach.example/mustardreach/internal/request/gate"
)

// errRefused means that the host refused the call or that the call failed.
var errRefused = errors.New("refused")

// refusedError wraps errRefused, so that the exit status is exitFailure.
func refusedError(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{errRefused}, args...)...)
}

// callTimeout bounds one call to a host.
const callTimeout = 15 * time.Second

// target is the host that a command contacts, from its flags.
type target struct {
	config             string
	callers, operators string
	json               bool
}

func (t *target) register(flags *flag.FlagSet) {
	flags.StringVar(&t.config, "config", "", "settings file with the host's addresses")
	flags.StringVar(&t.callers, "callers", "", "callers' address of the host, IP:PORT")
	flags.StringVar(&t.operators, "operators", "", "operators' address of the host, IP:PORT")
	flags.BoolVar(&t.json, "json", false, "print JSON")
}

// callersAddress returns the address that serves jobs and ledgers.
func (t *target) callersAddress() (netip.AddrPort, error) {
	return t.address("callers", t.callers, func(s *settings.Settings) netip.AddrPort { return s.Listen.Callers })
}

// operatorsAddress returns the address that serves releases, reports and
// status.
func (t *target) operatorsAddress() (netip.AddrPort, error) {
	return t.address("operators", t.operators, func(s *settings.Settings) netip.AddrPort { return s.Listen.Operators })
}

// address returns the address given by the flag, or else that of the settings
// file.
func (t *target) address(name, given string, from func(*settings.Settings) netip.AddrPort) (netip.AddrPort, error) {
	if given != "" {
		address, err := netip.ParseAddrPort(given)
		if err != nil {
			return address, usageError("-%s: %q is not an address of the form IP:PORT", name, given)
		}
		return address, nil
	}
	if t.config == "" {
		return netip.AddrPort{}, usageError("no host given: use -config FILE.ini or -%s IP:PORT", name)
	}
	loaded, err := settings.Load(t.config)
	if err != nil {
		return netip.AddrPort{}, usageError("%w", err)
	}
	return from(loaded), nil
}

// call is one HTTP call to a host.
type call struct {
	method  string
	address netip.AddrPort
	path    string
	header  http.Header
	body    []byte
}

// do returns the body of a successful response, or an error with the reason
// that the host gave.
func (c call) do(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.address.String()+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, usageError("%w", err)
	}
	for name, values := range c.header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, refusedError("%s does not answer: %w; is the host running?", c.address, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, refusedError("response from %s was interrupted: %w", c.address, err)
	}
	if response.StatusCode < http.StatusBadRequest {
		return body, nil
	}
	var problem gate.Problem
	if json.Unmarshal(body, &problem) != nil || problem.Detail == "" {
		return nil, refusedError("%s answered with status %s: %s", c.address, response.Status, body)
	}
	return nil, refusedError("%s (outcome: %s)", problem.Detail, problem.Outcome)
}

// readFile reads the one file named on the command line and returns its name
// and text.
func readFile(args []string, what string) (string, []byte, error) {
	if len(args) != 1 {
		return "", nil, usageError("expected exactly one %s file", what)
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return "", nil, usageError("%w", err)
	}
	return args[0], text, nil
}
