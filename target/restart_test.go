package target

import (
	"net/netip"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestSequenceGrowsAcrossProxyRestarts drains the target at a proxy, then starts
// the proxy again next to the same running target, whose incarnation does not
// change. Every announcement must be newer than the one before.
func TestSequenceGrowsAcrossProxyRestarts(t *testing.T) {
	now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	announcement := Announcement{
		Service: "credit", Version: "v1", Address: netip.MustParseAddrPort("127.0.0.1:9000"),
		Slots: 1, Connections: 1, Incarnation: 7,
	}
	var last hornbeamwell.Target
	start := func() *Announcer {
		return NewAnnouncer(AnnouncerOptions{
			ID: "p1", Zone: "a", Exit: netip.MustParseAddrPort("10.0.0.1:7401"),
			OnChange: func(changed hornbeamwell.Target, _ netip.AddrPort) {
				if last.ID != "" && !changed.IsNewer(&last) {
					t.Errorf("target %+v is not newer than the one before, %+v", changed, last)
				}
				last = changed
			},
			Now: func() time.Time { return now },
		})
	}
	for range 3 {
		announcer := start()
		if _, err := announcer.Announce(now, announcement); err != nil {
			t.Fatal(err)
		}
		now = now.Add(time.Second)
		if _, err := announcer.Drain(now); err != nil {
			t.Fatal(err)
		}
		now = now.Add(time.Second)
	}
}

// TestSequenceOfTimesGrows guards against sequences that are times in ns or µs, which
// overflow with the bits for changes, so that a later one looks older.
func TestSequenceOfTimesGrows(t *testing.T) {
	for _, unit := range []time.Duration{time.Nanosecond, time.Microsecond, time.Millisecond, time.Second} {
		now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
		var last uint64
		for range 50 {
			now = now.Add(4000 * time.Hour)
			announcer := NewAnnouncer(AnnouncerOptions{ID: "p1", Exit: netip.MustParseAddrPort("10.0.0.1:7401")})
			announced, err := announcer.Announce(now, Announcement{
				Service: "credit", Version: "v1", Address: netip.MustParseAddrPort("127.0.0.1:9000"),
				Slots: 1, Connections: 1, Incarnation: 7, Sequence: uint64(now.UnixNano() / int64(unit)),
			})
			if err != nil || announced.Sequence <= last || CheckTarget(announced) != nil {
				t.Fatalf("in %s: %d after %d, %v", unit, announced.Sequence, last, err)
			}
			last = announced.Sequence
		}
	}
}
