package instance

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to five times the live data before a
	// collection. A proxy has little live data and allocates on every call.
	gcPercent = 400
	// defaultMemoryLimitBytes is the soft memory limit where none is configured.
	// Near it the runtime collects more often, so that a process stays within
	// the 256 MB of a node.
	defaultMemoryLimitBytes = 224 << 20
)

// TuneMemory configures the garbage collector. GOGC and GOMEMLIMIT take
// precedence. A limit of 0 selects the default.
func TuneMemory(limitBytes int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") != "" {
		return
	}
	if limitBytes == 0 {
		limitBytes = defaultMemoryLimitBytes
	}
	debug.SetMemoryLimit(limitBytes)
}
