package hornbeamwell

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// FatalInvariants makes a violated invariant panic. Tests set it.
var FatalInvariants atomic.Bool

// Violated records that an invariant does not hold. The name is a constant in
// snake case; the details say what was seen.
func Violated(name, format string, args ...any) {
	metrics.GetOrCreateCounter(fmt.Sprintf("hornbeamwell_invariant_violations_total{name=%q}", name)).Inc()
	if FatalInvariants.Load() {
		panic("invariant " + name + " violated: " + fmt.Sprintf(format, args...))
	}
}
