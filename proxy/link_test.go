package proxy

import (
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell/route"
)

// TestLinkRefusesLongAnswersAlone offers calls to a proxy behind a busy link.
func TestLinkRefusesLongAnswersAlone(t *testing.T) {
	t.Parallel()
	const longBytes = 100_000
	now := time.Unix(1_800_000_000, 0)
	for _, test := range []struct {
		name      string
		bits      float64
		route     string
		objective time.Duration
		isRefused bool
	}{
		{"long on a busy link", 12e6, "packs", 500 * time.Millisecond, true},
		{"long with time enough", 12e6, "packs", 10 * time.Second, false},
		{"long, its objective past", 12e6, "packs", -time.Second, true},
		{"short on a busy link", 12e6, "look-up", 500 * time.Millisecond, false},
		{"short, its objective past", 12e6, "look-up", -time.Second, false},
		{"long without a bound", 0, "packs", 500 * time.Millisecond, false},
		{"long without a bound, its objective past", 0, "packs", -time.Second, false},
	} {
		p := New(Options{Instance: "p", Zone: "a", LinkBits: test.bits})
		p.link.LearnSize("packs", longBytes)
		p.link.LearnWork("packs", 100*time.Millisecond)
		p.link.LearnSize("look-up", 400)
		p.link.LearnWork("look-up", 10*time.Millisecond)
		for range 10 {
			p.link.Begin(now, longBytes)
		}
		call := &exitCall{waiter: route.Waiter{Objective: now.Add(test.objective), Deadline: now.Add(time.Minute)}}
		call.route = test.route
		refused := p.refuseForLink(now, call)
		if (refused != nil) != test.isRefused {
			t.Errorf("%s: refused is %v", test.name, refused)
		}
		if refused != nil && refused.retryAfter < 400*time.Millisecond {
			t.Errorf("%s: come back after %s, with a megabyte on its way", test.name, refused.retryAfter)
		}
	}
}
