package load

import (
	"context"
	"fmt"
	"net"
)

// sitePorts returns the ports of a site as offsets from its base: stand-ins,
// callers, operators, peers and relays. A base is free if none of them is in
// use.
func sitePorts() []int {
	ports := []int{7000, 7001}
	const maxHosts = 64
	for host := 1; host <= maxHosts; host++ {
		ports = append(ports, 8100+host, 8200+host, 8300+host)
	}
	const maxZones = 7
	for zone := 1; zone <= maxZones; zone++ {
		ports = append(ports, 9000+zone*100)
	}
	return ports
}

// PortInUse returns a port of the site at this base that is in use, or 0 if all
// are free.
func PortInUse(ctx context.Context, base int) int {
	for _, port := range sitePorts() {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", fmt.Sprintf("127.0.0.1:%d", base+port))
		if err != nil {
			return base + port
		}
		_ = listener.Close()
	}
	return 0
}
