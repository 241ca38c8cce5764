package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// BenchmarkRefusedCall measures a call of a team whose owner granted nothing, the frequent
// case of a hot team.
func BenchmarkRefusedCall(b *testing.B) {
	now := time.Unix(1000, 0)
	e := NewEntry("a-1", DefaultBounds(), rand.New(rand.NewPCG(1, 0)))
	ring := &Ring{}
	ring.SetMembers([]string{"a", "b"})
	e.Update(now, map[string]hornbeamwell.Quota{"team": quotaFor(100)}, ring, "a")
	e.Take(now, "team")
	for _, batch := range e.Next(now) {
		e.Receive(now, batch.Owner, Reply{Sequence: batch.Request.Sequence, Teams: []TeamReply{{Team: "team", IsOwner: true, Wait: time.Hour}}})
	}
	e.Resolve(now, "team")
	for b.Loop() {
		if e.Take(now, "team").Verdict != VerdictRefuse {
			b.Fatal("the call was not refused")
		}
	}
}

// BenchmarkServe measures a request for one team at an owner with 71 active entries.
func BenchmarkServe(b *testing.B) {
	now := time.Unix(1000, 0)
	o := NewOwner("self", DefaultBounds())
	o.Update(now, map[string]hornbeamwell.Quota{"team": quotaFor(400)})
	sequence := uint64(0)
	for b.Loop() {
		sequence++
		now = now.Add(time.Millisecond)
		entry := string(rune('A' + sequence%71))
		o.Serve(now, Request{Entry: entry, Sequence: sequence, Acknowledged: sequence - 71, Teams: []TeamRequest{{Team: "team", Want: 1}}})
	}
}
