package demo

import (
	"testing"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

// TestVersionWatcherComparesVersionsOfOneProcess checks that an older version is
// accepted only right after a restart, not later in the same process.
func TestVersionWatcherComparesVersionsOfOneProcess(t *testing.T) {
	const id, term = "control-zone-a", 2
	w := newVersionWatcher(nil)
	record := func(term, version uint64) {
		w.record(term, []*schema.Proxy{{Id: id, InForce: version}})
	}
	expect := func(what string, want int) {
		t.Helper()
		if found, _ := w.summary(); len(found) != want {
			t.Fatalf("%s: regressions %q, want %d", what, found, want)
		}
	}
	record(term, 9)
	w.resetProxy(id)
	record(term, 0)
	record(term, 11)
	expect("restarted process without a configuration", 0)
	record(term, 10)
	expect("restarted process returns to an older version", 1)
	record(term, 0)
	expect("restarted process loses its configuration", 2)
	record(term+1, 12)
	record(term+1, 0)
	expect("process loses its configuration under the next leader", 3)
}
