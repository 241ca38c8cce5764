package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
)

// Free addresses lie below the ports that the kernel gives to outgoing
// connections, so that none of those takes one before its listener opens.
const (
	lowestPort  = 20_000
	highestPort = 30_000
)

var loopback = netip.MustParseAddr("127.0.0.1")

// FreeAddresses returns loopback addresses at which nothing listens.
func FreeAddresses(ctx context.Context, count int) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, count)
	first := lowestPort + rand.IntN(highestPort-lowestPort)
	for i := range highestPort - lowestPort {
		if len(addresses) == count {
			return addresses, nil
		}
		port := lowestPort + (first-lowestPort+i)%(highestPort-lowestPort)
		address := netip.AddrPortFrom(loopback, uint16(port))
		if isFree(ctx, address) {
			addresses = append(addresses, address)
		}
	}
	return nil, fmt.Errorf("%d of %d loopback ports are free between %d and %d", len(addresses), count, lowestPort, highestPort)
}

func isFree(ctx context.Context, address netip.AddrPort) bool {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
