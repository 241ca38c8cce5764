package instance

import (
	"cmp"
	"os"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/hornbeamwell/hornbeamwell/connection"
	"github.com/hornbeamwell/hornbeamwell/ledger"
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

// The fractions of the soft memory limit that the stores of a process may take. The rest is
// for the present state and for garbage.
const (
	// defaultClientFraction is that of what clients can make the process hold, where the
	// settings state no other bound.
	defaultClientFraction = 0.4
	// logFraction is that of the ledger entries that are in no snapshot yet.
	logFraction = 0.08
	// trailingFraction is that of the entries that are kept for lagging members.
	trailingFraction = 0.02
	// historyFraction is that of the past configurations from which a source can send
	// changes, and that of the past versions of the targets.
	historyFraction = 0.04
	// partFraction is that of the changes that a source keeps for several subscribers.
	partFraction = 0.02
)

const (
	// ownDescriptors is the number of descriptors that are left for files, listeners and the
	// runtime.
	ownDescriptors = 32
	// defaultDescriptors is assumed if the operating system does not tell its limit.
	defaultDescriptors = 1024
)

// softLimit returns the soft memory limit of a process with the settings.
func softLimit(s settings.Settings) int64 { return cmp.Or(s.MemoryBytes, defaultMemoryLimitBytes) }

// share returns a fraction of the soft memory limit.
func share(s settings.Settings, fraction float64) int { return int(fraction * float64(softLimit(s))) }

// ledgerLimits returns the limits of the ledger within the memory of the process.
func ledgerLimits(s settings.Settings) ledger.Limits {
	limits := ledger.DefaultLimits()
	limits.LogBytes = share(s, logFraction)
	limits.TrailingBytes = share(s, trailingFraction)
	return limits
}

// clientLimits returns the budget for clients.
func clientLimits(s settings.Settings) connection.Limits {
	return connection.Limits{
		MemoryBytes: cmp.Or(s.ClientMemoryBytes, int64(share(s, defaultClientFraction))),
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
