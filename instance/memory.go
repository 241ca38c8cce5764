package instance

import (
	"cmp"
	"os"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/hornbeamwell/hornbeamwell/connection"
	"github.com/hornbeamwell/hornbeamwell/settings"
)

// defaultMemoryLimitBytes is the soft memory limit where none is configured. Near it
// the runtime collects more often, so that a process stays within the 256 MB of a
// node.
const defaultMemoryLimitBytes = 224 << 20

// LimitMemory sets the soft memory limit of the runtime. GOMEMLIMIT takes precedence.
// A limit of 0 selects the default.
func LimitMemory(limitBytes int64) {
	if os.Getenv("GOMEMLIMIT") != "" {
		return
	}
	if limitBytes == 0 {
		limitBytes = defaultMemoryLimitBytes
	}
	debug.SetMemoryLimit(limitBytes)
}

const (
	// defaultClientFraction is the fraction of the soft memory limit that clients can make
	// the process hold where the settings state no other bound. The rest is for the state of
	// the process and for garbage.
	defaultClientFraction = 0.4
	// ownDescriptors is the number of descriptors that are left for files, listeners and the
	// runtime.
	ownDescriptors = 32
	// defaultDescriptors is assumed if the operating system does not tell its limit.
	defaultDescriptors = 1024
)

// clientLimits returns the budget for clients.
func clientLimits(s settings.Settings) connection.Limits {
	soft := cmp.Or(s.MemoryBytes, defaultMemoryLimitBytes)
	return connection.Limits{
		MemoryBytes: cmp.Or(s.ClientMemoryBytes, int64(defaultClientFraction*float64(soft))),
		Connections: cmp.Or(s.Descriptors, processDescriptors()) - ownDescriptors,
	}
}

// processDescriptors returns the number of descriptors that the operating system lets the
// process open.
func processDescriptors() int {
	const most = 1 << 30
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur <= settings.MinDescriptors {
		return defaultDescriptors
	}
	return int(min(limit.Cur, most))
}
