package catalog

import (
	"strings"
	"testing"
)

// TestOddEntriesAreErrors reads stored entries and snapshots that are deeply nested, damaged
// or hold numbers that are too large. A process reads them at each start, so that none may
// end it.
func TestOddEntriesAreErrors(t *testing.T) {
	nested := strings.Repeat(`{"services":[`, 50_000)
	for name, odd := range map[string]string{
		"nested":   nested,
		"closed":   nested + strings.Repeat("]}", 50_000),
		"refusal":  `{"refusal":` + strings.Repeat("[", 100_000),
		"outcome":  `{"answers":[{"request_id":1e400}]}`,
		"number":   `{"at_ns":1e400,"configuration":{"version":18446744073709551616}}`,
		"list":     `[]`,
		"trailing": `{}{}`,
		"bytes":    "\x00\xff",
		"empty":    "",
	} {
		if command, err := DecodeCommand([]byte(odd)); err == nil && name != "outcome" {
			t.Errorf("%s: read as the command %+v", name, command)
		}
		c := New(nil)
		if err := c.Restore(7, []byte(odd)); err == nil && name != "refusal" {
			t.Errorf("%s: restored", name)
		}
		if c.Configuration().Version != 0 {
			t.Errorf("%s: the configuration has changed", name)
		}
	}
	c := New(nil)
	if err := c.Restore(7, []byte(`{"configuration":{"version":18446744073709551615}}`)); err == nil {
		t.Error("a version above the index is restored")
	}
	for _, null := range []string{`null`, `{"configuration":null,"ended":null,"answers":null}`} {
		if err := c.Restore(7, []byte(null)); err != nil {
			t.Error(err)
		}
	}
}

// FuzzEntries reads any bytes as a stored entry and as a snapshot.
func FuzzEntries(f *testing.F) {
	for _, seed := range []string{`{"kind":"refuse","refusal":null}`, `{"kind":"change","services":[null]}`, `{"answers":[null]}`, `{"kind":"replace","document_delta":"AA=="}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = DecodeCommand(data)
		_ = New(nil).Restore(7, data)
	})
}
