package standin

import (
	"net"
	"net/http"
)

// server serves HTTP on one listener until the process exits.
type server struct {
	Listener net.Listener
	HTTP     *http.Server
}

func (s *server) run() {
	_ = s.HTTP.Serve(s.Listener)
}
