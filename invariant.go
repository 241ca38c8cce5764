package hornbeamwell

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// PanicOnViolation makes ReportViolation panic. Tests set it.
var PanicOnViolation atomic.Bool

// ReportViolation counts a violated invariant. The name is a constant in snake
// case; format and args describe what was observed.
func ReportViolation(name, format string, args ...any) {
	metrics.GetOrCreateCounter(fmt.Sprintf("hornbeamwell_invariant_violations_total{name=%q}", name)).Inc()
	if PanicOnViolation.Load() {
		panic("invariant " + name + " violated: " + fmt.Sprintf(format, args...))
	}
}
