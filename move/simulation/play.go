package simulation

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/move"
)

// epoch is the time at which every trial starts.
var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// overtime bounds a trial after its deadline.
const overtime = 10 * time.Minute

// Ending is what became of one move.
type Ending struct {
	Move hornbeamwell.Move
	// Harmed counts the calls that the fault failed or slowed.
	Harmed uint64
	// ShownAt is the time after the start at which the fault first harmed a
	// call, zero when it never did.
	ShownAt time.Duration
	// VerdictAt is the time after the start at which the move was taken back,
	// zero when it never was.
	VerdictAt time.Duration
	// Shares holds the share of each window.
	Shares []hornbeamwell.Share
	// Harms holds the harmed calls of each window.
	Harms []uint64
}

// Play plays a case with a policy.
func Play(policy move.Policy, c Case) Ending {
	return play(&judge{policy: policy}, &c)
}

// PlayBaseline plays a case with the baseline.
func PlayBaseline(c Case) Ending {
	return play(&baseline{}, &c)
}

func play(d decider, c *Case) Ending {
	p := &player{c: c, world: newWorld(c), decider: d, fleet: newFleet(c), guard: guard{proxies: c.Proxies}}
	p.end.Move = hornbeamwell.Move{
		ID: "trial", Service: c.Service.Name, From: oldVersion, To: newVersion,
		AcceptedAt: epoch, Deadline: epoch.Add(c.Deadline), Hold: c.Hold,
		Prefer: c.Prefer, Phase: hornbeamwell.PhaseAccepted, Step: 1, StageAt: epoch,
	}
	for after := time.Duration(0); after < c.Deadline+overtime; after += window {
		if p.end.Move.Phase.IsFinal() && p.shareInForce(after) == p.end.Move.Share {
			break
		}
		p.window(after)
	}
	return p.end
}

// player plays one case.
type player struct {
	c       *Case
	world   *world
	decider decider
	fleet   *fleet
	guard   guard
	// liftAt is the time at which the last step is in force.
	liftAt time.Duration
	end    Ending
}

func (p *player) window(after time.Duration) {
	if after == p.liftAt {
		p.guard.lift()
	}
	t := p.split(after)
	t.share = p.guard.limit(t.share)
	out := p.world.draw(t)
	p.guard.see(out.observations)
	p.end.Harmed += out.harmed
	if out.harmed > 0 && p.end.ShownAt == 0 {
		p.end.ShownAt = after
	}
	p.end.Harms = append(p.end.Harms, out.harmed)
	p.fleet.step(after)
	if !p.isControlGone(after) {
		p.decide(after+window, out.observations)
	}
	p.end.Shares = append(p.end.Shares, p.end.Move.Share)
}

func (p *player) decide(after time.Duration, seen []hornbeamwell.Observation) {
	now := epoch.Add(after)
	m := p.end.Move
	situation := p.fleet.situation(now)
	situation.InForce = p.shareInForce(after) == m.Share
	if p.split(after).cut > 0 {
		situation.Silent = 1
	}
	next := p.decider.decide(now, m, seen, situation)
	if next.Step != m.Step {
		p.liftAt = after + p.c.Lag
	}
	if next.Share == 0 && m.Share > 0 {
		p.end.VerdictAt = after
	}
	p.end.Move = next
}

// isControlGone reports whether nothing is decided, and loses the evidence at
// a change of leader.
func (p *player) isControlGone(after time.Duration) bool {
	gone := false
	for i := range p.c.Disturbances {
		d := &p.c.Disturbances[i]
		if !d.isActive(after) || d.Kind != Outage && d.Kind != LeaderChange {
			continue
		}
		gone = true
		if d.Kind == LeaderChange {
			p.decider.forget(epoch.Add(after), p.end.Move)
		}
	}
	return gone
}

// shareInForce is the share asked for Lag ago.
func (p *player) shareInForce(after time.Duration) hornbeamwell.Share {
	i := int((after-p.c.Lag)/window) - 1
	if after < p.c.Lag+window || len(p.end.Shares) == 0 {
		return 0
	}
	return p.end.Shares[min(i, len(p.end.Shares)-1)]
}

// split says how the calls of a window are split. Proxies cut from control keep
// their share until its lease ends.
func (p *player) split(after time.Duration) traffic {
	t := traffic{after: after, share: p.shareInForce(after)}
	for i := range p.c.Disturbances {
		d := &p.c.Disturbances[i]
		if d.Kind != CutProxies || !d.isActive(after) {
			continue
		}
		t.cut = d.Size
		if after < d.At+leaseTime {
			t.cutShare = p.shareInForce(d.At)
		}
	}
	return t
}

// fleet counts the targets of a case.
type fleet struct {
	c        *Case
	restarts int
}

func newFleet(c *Case) *fleet { return &fleet{c: c} }

func (f *fleet) step(after time.Duration) {
	if every := f.c.Fault.CrashEvery; every > 0 && after >= f.c.Fault.Onset && after%every < window {
		f.restarts++
	}
	for i := range f.c.Disturbances {
		if d := &f.c.Disturbances[i]; d.Kind == Herd && d.At <= after && after < d.At+window {
			f.restarts += f.c.Service.Targets
		}
	}
}

func (f *fleet) situation(time.Time) move.Situation {
	n := f.c.Service.Targets
	all := move.Fleet{Ready: n, Slots: n * f.c.Service.Slots, Targets: n}
	s := move.Situation{From: all, To: all}
	s.To.Restarts = f.restarts
	s.To.MaxRestarts = (f.restarts + n - 1) / n
	return s
}
