package route

import (
	"math/rand/v2"
	"testing"
	"time"
)

// queuePattern plays calls at one admission in virtual time, without a network.
type queuePattern struct {
	admission *Admission
	now       time.Time
	running   []runningUntil
	waiting   []*Waiter
	random    *rand.Rand
	// inTime, late and refused count the ends of calls. held is the time that
	// calls waited and were refused after all.
	inTime, late, refused int
	held                  time.Duration
	offered               map[*Waiter]time.Time
}

type runningUntil struct {
	w           *Waiter
	until, from time.Time
}

const patternTick = time.Millisecond

func (q *queuePattern) offer(w *Waiter) {
	w.Decided = make(chan Verdict, 1)
	q.offered[w] = q.now
	switch q.admission.Offer(q.now, w) {
	case VerdictAdmit:
		q.run(w)
	case VerdictWait:
		q.waiting = append(q.waiting, w)
	default:
		q.refused++
	}
}

func (q *queuePattern) run(w *Waiter) {
	work := time.Duration(60+q.random.IntN(60)) * time.Millisecond
	q.running = append(q.running, runningUntil{w: w, from: q.now, until: q.now.Add(work)})
}

// tick ends the calls that are over and takes the verdicts of those that wait.
func (q *queuePattern) tick() {
	q.now = q.now.Add(patternTick)
	var left []runningUntil
	for _, r := range q.running {
		if r.until.After(q.now) {
			left = append(left, r)
			continue
		}
		q.admission.Done(q.now, r.w, r.until.Sub(r.from), false)
		if q.now.After(r.w.Objective) {
			q.late++
		} else {
			q.inTime++
		}
	}
	q.running = left
	var waiting []*Waiter
	for _, w := range q.waiting {
		select {
		case verdict := <-w.Decided:
			if verdict == VerdictAdmit {
				q.run(w)
				continue
			}
			q.refused++
			q.held += q.now.Sub(q.offered[w])
		default:
			waiting = append(waiting, w)
		}
	}
	q.waiting = waiting
}

// TestLastingOverload is the pattern of a service that lost half of its targets
// for good: a quarter more calls than there are slots for, with an objective of
// 300 ms and a deadline of 700 ms. Nine in ten slots have to give answers in time,
// and what is refused is refused soon: on average within an eighth of the
// objective, up to which holding a call does it no harm.
func TestLastingOverload(t *testing.T) {
	const (
		slots    = 12
		rate     = 166 // 12 slots of 90 ms give 133 a second
		fits     = 133
		seconds  = 20
		soonPart = 8
	)
	for seed := range uint64(5) {
		q := &queuePattern{
			admission: NewAdmission(slots), now: time.Unix(1000, 0), offered: map[*Waiter]time.Time{},
			random: rand.New(rand.NewPCG(seed, 1)),
		}
		for range seconds * int(time.Second/patternTick) {
			q.tick()
			if q.random.IntN(int(time.Second/patternTick)) < rate {
				q.offer(&Waiter{
					Caller: "c", Route: "r", Rank: 2, Objective: q.now.Add(300 * time.Millisecond), Deadline: q.now.Add(700 * time.Millisecond),
				})
			}
		}
		if q.inTime < 9*fits*seconds/10 {
			t.Errorf("seed %d: %d answers in time of %d that fit; %d late, %d refused", seed, q.inTime, fits*seconds, q.late, q.refused)
		}
		if mean := q.held / time.Duration(max(q.refused, 1)); mean > 300*time.Millisecond/soonPart {
			t.Errorf("seed %d: refused calls were held for %s on average", seed, mean)
		}
	}
}
