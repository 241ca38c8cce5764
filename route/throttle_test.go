package route

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// playThrottle makes 100 calls a second against targets that accept a number of
// attempts a second, with up to four attempts for each call, and returns the calls that
// were served and the attempts that were sent.
func playThrottle(throttle *Throttle, from time.Time, length time.Duration, room float64) (served, sent int, now time.Time) {
	const perSecond = 100
	random := rand.New(rand.NewPCG(1, 0))
	tokens := 0.0
	for now = from; now.Before(from.Add(length)); now = now.Add(time.Second / perSecond) {
		tokens = min(tokens+room/perSecond, 2)
		for range 4 {
			if throttle != nil && !throttle.Admits(throttle.Share(now), random) {
				break
			}
			sent++
			// A target that is picked at random has room with the share of free room.
			if tokens >= 1 {
				tokens--
				served++
				if throttle != nil {
					throttle.RecordAccepted(now)
				}
				break
			}
			if throttle != nil {
				throttle.RecordRefused(now, 300*time.Millisecond)
			}
		}
	}
	return served, sent, now
}

// TestThrottleAtLastingShortage guards against proxies that send four attempts for each
// call while targets refuse nine in ten, and against a throttle that leaves room unused.
func TestThrottleAtLastingShortage(t *testing.T) {
	Convey("Given targets with room for a tenth of the calls", t, func() {
		start := time.Unix(1000, 0)
		plain, plainSent, _ := playThrottle(nil, start, 20*time.Second, 10)
		throttle := &Throttle{}
		served, sent, _ := playThrottle(throttle, start, 20*time.Second, 10)
		Convey("as many calls are served with less than a third of the attempts", func() {
			So(float64(served), ShouldBeGreaterThanOrEqualTo, 0.97*float64(plain))
			So(sent, ShouldBeLessThan, plainSent/3)
			So(throttle.RetryAfter(), ShouldBeBetween, 290*time.Millisecond, 301*time.Millisecond)
		})
	})
}

// TestThrottleEndsWithShortage guards against a throttle that outlasts the shortage.
func TestThrottleEndsWithShortage(t *testing.T) {
	Convey("Given targets whose room returns after a shortage", t, func() {
		throttle := &Throttle{}
		_, _, now := playThrottle(throttle, time.Unix(1000, 0), 10*time.Second, 5)
		So(throttle.Share(now), ShouldBeGreaterThan, 0.5)
		_, _, now = playThrottle(throttle, now, 2*time.Second, 200)
		Convey("no attempt is throttled two seconds later", func() {
			So(throttle.Share(now), ShouldEqual, 0)
		})
	})
}

// TestThrottleIgnoresHalfRefused guards against throttling where a second attempt usually
// succeeds, and after few calls.
func TestThrottleIgnoresHalfRefused(t *testing.T) {
	Convey("Given targets that refuse half of the attempts", t, func() {
		throttle, now := &Throttle{}, time.Unix(1000, 0)
		for range 500 {
			now = now.Add(10 * time.Millisecond)
			throttle.RecordAccepted(now)
			throttle.RecordRefused(now, time.Second)
		}
		So(throttle.Share(now), ShouldEqual, 0)
	})
	Convey("Given a caller's few calls that are all refused", t, func() {
		throttle, now := &Throttle{}, time.Unix(1000, 0)
		for range 5 {
			throttle.RecordRefused(now, time.Second)
		}
		So(throttle.Share(now), ShouldEqual, 0)
	})
}
