package host

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/connection/budget"
	"mustardreach.example/mustardreach/internal/connection/listener"
)

// serverLimits bound what callers and operators may send with one request. That of
// a body is a setting.
var serverLimits = listener.Limits{
	HeaderBytes:   32 << 10,
	HeaderTimeout: 5 * time.Second,
	IdleTimeout:   time.Minute,
}

// server serves HTTP on one address.
type server struct {
	name     string
	http     *listener.Listener
	failures chan error
}

// newServer returns a server that listens already. Its refusals are counted under
// its name.
func newServer(name string, address netip.AddrPort, handler http.Handler, config budget.Config) (*server, error) {
	refusals := listener.NewRefusals(counts(name+"_refused"), time.Now)
	config.Clock = time.Now
	config.Evicted = func(phase budget.Phase) { refusals.Add("evicted_"+phase.String(), "listener", name) }
	s := &server{
		name:     name,
		failures: make(chan error, 1),
	}
	s.http = listener.New(listener.Config{
		Name:     name,
		Address:  address,
		Handler:  handler,
		Budget:   budget.New(config),
		Limits:   func() listener.Limits { return serverLimits },
		Refusals: refusals,
		Failures: s.failures,
	})
	return s, s.http.Listen()
}

func (s *server) run() {
	s.http.Run()
	select {
	case err := <-s.failures:
		klog.ErrorS(err, "listener ended", "listener", s.name)
	default:
	}
}

// drain refuses new connections and waits for requests in progress.
func (s *server) drain(limit time.Duration) error {
	return s.http.Drain(context.Background(), time.Now().Add(limit))
}
