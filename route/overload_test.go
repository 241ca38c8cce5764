package route

import (
	"math/rand/v2"
	"testing"
	"time"
)

// queueSimulation runs calls through one Admission in virtual time, without a
// network.
type queueSimulation struct {
	admission *Admission
	now       time.Time
	running   []runningWork
	waiting   []*Waiter
	random    *rand.Rand
	// inTime, late and refused count the calls by their end. queuedTime is the
	// total time in the queue of the calls that were refused in the end.
	inTime, late, refused int
	queuedTime            time.Duration
	offeredAt             map[*Waiter]time.Time
	// ran and failed count the calls of each route that ran and those that were
	// refused.
	ran, failed map[string]int
	// met counts the calls of each route that ended within their objective.
	met map[string]int
	// work returns the duration of a call. If work is nil, calls last 60 to
	// 120 ms.
	work func(*Waiter) time.Duration
	// ended, unless it is nil, is called at the end of a call.
	ended func(*Waiter)
}

func newQueueSimulation(seed uint64, slots int) *queueSimulation {
	return &queueSimulation{
		admission: NewAdmission(slots), now: time.Unix(1000, 0), offeredAt: map[*Waiter]time.Time{},
		random: rand.New(rand.NewPCG(seed, 1)), ran: map[string]int{}, failed: map[string]int{}, met: map[string]int{},
	}
}

type runningWork struct {
	w           *Waiter
	until, from time.Time
}

const simulationTick = time.Millisecond

func (q *queueSimulation) offer(w *Waiter) {
	w.Decided = make(chan Verdict, 1)
	q.offeredAt[w] = q.now
	switch q.admission.Offer(q.now, w) {
	case VerdictAdmit:
		q.run(w)
	case VerdictWait:
		q.waiting = append(q.waiting, w)
	default:
		q.refuse(w)
	}
}

func (q *queueSimulation) refuse(w *Waiter) {
	q.refused++
	q.failed[w.Route]++
}

func (q *queueSimulation) run(w *Waiter) {
	work := time.Duration(60+q.random.IntN(60)) * time.Millisecond
	if q.work != nil {
		work = q.work(w)
	}
	q.ran[w.Route]++
	q.running = append(q.running, runningWork{w: w, from: q.now, until: q.now.Add(work)})
}

// tick ends the calls that are finished and processes the verdicts on queued
// calls.
func (q *queueSimulation) tick() {
	q.now = q.now.Add(simulationTick)
	var remaining []runningWork
	for _, r := range q.running {
		if r.until.After(q.now) {
			remaining = append(remaining, r)
			continue
		}
		q.admission.Done(q.now, r.w, r.until.Sub(r.from), false)
		if q.ended != nil {
			q.ended(r.w)
		}
		if q.now.After(r.w.Objective) {
			q.late++
		} else {
			q.inTime++
			q.met[r.w.Route]++
		}
	}
	q.running = remaining
	var waiting []*Waiter
	for _, w := range q.waiting {
		select {
		case verdict := <-w.Decided:
			if verdict == VerdictAdmit {
				q.run(w)
				continue
			}
			q.refuse(w)
			q.queuedTime += q.now.Sub(q.offeredAt[w])
		default:
			waiting = append(waiting, w)
		}
	}
	q.waiting = waiting
}

// TestLastingOverload simulates a service that permanently lost half of its
// targets: the load is a quarter more than the slots can serve, with an
// objective of 300 ms and a deadline of 700 ms. At least nine tenths of the
// capacity must produce responses in time. Refused calls must be refused early,
// on average within an eighth of the objective, a delay that does not harm the
// caller.
func TestLastingOverload(t *testing.T) {
	const (
		slots             = 12
		callsPerSecond    = 166 // 125% of the capacity: 12 slots of 90 ms give 133 a second
		capacityPerSecond = 133
		seconds           = 20
		queueingDivisor   = 8
	)
	for seed := range uint64(5) {
		q := newQueueSimulation(seed, slots)
		for range seconds * int(time.Second/simulationTick) {
			q.tick()
			if q.random.IntN(int(time.Second/simulationTick)) < callsPerSecond {
				q.offer(&Waiter{
					Caller: "c", Route: "r", Rank: 2, Objective: q.now.Add(300 * time.Millisecond), Deadline: q.now.Add(700 * time.Millisecond),
				})
			}
		}
		if q.inTime < 9*capacityPerSecond*seconds/10 {
			t.Errorf("seed %d: %d responses in time with a capacity of %d; %d late, %d refused", seed, q.inTime, capacityPerSecond*seconds, q.late, q.refused)
		}
		if mean := q.queuedTime / time.Duration(max(q.refused, 1)); mean > 300*time.Millisecond/queueingDivisor {
			t.Errorf("seed %d: refused calls were queued for %s on average", seed, mean)
		}
	}
}

// TestInnerCallsRecoverFromSlowStart simulates a target that starts slowly under
// a lasting overload: orders need 170% of the slots, and urgent inner calls of
// 22 ms, with a deadline of 220 ms, need a sixth. For the first 300 ms every call
// takes 400 ms. From 1.2 s after that, nearly all inner calls must succeed again,
// because the caller of an inner call holds a slot of another target and fails
// with it.
func TestInnerCallsRecoverFromSlowStart(t *testing.T) {
	const (
		slots           = 12
		ordersPerSecond = 230
		innerPerSecond  = 90
		seconds         = 10
		slowStart       = 300 * time.Millisecond
		measureFrom     = slowStart + 1200*time.Millisecond
	)
	for seed := range uint64(5) {
		q := newQueueSimulation(seed, slots)
		started := q.now
		q.work = func(w *Waiter) time.Duration {
			switch {
			case q.now.Sub(started) < slowStart:
				return 400 * time.Millisecond
			case w.Route == "check":
				return time.Duration(15+q.random.IntN(15)) * time.Millisecond
			default:
				return time.Duration(60+q.random.IntN(60)) * time.Millisecond
			}
		}
		for tick := range seconds * int(time.Second/simulationTick) {
			if time.Duration(tick)*simulationTick == measureFrom {
				clear(q.ran)
				clear(q.failed)
			}
			q.tick()
			if q.random.IntN(int(time.Second/simulationTick)) < ordersPerSecond {
				q.offer(&Waiter{Caller: "a", Route: "order", Rank: 1, Objective: q.now.Add(300 * time.Millisecond), Deadline: q.now.Add(700 * time.Millisecond)})
			}
			if q.random.IntN(int(time.Second/simulationTick)) < innerPerSecond {
				q.offer(&Waiter{Caller: "b", Route: "check", Rank: UrgentRank, Objective: q.now.Add(100 * time.Millisecond), Deadline: q.now.Add(220 * time.Millisecond)})
			}
		}
		if ran, failed := q.ran["check"], q.failed["check"]; ran < 98*(ran+failed)/100 {
			t.Errorf("seed %d: %d inner calls ran, %d were refused", seed, ran, failed)
		}
	}
}
