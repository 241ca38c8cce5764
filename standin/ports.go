package standin

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// Free ports lie below the range that the kernel assigns to outgoing
// connections, so that no such connection takes a port before its listener
// opens.
const (
	lowestPort  = 20_000
	highestPort = 30_000
	portCount   = highestPort - lowestPort
	// portsPerProcess separates the ports of processes with successive ids.
	portsPerProcess = 131
)

var loopback = netip.MustParseAddr("127.0.0.1")

// portsTried counts the ports that this process has tried, so that no port is
// tried again before all others.
var portsTried atomic.Uint64

// FreeAddresses returns loopback addresses on which nothing listens. Until this
// process has tried all portCount ports, it returns no address twice.
func FreeAddresses(ctx context.Context, count int) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, count)
	for range portCount {
		if len(addresses) == count {
			return addresses, nil
		}
		address := netip.AddrPortFrom(loopback, nextPort())
		if isFree(ctx, address) {
			addresses = append(addresses, address)
		}
	}
	return nil, fmt.Errorf("found %d of %d free loopback ports between %d and %d", len(addresses), count, lowestPort, highestPort)
}

func nextPort() uint16 {
	offset := uint64(os.Getpid())*portsPerProcess + portsTried.Add(1)
	return uint16(lowestPort + offset%portCount)
}

func isFree(ctx context.Context, address netip.AddrPort) bool {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
