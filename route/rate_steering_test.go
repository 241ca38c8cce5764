package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// steeringSimulation runs calls of several proxies at several targets in virtual time.
// Each proxy knows of a target what its replies said.
type steeringSimulation struct {
	now     time.Time
	random  *rand.Rand
	targets []*queueSimulation
	// proxies holds the candidates of each proxy, in the order of the targets.
	proxies [][]*Candidate
	// running holds the calls that run or wait.
	running []*steeredCall
	// inTime, late and refused count the calls by their end, bounces the refusals
	// that were followed by another attempt.
	inTime, late, refused, bounces int
	// ended counts the calls that ended at each target.
	ended []int
}

// steeredCall is a call of a steeringSimulation at one target.
type steeredCall struct {
	Waiter
	proxy, target int
	until         time.Time
}

const (
	steeringObjective = 300 * time.Millisecond
	steeringDeadline  = 800 * time.Millisecond
)

func newSteeringSimulation(seed uint64, proxies, targets, slots int) *steeringSimulation {
	s := &steeringSimulation{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 2)), ended: make([]int, targets)}
	for range targets {
		s.targets = append(s.targets, newQueueSimulation(seed, slots))
	}
	for range proxies {
		candidates := make([]*Candidate, 0, targets)
		for target := range targets {
			candidates = append(candidates, &Candidate{
				Target: hornbeamwell.Target{ID: fmt.Sprint(target), Slots: slots}, Load: &Load{}, Health: &Health{},
			})
		}
		s.proxies = append(s.proxies, candidates)
	}
	return s
}

// reply reports the state of the target to the proxy, as its reply to a call does.
func (s *steeringSimulation) reply(proxy, target int) {
	admission := s.targets[target].admission
	load := s.proxies[proxy][target].Load
	load.Report(s.now, admission.Load())
	load.ReportDuration(admission.Limit.Mean())
	load.ReportRateLimit(s.now, admission.RateLimit())
	perSecond, remaining := admission.ColdRate(s.now)
	load.ReportCold(s.now, 1, perSecond, remaining)
}

// send sends a call of the proxy until a target takes it or four have refused it.
func (s *steeringSimulation) send(proxy int) {
	var tried []*Candidate
	group := NewGroup("", s.proxies[proxy])
	objective, deadline := s.now.Add(steeringObjective), s.now.Add(steeringDeadline)
	for range 4 {
		picked := group.Pick(s.now, s.random, LocalityShort, tried)
		if picked == nil {
			break
		}
		tried = append(tried, picked)
		var target int
		_, _ = fmt.Sscan(picked.ID, &target)
		c := &steeredCall{
			Waiter: Waiter{Caller: "c", Route: "r", Objective: objective, Deadline: deadline, Decided: make(chan Verdict, 1)},
			proxy:  proxy, target: target,
		}
		c.HasAlternative = picked.Load.IsCold(s.now) && group.HasRoomBeside(s.now, tried)
		picked.Load.Begin()
		verdict := s.targets[target].admission.Offer(s.now, &c.Waiter)
		if verdict == VerdictAdmit {
			c.until = s.now.Add(s.work())
		}
		if verdict == VerdictAdmit || verdict == VerdictWait {
			picked.Load.AcceptCold()
			s.running = append(s.running, c)
			return
		}
		picked.Load.End()
		s.reply(proxy, target)
		if verdict == VerdictRateLimited && picked.Load.IsCold(s.now) {
			picked.Load.RefuseCold(s.now, s.targets[target].admission.RetryAfter())
		}
		s.bounces++
	}
	s.refused++
}

func (s *steeringSimulation) work() time.Duration {
	return time.Duration(60+s.random.IntN(60)) * time.Millisecond
}

// end ends a call and sends the reply. It returns false if the call goes on.
func (s *steeringSimulation) end(c *steeredCall) bool {
	select {
	case verdict := <-c.Decided:
		if verdict != VerdictAdmit {
			s.proxies[c.proxy][c.target].Load.End()
			s.reply(c.proxy, c.target)
			s.refused++
			return true
		}
		c.until = s.now.Add(s.work())
	default:
	}
	if c.until.IsZero() || c.until.After(s.now) {
		return false
	}
	s.ended[c.target]++
	s.targets[c.target].admission.Done(s.now, &c.Waiter, 90*time.Millisecond, false)
	s.proxies[c.proxy][c.target].Load.End()
	s.reply(c.proxy, c.target)
	if s.now.After(c.Objective) {
		s.late++
	} else {
		s.inTime++
	}
	return true
}

func (s *steeringSimulation) resetCounts() {
	s.inTime, s.late, s.refused, s.bounces = 0, 0, 0, 0
	clear(s.ended)
}

// run sends calls at the rate for the duration.
func (s *steeringSimulation) run(perSecond float64, duration time.Duration) {
	for range int(duration / simulationTick) {
		s.now = s.now.Add(simulationTick)
		for _, t := range s.targets {
			t.admission.Tick(s.now)
		}
		kept := s.running[:0]
		for _, c := range s.running {
			if !s.end(c) {
				kept = append(kept, c)
			}
		}
		s.running = kept
		if s.random.Float64() < perSecond*simulationTick.Seconds() {
			s.send(s.random.IntN(len(s.proxies)))
		}
	}
}

// TestTargetsInNeedAreRelieved simulates two of four targets that take few calls per
// second for a while, at a load for which the other two have room. Nearly all calls
// must be served in time, few may need a second attempt, and afterwards all targets
// must get their part again.
func TestTargetsInNeedAreRelieved(t *testing.T) {
	const (
		perSecond = 236
		seconds   = 10
	)
	for seed := range uint64(5) {
		s := newSteeringSimulation(seed, 13, 4, 12)
		s.run(perSecond, 2*time.Second)
		s.resetCounts()
		limits := []float64{26.7, 15.7}
		for i, limit := range limits {
			s.targets[i].admission.SetRateLimit(s.now, s.now, limitOf(limit))
		}
		s.run(perSecond, seconds*time.Second)
		sent := s.inTime + s.late + s.refused
		if s.inTime < 98*sent/100 {
			t.Errorf("seed %d: %d of %d calls in time, %d late, %d refused", seed, s.inTime, sent, s.late, s.refused)
		}
		if s.bounces > sent/10 {
			t.Errorf("seed %d: %d of %d calls needed another attempt", seed, s.bounces, sent)
		}
		for i, limit := range limits {
			if got := s.ended[i]; float64(got) < limit*seconds/2 {
				t.Errorf("seed %d: %d calls in %d s at a target that takes %v a second, want at least half", seed, got, seconds, limit)
			}
		}
		for _, target := range s.targets {
			target.admission.ResetRateLimit(s.now)
		}
		s.resetCounts()
		s.run(perSecond, 2*time.Second)
		if limited := s.proxies[0][0].Load.rateLimit.Load(); limited != nil {
			t.Errorf("seed %d: a proxy still knows of a limit of %s", seed, limited.limit)
		}
	}
}

// TestColdTargetsAreWarmedAndSpared simulates a zone that returns: 3 of 6 targets are cold,
// at a load for which the other three have room. It guards against cold targets that get
// far less than they accept, against calls that are late or refused because of them, and
// against load that does not return. 24 entries share the rate without knowing of each
// other, so some calls need another attempt.
func TestColdTargetsAreWarmedAndSpared(t *testing.T) {
	const (
		callsPerSecond = 280
		perSecond      = 13
		seconds        = 5
	)
	for seed := range uint64(5) {
		s := newSteeringSimulation(seed, 24, 6, 12)
		for _, proxy := range s.proxies {
			for _, c := range proxy {
				c.Load.AssumeCold(1, perSecond)
			}
		}
		for _, target := range s.targets[:3] {
			target.admission.SetCold(s.now, perSecond, s.now.Add(seconds*time.Second))
		}
		s.run(callsPerSecond, seconds*time.Second)
		sent := s.inTime + s.late + s.refused
		t.Logf("seed %d: %d of %d calls in time, %d late, %d refused, %d bounces, ended %v", seed, s.inTime, sent, s.late, s.refused, s.bounces, s.ended)
		if s.inTime < 98*sent/100 {
			t.Errorf("seed %d: %d of %d calls in time, %d late, %d refused", seed, s.inTime, sent, s.late, s.refused)
		}
		if s.bounces > sent/4 {
			t.Errorf("seed %d: %d attempts were refused for %d calls", seed, s.bounces, sent)
		}
		for i, got := range s.ended[:3] {
			if got < 7*perSecond*seconds/10 || got > perSecond*seconds+8 {
				t.Errorf("seed %d: %d calls in %d s at cold target %d, which takes %d a second", seed, got, seconds, i, perSecond)
			}
		}
		s.run(callsPerSecond, time.Second)
		s.resetCounts()
		s.run(callsPerSecond, 2*time.Second)
		for i, got := range s.ended[:3] {
			if got < callsPerSecond*2/6*7/10 {
				t.Errorf("seed %d: %d calls in 2 s at target %d, which is warm again", seed, got, i)
			}
		}
	}
}
