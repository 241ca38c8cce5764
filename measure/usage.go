package measure

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// usage is the resource usage of this process since its start.
type usage struct {
	at time.Time
	// cpu is the processor time in user and kernel mode.
	cpu time.Duration
	// received is the number of bytes received on connections between processes
	// of the system. Both ends are in this process, so each byte counts once.
	received uint64
}

func currentUsage() (usage, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return usage{}, fmt.Errorf("read the processor time: %w", err)
	}
	return usage{
		at:       time.Now(),
		cpu:      time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		received: counterValue("hornbeamwell_wire_received_bytes_total"),
	}, nil
}

// liveHeap returns the size of the heap after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// counterValue returns the value of a counter of this process, 0 if there is
// none.
func counterValue(name string) uint64 {
	var out bytes.Buffer
	metrics.WritePrometheus(&out, false)
	for line := range strings.Lines(out.String()) {
		value, found := strings.CutPrefix(line, name+" ")
		if !found {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 64)
		if err == nil {
			return n
		}
	}
	return 0
}
