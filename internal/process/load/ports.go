package load

import (
	"context"
	"fmt"
	"net"
)

// sitePorts are the ports of a site above its base: stand-ins, callers,
// operators, peers and relays. A base is free if none of them is taken.
func sitePorts() []int {
	ports := []int{7000, 7001}
	const mostHosts = 64
	for host := 1; host <= mostHosts; host++ {
		ports = append(ports, 8100+host, 8200+host, 8300+host)
	}
	const mostZones = 7
	for zone := 1; zone <= mostZones; zone++ {
		ports = append(ports, 9000+zone*100)
	}
	return ports
}

// TakenPort returns a port of the base that somebody listens on, or zero.
func TakenPort(ctx context.Context, base int) int {
	for _, port := range sitePorts() {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", fmt.Sprintf("127.0.0.1:%d", base+port))
		if err != nil {
			return base + port
		}
		_ = listener.Close()
	}
	return 0
}
