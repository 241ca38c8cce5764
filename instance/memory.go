package instance

import (
	"os"
	"runtime/debug"
)

const (
	// collectPercent lets the heap grow to five times what is live before a
	// collection. A proxy holds little and makes garbage with each call.
	collectPercent = 400
	// softMemoryBytes is the size from which collections come sooner where no
	// limit is given, so that a process stays within the 256 MB of a node.
	softMemoryBytes = 224 << 20
)

// TuneMemory sets when garbage is collected, unless the environment says so. A
// limit of 0 stands for the default.
func TuneMemory(limitBytes int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectPercent)
	}
	if os.Getenv("GOMEMLIMIT") != "" {
		return
	}
	if limitBytes == 0 {
		limitBytes = softMemoryBytes
	}
	debug.SetMemoryLimit(limitBytes)
}
