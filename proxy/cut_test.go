package proxy

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// TestCutCauses guards against responses that end early and whose lines and counters name
// another cause.
func TestCutCauses(t *testing.T) {
	t.Parallel()
	began := time.Unix(100, 0)
	stop := &route.Stop{Began: began, Grace: 6 * time.Second}
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	late, cancelLate := context.WithTimeout(t.Context(), 0)
	defer cancelLate()
	abandoned, abandon := context.WithCancelCause(t.Context())
	abandon(errStopEnds)
	contexts := map[string]context.Context{"open": t.Context(), "gone": gone, "late": late, "abandoned": abandoned}
	write := fmt.Errorf("%w: broken pipe", errCallerWrite)
	source := errors.New("unexpected end")
	for _, c := range []struct {
		// context is a key of contexts.
		context string
		stop    *route.Stop
		now     time.Time
		err     error
		want    cutCause
	}{
		{"open", nil, began, fmt.Errorf("%w: %w", errCallerWrite, errLinkBusy), cutLink},
		{"abandoned", stop, began, write, cutStop},
		{"gone", stop, began.Add(5600 * time.Millisecond), write, cutStop},
		{"gone", stop, began.Add(time.Second), write, cutReceiver},
		{"late", nil, began, write, cutDeadline},
		{"late", nil, began, source, cutDeadline},
		{"gone", nil, began, source, cutReceiver},
		{"open", nil, began, write, cutReceiver},
		{"open", nil, began, source, cutSource},
	} {
		if got := cutCauseOf(contexts[c.context], c.now, c.stop, c.err); got != c.want {
			t.Errorf("context %s, error %v: %s, want %s", c.context, c.err, got, c.want)
		}
	}
}
