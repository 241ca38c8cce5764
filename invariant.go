package hornbeamwell

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// PanicOnViolation makes a violated invariant panic. Tests set it.
var PanicOnViolation atomic.Bool

// ReportViolation records that an invariant does not hold. The name is a constant in
// snake case; the details say what was seen.
func ReportViolation(name, format string, args ...any) {
	metrics.GetOrCreateCounter(fmt.Sprintf("hornbeamwell_invariant_violations_total{name=%q}", name)).Inc()
	if PanicOnViolation.Load() {
		panic("invariant " + name + " violated: " + fmt.Sprintf(format, args...))
	}
}
