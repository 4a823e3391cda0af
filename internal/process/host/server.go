package host

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"k8s.io/klog/v2"
)

const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 32 << 10
)

// server serves HTTP on one address.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

func newServer(name string, address netip.AddrPort, handler http.Handler) (*server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen.%s: %w", name, err)
	}
	return &server{
		name:     name,
		listener: listener,
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       readTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}, nil
}

func (s *server) run() {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "listener ended", "listener", s.name)
	}
}

// drain refuses new connections and waits for requests in progress.
func (s *server) drain(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return s.http.Shutdown(ctx)
}
