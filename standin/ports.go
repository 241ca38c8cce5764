package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"golang.org/x/sys/unix"
)

// Free ports lie below the range that the kernel assigns to outgoing
// connections, so that no such connection takes a port before its listener
// opens.
const (
	lowestPort  = 20_000
	highestPort = 30_000
	portCount   = highestPort - lowestPort
)

var loopback = netip.MustParseAddr("127.0.0.1")

// portReservations reserves ports for this process by locking one byte of a file
// for each of them. The kernel releases the locks when the process ends, however
// it ends.
type portReservations struct {
	mu   sync.Mutex
	file *os.File
	// tried counts the ports that this process has tried, so that no port is
	// tried again before all others.
	tried uint64
}

// ports holds the reservations of this process. Separate locks of one process on
// the same file would not exclude each other's ports.
var ports portReservations

// FreeAddresses returns loopback addresses on which nothing listens. Until this
// process ends, no other process of the same user gets them from this function.
// Until this process has tried all portCount ports, it returns no address twice.
func FreeAddresses(ctx context.Context, count int) ([]netip.AddrPort, error) {
	return ports.freeAddresses(ctx, count)
}

func (r *portReservations) freeAddresses(ctx context.Context, count int) ([]netip.AddrPort, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.open(); err != nil {
		return nil, err
	}
	addresses := make([]netip.AddrPort, 0, count)
	for range portCount {
		if len(addresses) == count {
			return addresses, nil
		}
		offset := r.tried % portCount
		r.tried++
		isReserved, err := r.reserve(int64(offset))
		if err != nil {
			return nil, err
		}
		address := netip.AddrPortFrom(loopback, uint16(lowestPort+offset))
		if isReserved && isFree(ctx, address) {
			addresses = append(addresses, address)
		}
	}
	return nil, fmt.Errorf("found %d of %d free loopback ports between %d and %d", len(addresses), count, lowestPort, highestPort)
}

// open opens the lock file and draws the first port to try, so that processes
// seldom try the same ones.
func (r *portReservations) open() error {
	if r.file != nil {
		return nil
	}
	name := filepath.Join(os.TempDir(), "hornbeamwell-ports-"+strconv.Itoa(os.Getuid())+".lock")
	file, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return fmt.Errorf("open the file of reserved ports: %w", err)
	}
	r.file = file
	r.tried = rand.Uint64N(portCount)
	return nil
}

// reserve locks the byte at the offset. It reports false if another process holds
// the lock.
func (r *portReservations) reserve(offset int64) (bool, error) {
	lock := unix.Flock_t{Type: unix.F_WRLCK, Whence: unix.SEEK_SET, Start: offset, Len: 1}
	err := unix.FcntlFlock(r.file.Fd(), unix.F_OFD_SETLK, &lock)
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EACCES) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("reserve port %d: %w", lowestPort+offset, err)
	}
	return true, nil
}

func isFree(ctx context.Context, address netip.AddrPort) bool {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
