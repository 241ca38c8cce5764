package route

import (
	"slices"
	"sync"
	"time"
)

const (
	// LongResponse is the mean response size in bytes from which a route counts
	// as one with long responses. It equals maxBufferedResponse of package proxy,
	// above which a response is scheduled on the link. At 12 Mbit/s, the slowest
	// link in use, a shorter response delays others by about 20 ms at most.
	LongResponse = 32 << 10
	// usableLinkFraction is the fraction of the link rate that is scheduled. The
	// rest is for headers, requests and the messages of the system itself.
	usableLinkFraction = 0.9
	// objectiveFraction is the fraction of the time to a call's objective, or to
	// its deadline if it has no objective, within which a long response is
	// expected to be sent. The rest is for the path to the caller and for
	// responses longer than the mean.
	objectiveFraction = 0.8
	// lateDelayFactor is the link delay that is accepted even for a response
	// that misses its objective, as a multiple of its transmission time.
	lateDelayFactor = 2
	// responseWeight is the weight of one response in the means of its route.
	responseWeight = 0.1
	// maxLinkRoutes is the number of routes with recorded means from which
	// all means are discarded before another route is added. Configurations have
	// some hundreds of routes, so that the number is reached only if route names
	// change all the time.
	maxLinkRoutes = 10_000
)

// Link schedules the responses that leave this machine over its network link.
// Long responses are sent one after the other in the order in which they begin,
// at slightly less than the link rate, so that short ones do not wait behind
// them in the queues of the network. A response that would miss its end goes before
// those that have not begun and end later, unless one of them would miss its own end
// then. It is safe for concurrent use.
type Link struct {
	// bytesPerSecond is 0 for an unbounded link.
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is the time at which all scheduled responses have been sent.
	freeAt time.Time
	// expected is the sum of the mean response sizes, in bytes, of the calls
	// whose long response has not begun.
	expected float64
	// waiting holds the reservations that have not begun, in the order of their starts.
	waiting []*linkSlot
	// responses holds the means of each route.
	responses map[string]responseMean
}

// linkSlot is the place of a response on the link. The mutex of the link guards it.
type linkSlot struct {
	startAt time.Time
	bytes   int64
	// end is the time by which the response has to be sent, zero if there is none.
	end time.Time
}

// responseMean holds the means of the responses of a route.
type responseMean struct {
	bytes float64
	// latency is the time until a response begins, 0 if it is not known.
	latency time.Duration
}

// NewLink returns a Link with the given rate in bits per second, 0 for an
// unbounded link.
func NewLink(bitsPerSecond float64) *Link {
	return &Link{bytesPerSecond: usableLinkFraction * bitsPerSecond / 8, responses: make(map[string]responseMean)}
}

// IsBounded reports whether responses have to be scheduled.
func (l *Link) IsBounded() bool { return l.bytesPerSecond > 0 }

func (l *Link) duration(bytes float64) time.Duration {
	return time.Duration(bytes / l.bytesPerSecond * float64(time.Second))
}

// RecordShort accounts for a short response, which is sent immediately.
func (l *Link) RecordShort(now time.Time, bytes int) {
	if !l.IsBounded() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendBytes(now, int64(bytes))
}

// ReserveShort reserves link time for a response of unknown length that is probably short.
// It begins immediately, as short responses do.
func (l *Link) ReserveShort(now time.Time) Reservation {
	if !l.IsBounded() {
		return Reservation{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendBytes(now, LongResponse)
	return Reservation{link: l, slot: &linkSlot{startAt: now, bytes: LongResponse}}
}

// Reserve reserves link time for a long response behind those that have begun.
// The response is sent at the scheduled rate from the start of its reservation.
func (l *Link) Reserve(now time.Time, bytes int64) Reservation {
	return l.ReserveBy(now, bytes, time.Time{})
}

// ReserveBy reserves link time for a long response that has to be sent by the given end,
// zero if there is none.
func (l *Link) ReserveBy(now time.Time, bytes int64, end time.Time) Reservation {
	if !l.IsBounded() {
		return Reservation{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := &linkSlot{startAt: l.appendBytes(now, bytes), bytes: bytes, end: end}
	l.insert(slot)
	l.advance(now, slot)
	return Reservation{link: l, slot: slot}
}

// appendBytes reserves link time behind everything that is reserved, and returns its start.
func (l *Link) appendBytes(now time.Time, bytes int64) time.Time {
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	startAt := l.freeAt
	l.freeAt = startAt.Add(l.duration(float64(bytes)))
	return startAt
}

func (l *Link) insert(slot *linkSlot) {
	i := len(l.waiting)
	for i > 0 && l.waiting[i-1].startAt.After(slot.startAt) {
		i--
	}
	l.waiting = slices.Insert(l.waiting, i, slot)
}

func (l *Link) finish(slot *linkSlot) time.Time {
	return slot.startAt.Add(l.duration(float64(slot.bytes)))
}

// advance moves a response that would miss its end before those that have not begun and
// end later or are too late anyway. It changes nothing if that is too late too, or if
// another response that is sent in time would miss its end then.
func (l *Link) advance(now time.Time, slot *linkSlot) {
	hasBegun := func(s *linkSlot) bool { return !s.startAt.After(now) }
	l.waiting = slices.DeleteFunc(l.waiting, hasBegun)
	if slot.end.IsZero() || !l.finish(slot).After(slot.end) {
		return
	}
	old := slices.Index(l.waiting, slot)
	isLate := func(s *linkSlot) bool { return !s.end.IsZero() && l.finish(s).After(s.end) }
	first := slices.IndexFunc(l.waiting, func(s *linkSlot) bool { return s.end.IsZero() || s.end.After(slot.end) || isLate(s) })
	if first < 0 || first >= old {
		return
	}
	startAt, shift := l.waiting[first].startAt, l.duration(float64(slot.bytes))
	if startAt.Add(shift).After(slot.end) {
		return
	}
	passed := l.waiting[first:old]
	if slices.ContainsFunc(passed, func(s *linkSlot) bool { return !s.end.IsZero() && !isLate(s) && l.finish(s).Add(shift).After(s.end) }) {
		return
	}
	for _, s := range passed {
		s.startAt = s.startAt.Add(shift)
	}
	slot.startAt = startAt
	l.waiting = slices.Insert(slices.Delete(l.waiting, old, old+1), first, slot)
}

// Reservation is the link time that is reserved for a long response. With the
// zero Reservation everything may be sent immediately.
type Reservation struct {
	link *Link
	slot *linkSlot
}

// Covers reports whether the reservation has room for the bytes.
func (r Reservation) Covers(bytes int64) bool { return r.link == nil || bytes <= r.slot.bytes }

// SendTime returns the time at which the part of the response after the sent
// bytes may be sent. Before the response has begun, it may become later or earlier.
func (r Reservation) SendTime(sent int64) time.Time {
	if r.link == nil {
		return time.Time{}
	}
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	return r.slot.startAt.Add(r.link.duration(float64(sent)))
}

// Finish returns the time at which all reserved bytes may have been sent.
func (r Reservation) Finish() time.Time {
	if r.link == nil {
		return time.Time{}
	}
	return r.SendTime(r.slot.bytes)
}

// SetEnd changes the time by which the response has to be sent.
func (r Reservation) SetEnd(now, end time.Time) {
	if r.link == nil {
		return
	}
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	if !end.Equal(r.slot.end) {
		r.slot.end = end
		r.link.advance(now, r.slot)
	}
}

// Extend returns a reservation for the rest of a response of which the sent bytes were sent and
// which is longer than expected. The response goes on at its rate: behind all responses that
// began later it would be cut at its deadline.
func (r Reservation) Extend(now time.Time, sent, bytes int64) Reservation {
	if r.link == nil {
		return r
	}
	r.Release(sent)
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	r.link.appendBytes(now, bytes)
	// It has begun, so that no other response goes before it.
	next := &linkSlot{startAt: r.slot.startAt.Add(r.link.duration(float64(sent))), bytes: bytes}
	if next.startAt.Before(now) {
		next.startAt = now
	}
	return Reservation{link: r.link, slot: next}
}

// Release gives the unused time of a response that was aborted after the sent
// bytes back to the link.
func (r Reservation) Release(sent int64) {
	if r.link == nil || sent >= r.slot.bytes {
		return
	}
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	r.link.freeAt = r.link.freeAt.Add(-r.link.duration(float64(r.slot.bytes - sent)))
	r.link.waiting = slices.DeleteFunc(r.link.waiting, func(s *linkSlot) bool { return s == r.slot })
}

// MeanSize returns the mean size in bytes of the responses of the route, 0 if it is not
// known.
func (l *Link) MeanSize(route string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.responses[route].bytes)
}

// HasLongResponses reports whether the responses of the route are long on
// average.
func (l *Link) HasLongResponses(route string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.responses[route].bytes >= LongResponse
}

// AddExpected records a call of the route whose response is still to come. It
// returns the number of bytes to pass to RemoveExpected once the response has
// begun or the call has ended without one.
func (l *Link) AddExpected(route string) float64 {
	if !l.IsBounded() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	size := l.responses[route].bytes
	if size < LongResponse {
		return 0
	}
	l.expected += size
	return size
}

// RemoveExpected removes the bytes that AddExpected returned.
func (l *Link) RemoveExpected(expected float64) {
	if expected == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected = max(l.expected-expected, 0)
}

// RecordSize adds the size of a response to the mean of its route.
func (l *Link) RecordSize(route string, bytes int64) {
	if bytes < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.makeRoom(route)
	mean := l.responses[route]
	if mean.bytes == 0 {
		mean.bytes = float64(bytes)
	}
	mean.bytes += responseWeight * (float64(bytes) - mean.bytes)
	l.responses[route] = mean
}

// RecordLatency adds the time until a response began to the mean of its route.
func (l *Link) RecordLatency(route string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.makeRoom(route)
	mean := l.responses[route]
	if mean.latency == 0 {
		mean.latency = latency
	}
	mean.latency += time.Duration(responseWeight * float64(latency-mean.latency))
	l.responses[route] = mean
}

// Forecast is the expected timing of a response.
type Forecast struct {
	// Delay is the time for which the response waits for the link. It is the
	// time for sending all responses that have begun or are expected, without
	// the part that passes while the call itself still runs.
	Delay time.Duration
	// Latency is the time until the response begins, Sending its transmission
	// time.
	Latency, Sending time.Duration
}

// Forecast returns the expected timing of a response of the route. It is zero
// for a route of short or unknown responses and on an unbounded link.
func (l *Link) Forecast(now time.Time, route string) Forecast {
	if !l.IsBounded() {
		return Forecast{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	mean := l.responses[route]
	if mean.bytes < LongResponse {
		return Forecast{}
	}
	wait := max(l.freeAt.Sub(now), 0) + l.duration(l.expected)
	return Forecast{Delay: max(wait-mean.latency, 0), Latency: mean.latency, Sending: l.duration(mean.bytes)}
}

// ExcessDelay returns the part of the link delay that is too long for the call.
// A response may wait as long as it is still sent within objectiveFraction of the
// time to the end. It may always wait for lateDelayFactor times its own
// transmission time, so that a call that came late still uses a link that is
// nearly idle.
func (f Forecast) ExcessDelay(now, end time.Time) time.Duration {
	spare := time.Duration(objectiveFraction*float64(end.Sub(now))) - f.Latency - f.Sending
	return max(f.Delay-max(spare, lateDelayFactor*f.Sending), 0)
}

// Overrun returns the time by which the response would be sent too late if it has to be
// sent by the given end. It is 0 for a response that is not forecast.
func (f Forecast) Overrun(now, end time.Time) time.Duration {
	if f == (Forecast{}) {
		return 0
	}
	return max(f.Delay+f.Latency+f.Sending-end.Sub(now), 0)
}

// makeRoom discards all means if there is no room for another route. The caller holds the mutex.
func (l *Link) makeRoom(route string) {
	if _, known := l.responses[route]; !known && len(l.responses) >= maxLinkRoutes {
		clear(l.responses)
	}
}
