package catalog

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
)

// routesDocument returns a document with the number of routes, one to a line, of
// which the last has the timeout.
func routesDocument(routes, lastTimeoutMillis int) []byte {
	var document bytes.Buffer
	for i := range routes {
		timeout := 800
		if i == routes-1 {
			timeout = lastTimeoutMillis
		}
		fmt.Fprintf(&document, `{"name":"r-%06x","host":"h%d.example","prefix":"/p%x/","timeout_ms":%d}`+"\n", i*7919, i%50, i*104729, timeout)
	}
	return document.Bytes()
}

func TestDeltaRoundTrip(t *testing.T) {
	t.Parallel()
	var empty []byte
	for _, routes := range []int{0, 1, 7, 300, 1400, 20_000} {
		base, next := routesDocument(routes, 800), routesDocument(routes+3, 1200)
		for _, pair := range [][2][]byte{{empty, next}, {base, next}, {next, base}, {base, base}} {
			delta, err := encodeDelta(pair[0], pair[1])
			if err != nil {
				t.Fatal(err)
			}
			got, err := applyDelta(pair[0], delta)
			if err != nil || !bytes.Equal(got, pair[1]) {
				t.Errorf("%d routes: a delta of %d bytes gives %d bytes, want %d (%v)", routes, len(delta), len(got), len(pair[1]), err)
			}
		}
	}
}

// TestDeltaOfOneLineIsSmall changes one of 1,400 routes.
func TestDeltaOfOneLineIsSmall(t *testing.T) {
	t.Parallel()
	delta, err := encodeDelta(routesDocument(1400, 800), routesDocument(1400, 1200))
	if err != nil {
		t.Fatal(err)
	}
	const maxBytes = 256
	if len(delta) > maxBytes {
		t.Errorf("the delta has %d bytes, want at most %d", len(delta), maxBytes)
	}
}

// TestStormOfChangesNeedsLittleMemory encodes a quick series of changes, as a leader
// does. It guards against buffers that are sized for documents of megabytes: a
// control instance has 280 MB for everything.
func TestStormOfChangesNeedsLittleMemory(t *testing.T) {
	const (
		changes = 20
		// maxBytesPerChange lets 20 changes allocate a tenth of the memory.
		maxBytesPerChange = 280 << 20 / 10 / changes
	)
	base, next := routesDocument(40, 800), routesDocument(40, 1200)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range changes {
		if _, err := encodeDelta(base, next); err != nil {
			t.Fatal(err)
		}
	}
	runtime.ReadMemStats(&after)
	if got := (after.TotalAlloc - before.TotalAlloc) / changes; got > maxBytesPerChange {
		t.Errorf("a change allocates %d KB, want at most %d KB", got>>10, maxBytesPerChange>>10)
	} else {
		t.Logf("a change allocates %d KB", got>>10)
	}
}
