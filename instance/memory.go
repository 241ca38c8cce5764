package instance

import (
	"os"
	"runtime/debug"
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
