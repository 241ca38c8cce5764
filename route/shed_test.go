package route

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/hornbeamwell/hornbeamwell"
)

// shedLoad is a load on a target that sheds calls. See testdata/sheds.txtar.
type shedLoad struct {
	slots             int
	offered           float64
	share             float64
	from, until       time.Duration
	rooms             []shedRoom
	states            bool
	least, thanBefore float64
}

// shedRoom is the number of calls that a target really runs from a time on.
type shedRoom struct {
	calls int
	from  time.Duration
}

func parseShedLoad(t *testing.T, text string) *shedLoad {
	t.Helper()
	l := &shedLoad{}
	number := func(text string) float64 {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	at := func(text string) time.Duration {
		d, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	for line := range strings.Lines(text) {
		f := strings.Fields(line)
		switch f[0] {
		case "slots":
			l.slots = int(number(f[1]))
		case "offered":
			l.offered = number(f[1])
		case "sheds":
			l.share, l.from, l.until = number(f[1]), at(f[2]), at(f[3])
		case "room":
			l.rooms = append(l.rooms, shedRoom{int(number(f[1])), at(f[2])})
		case "states":
			l.states = f[1] == "true"
		case "least":
			l.least = number(f[1])
		case "than":
			l.thanBefore = number(f[2])
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	return l
}

func (l *shedLoad) room(since time.Duration) int {
	room := l.slots
	for _, r := range l.rooms {
		if since >= r.from {
			room = r.calls
		}
	}
	return room
}

const (
	shedSeconds  = 20
	shedWork     = 200 * time.Millisecond
	shedDeadline = 600 * time.Millisecond
)

// run offers the load and returns the number of calls that were served and the most that
// slots and sheds allow: a call that the target sheds at any load isn't sent again here.
func (l *shedLoad) run(seed uint64, relates bool) (served int, allowed float64) {
	a := NewAdmission(l.slots)
	a.OrdersByObjective, a.RelatesSheds = true, relates
	random := rand.New(rand.NewPCG(seed, 1))
	arrivals := rand.New(rand.NewPCG(seed, 2))
	type run struct {
		w          *Waiter
		from, ends time.Time
		shed       bool
	}
	start := time.Unix(1000, 0)
	var running []run
	var waiting []*Waiter
	now, since := start, time.Duration(0)
	isRandom := func() bool { return since >= l.from && since < l.until }
	begin := func(w *Waiter) {
		inside := 0
		for _, r := range running {
			if !r.shed {
				inside++
			}
		}
		shed := inside >= l.room(since) || isRandom() && random.Float64() < l.share
		duration := time.Duration(float64(shedWork) * (0.7 + 0.6*random.Float64()))
		if shed {
			duration = time.Duration(1+random.IntN(3)) * time.Millisecond
		}
		running = append(running, run{w, now, now.Add(duration), shed})
	}
	perStep := l.offered * float64(l.slots) * float64(time.Millisecond) / float64(shedWork)
	for step := range shedSeconds * 1000 {
		since = time.Duration(step) * time.Millisecond
		now = start.Add(since)
		rest := running[:0:0]
		for _, r := range running {
			if r.ends.After(now) {
				rest = append(rest, r)
			}
		}
		ended := running
		running = rest
		inside := 0
		for _, r := range running {
			if !r.shed {
				inside++
			}
		}
		for _, r := range ended {
			if r.ends.After(now) {
				continue
			}
			if l.states {
				a.State(now, hornbeamwell.LoadStatement{IsStated: true, Running: inside, Slots: l.room(since)})
			}
			a.Done(now, r.w, now.Sub(r.from), r.shed)
			if !r.shed {
				served++
			}
		}
		rate := min(perStep, float64(l.room(since))*float64(time.Millisecond)/float64(shedWork))
		if isRandom() {
			rate = min(perStep*(1-l.share), rate)
		}
		allowed += rate
		for due := perStep; due > 0; due-- {
			if arrivals.Float64() >= due {
				continue
			}
			w := &Waiter{Caller: "c", Route: "r", Rank: 1, Deadline: now.Add(shedDeadline), Objective: now.Add(shedDeadline / 2), Decided: make(chan Verdict, 1)}
			switch a.Offer(now, w) {
			case VerdictAdmit:
				begin(w)
			case VerdictWait:
				waiting = append(waiting, w)
			default:
			}
		}
		queued := waiting[:0]
		for _, w := range waiting {
			select {
			case verdict := <-w.Decided:
				if verdict == VerdictAdmit {
					begin(w)
				}
			default:
				queued = append(queued, w)
			}
		}
		waiting = queued
	}
	return served, allowed
}

// TestShedsSayLittleAboutConcurrency plays loads on a target that sheds calls, beside a
// limit that every
// shed reduces. It guards against a limit that collapses although the target has free
// slots, and against one that stays high although the target is full.
func TestShedsSayLittleAboutConcurrency(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/sheds.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			skipWithRaceDetector(t)
			l := parseShedLoad(t, string(file.Data))
			before, after, allowed := 0, 0, 0.0
			for seed := range uint64(3) {
				n, _ := l.run(seed, false)
				before += n
				n, most := l.run(seed, true)
				after += n
				allowed += most
			}
			t.Logf("%d calls served, %d with the limit by load, of %.0f", before, after, allowed)
			if float64(after) < l.least*allowed {
				t.Errorf("%d calls were served of %.0f that slots and sheds allow", after, allowed)
			}
			if float64(after) < l.thanBefore*float64(before) {
				t.Errorf("%d calls were served, %d with a limit that every shed reduces", after, before)
			}
		})
	}
}
