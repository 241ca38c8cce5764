package route

import (
	"sync"
	"time"
)

const (
	// LongAnswer is the size in bytes from which on an answer takes its turn on
	// the link. At 12 Mbit/s, the slowest link of the users, a shorter one
	// delays others by 20 ms at most.
	LongAnswer = 32 << 10
	// linkPart is the part of the link that is given out. The rest is for
	// headers, requests, and the messages of the system itself.
	linkPart = 0.9
	// linkPatience is the part of the time to a call's objective by which a long
	// answer is expected to be sent. The rest is for the way to the caller and
	// for answers longer than usual.
	linkPatience = 0.8
	// lateAnswers is the number of answers for which one that is late anyway may
	// wait.
	lateAnswers = 2
	// answerWeight is the weight of one answer in the means of its route.
	answerWeight = 0.1
	// mostRoutes bounds the routes whose answers are remembered. Configurations of
	// the users have some hundreds; where names change all the time, all means
	// are learned anew now and then.
	mostRoutes = 10_000
)

// Link shares the link of this machine out to the answers that leave over it.
// Long answers are sent one after the other, in the order in which they begin,
// and a little slower than the link, so that short ones never wait behind them
// in the queues of the network. The zero Link has no bound. It is safe for
// concurrent use.
type Link struct {
	// bytesPerSecond is 0 for no bound.
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is when all that has begun is sent.
	freeAt time.Time
	// expected is the sum of the mean sizes of the answers that calls in flight
	// will have, in bytes.
	expected float64
	// answers holds what is known of the answers of each route.
	answers map[string]answerMean
}

// answerMean is the mean of the answers of a route.
type answerMean struct {
	bytes float64
	// work is the time until an answer begins, 0 where it is not known.
	work time.Duration
}

// NewLink returns a link that carries so many bits a second, 0 for no bound.
func NewLink(bitsPerSecond float64) *Link {
	return &Link{bytesPerSecond: linkPart * bitsPerSecond / 8, answers: make(map[string]answerMean)}
}

// IsBounded reports whether answers have to take turns.
func (l *Link) IsBounded() bool { return l.bytesPerSecond > 0 }

func (l *Link) duration(bytes float64) time.Duration {
	return time.Duration(bytes / l.bytesPerSecond * float64(time.Second))
}

// RecordShort notes a short answer, which goes at once.
func (l *Link) RecordShort(now time.Time, bytes int) {
	if l.IsBounded() {
		l.Reserve(now, int64(bytes))
	}
}

// Reserve gives a long answer its turn: from the returned time on it is sent at
// the pace of the link.
func (l *Link) Reserve(now time.Time, bytes int64) Reservation {
	if !l.IsBounded() {
		return Reservation{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	turn := Reservation{link: l, startAt: l.freeAt, bytes: bytes}
	l.freeAt = l.freeAt.Add(l.duration(float64(bytes)))
	return turn
}

// Reservation is the time in which a long answer is sent. The zero Turn is any time.
type Reservation struct {
	link    *Link
	startAt time.Time
	bytes   int64
}

// SendTime returns when the part of the answer behind so many bytes may be sent.
func (t Reservation) SendTime(sent int64) time.Time {
	if t.link == nil {
		return time.Time{}
	}
	return t.startAt.Add(t.link.duration(float64(sent)))
}

// Release gives back the part of the turn that an answer which broke off did not
// use.
func (t Reservation) Release(sent int64) {
	if t.link == nil || sent >= t.bytes {
		return
	}
	t.link.mu.Lock()
	defer t.link.mu.Unlock()
	t.link.freeAt = t.link.freeAt.Add(-t.link.duration(float64(t.bytes - sent)))
}

// HasLongResponses reports whether the answers of the route are long ones on average.
func (l *Link) HasLongResponses(route string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answers[route].bytes >= LongAnswer
}

// AddExpected notes a call of the route whose answer has yet to come. It returns the
// bytes to give to Arrive once the answer has come or none will.
func (l *Link) AddExpected(route string) float64 {
	if !l.IsBounded() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	size := l.answers[route].bytes
	if size < LongAnswer {
		return 0
	}
	l.expected += size
	return size
}

// RemoveExpected takes back what a call was expected to send.
func (l *Link) RemoveExpected(expected float64) {
	if expected == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected = max(l.expected-expected, 0)
}

// RecordSize takes the size of an answer into the mean of its route.
func (l *Link) RecordSize(route string, bytes int64) {
	if bytes < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, known := l.answers[route]
	if !known {
		mean.bytes = float64(bytes)
		if len(l.answers) >= mostRoutes {
			clear(l.answers)
		}
	}
	mean.bytes += answerWeight * (float64(bytes) - mean.bytes)
	l.answers[route] = mean
}

// RecordLatency takes the time until an answer began into the mean of its route.
func (l *Link) RecordLatency(route string, work time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean := l.answers[route]
	if mean.work == 0 {
		mean.work = work
	}
	mean.work += time.Duration(answerWeight * float64(work-mean.work))
	l.answers[route] = mean
}

// Forecast is what is expected of an answer.
type Forecast struct {
	// Delay is the time for which it waits for the link: what has begun and what
	// is expected before it goes while the call works, and the rest after that.
	Delay time.Duration
	// Work is the time until it begins, Sending that in which it is sent.
	Work, Sending time.Duration
}

// Forecast returns what is expected of an answer of the route, nothing for a
// route of short answers.
func (l *Link) Forecast(now time.Time, route string) Forecast {
	if !l.IsBounded() {
		return Forecast{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	mean := l.answers[route]
	if mean.bytes < LongAnswer {
		return Forecast{}
	}
	before := max(l.freeAt.Sub(now), 0) + l.duration(l.expected)
	return Forecast{Delay: max(before-mean.work, 0), Work: mean.work, Sending: l.duration(mean.bytes)}
}

// ExcessDelay returns by how much the link delays the answer too long. One that can
// still be sent by the end may wait until then. One that can't, for the call came
// late, may wait for a few answers like itself, so that it still uses a link with
// hardly anything before it.
func (f Forecast) ExcessDelay(now, end time.Time) time.Duration {
	spare := time.Duration(linkPatience*float64(end.Sub(now))) - f.Work - f.Sending
	return max(f.Delay-max(spare, lateAnswers*f.Sending), 0)
}
