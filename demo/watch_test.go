package demo

import (
	"testing"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

// TestWatchComparesVersionsOfOneProcess checks that only a restart excuses an
// older version, and that it excuses no later one.
func TestWatchComparesVersionsOfOneProcess(t *testing.T) {
	const id, term = "control-zone-a", 2
	w := newWatch(nil)
	saw := func(term, version uint64) {
		w.look(term, []*schema.Proxy{{Id: id, InForce: version}})
	}
	expect := func(what string, want int) {
		t.Helper()
		if found, _ := w.returned(); len(found) != want {
			t.Fatalf("%s: found %q, want %d", what, found, want)
		}
	}
	saw(term, 9)
	w.restarts(id)
	saw(term, 0)
	saw(term, 11)
	expect("a new process without a configuration", 0)
	saw(term, 10)
	expect("the new process goes back", 1)
	saw(term, 0)
	expect("the new process loses its configuration", 2)
	saw(term+1, 12)
	saw(term+1, 0)
	expect("a process goes back under the next leader", 3)
}
