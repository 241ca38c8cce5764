package route

import (
	"testing"
	"time"
)

// TestResponseThatWouldMissItsEndGoesFirst guards against a response that misses its end
// although it could be sent before others that have time, and against others that begin
// late or miss their own ends for it.
func TestResponseThatWouldMissItsEndGoesFirst(t *testing.T) {
	t.Parallel()
	const bytes = 100_000
	now := time.Unix(1_800_000_000, 0)
	newLink := func() *Link { return NewLink(8 * bytes / usableLinkFraction) } // A response takes a second.
	in := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	starts := func(link *Link, ends []float64) []Reservation {
		all := make([]Reservation, 0, len(ends))
		for _, end := range ends {
			at := time.Time{}
			if end > 0 {
				at = in(end)
			}
			all = append(all, link.ReserveBy(now, bytes, at))
		}
		return all
	}
	for _, test := range []struct {
		name string
		ends []float64
		want []float64
	}{
		{"in their order", []float64{0, 9, 9}, []float64{0, 1, 2}},
		{"before those that have not begun", []float64{0, 0, 9, 2.5}, []float64{0, 2, 3, 1}},
		{"not before one that ends earlier", []float64{0, 2, 9, 3.5}, []float64{0, 1, 3, 2}},
		{"not if another would miss its end", []float64{0, 2.5, 2.2}, []float64{0, 1, 2}},
		{"not if that is too late too", []float64{0, 9, 1.5}, []float64{0, 1, 2}},
		{"not before one that has moved", []float64{0, 0, 2.1, 2}, []float64{0, 2, 1, 3}},
		{"before one that is too late", []float64{0, 1.5, 2}, []float64{0, 2, 1}},
	} {
		for i, r := range starts(newLink(), test.ends) {
			if got, want := r.SendTime(0), in(test.want[i]); got != want {
				t.Errorf("%s: response %d starts after %s, want %s", test.name, i, got.Sub(now), want.Sub(now))
			}
		}
	}
	link := newLink()
	all := starts(link, []float64{0, 0, 0})
	all[2].SetEnd(in(0.5), in(2.5))
	if got := all[2].SendTime(0); got != in(1) {
		t.Errorf("a response with a new end starts after %s, want 1s", got.Sub(now))
	}
	all[1].Release(0)
	if got := link.Reserve(now, bytes).SendTime(0); got != in(2) {
		t.Errorf("behind an aborted response the next one starts after %s, want 2s", got.Sub(now))
	}
}
