package route

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamwell/hornbeamwell"
)

func TestMain(m *testing.M) {
	hornbeamwell.PanicOnViolation.Store(true)
	m.Run()
}

// fakeProxy is an exit proxy reduced to its records and its history.
type fakeProxy struct {
	target       hornbeamwell.Target
	up           bool
	recordsSince time.Time
	// historySince is the time at which the history starts.
	historySince time.Time
	records      *Records
	history      *History
}

// fakeService simulates the exit proxies of one service, which crash, restart,
// join, leave, and observe such changes late. Every key must still run at most
// once.
type fakeService struct {
	now     time.Time
	proxies []*fakeProxy
	shares  *Service
	runs    map[string]int
	// sentAt is the time at which each key was first sent. Callers resend a key
	// only within RecordLifetime.
	sentAt map[string]time.Time
	// verdicts counts the claims by verdict.
	verdicts map[ClaimVerdict]int
}

func newFakeService(count, zones int) *fakeService {
	f := &fakeService{
		now:      time.Unix(1_000_000, 0),
		runs:     make(map[string]int),
		sentAt:   make(map[string]time.Time),
		verdicts: make(map[ClaimVerdict]int),
	}
	f.setShares(hornbeamwell.FullShare)
	for i := range count {
		f.join("v1", fmt.Sprint(i%zones))
	}
	for _, p := range f.proxies {
		p.recordsSince = f.now.Add(-time.Hour)
		p.historySince = p.recordsSince
	}
	f.observe(f.proxies)
	f.now = f.now.Add(RecordLifetime + time.Second)
	return f
}

func (f *fakeService) setShares(v1 hornbeamwell.Share) {
	f.shares = &Service{Name: "s", Versions: []hornbeamwell.TargetVersion{
		{Name: "v1", Share: v1}, {Name: "v2", Share: hornbeamwell.FullShare - v1},
	}}
}

func (f *fakeService) join(version, zone string) {
	f.proxies = append(f.proxies, &fakeProxy{
		target: hornbeamwell.Target{
			ID: fmt.Sprintf("t%d", len(f.proxies)), Service: "s", Version: version, Zone: zone, State: hornbeamwell.TargetReady,
		},
		up: true, recordsSince: f.now, historySince: f.now, records: NewRecords(), history: NewHistory(),
	})
}

// listed returns the targets whose proxies are up.
func (f *fakeService) listed() []hornbeamwell.Target {
	var targets []hornbeamwell.Target
	for _, p := range f.proxies {
		if p.up {
			targets = append(targets, p.target)
		}
	}
	return targets
}

func (f *fakeService) observe(proxies []*fakeProxy) {
	for _, p := range proxies {
		if p.up {
			p.history.Observe(f.now, f.shares, f.listed())
		}
	}
}

func (f *fakeService) restart(p *fakeProxy) {
	p.up = true
	p.recordsSince, p.historySince = f.now, f.now
	p.records, p.history = NewRecords(), NewHistory()
	p.history.Observe(f.now, f.shares, f.listed())
}

func (f *fakeService) find(id string) *fakeProxy {
	for _, p := range f.proxies {
		if p.target.ID == id {
			return p
		}
	}
	return nil
}

// hold returns the reply of one proxy to a hold request.
func (f *fakeService) hold(asker string, id RecordID, target string, reached bool) HoldReply {
	p := f.find(target)
	reply := HoldReply{Target: target, Zone: p.target.Zone, FirstClaimAge: -1}
	if !p.up || !reached {
		return reply
	}
	record, existed := p.records.Hold(f.now, id, asker)
	reply.RecordAge = f.now.Sub(p.recordsSince)
	reply.Members, reply.IsSpread = p.history.Members(f.now, id.Key, target)
	reply.HasPartialHistory = f.now.Sub(p.historySince) < RecordLifetime
	reply.KnownFor = -1
	if known, found := p.history.KnownFor(f.now, asker); found {
		reply.KnownFor = known
	}
	reply.Status, reply.Holder = HoldConflict, target
	if record.State == RecordHeld {
		reply.Holder = record.Holder
		if record.Holder == asker {
			reply.Status = HoldAccepted
			if existed {
				reply.FirstClaimAge = f.now.Sub(record.First)
			}
		}
	}
	return reply
}

// send sends a call with the key to a proxy. The proxy need not be the owner of
// the key, because entry proxies may have any view of the service. The outcome
// says how a call that may run ends.
func (f *fakeService) send(p *fakeProxy, key string, reached func() bool, outcome string) ClaimVerdict {
	if f.sentAt[key].IsZero() {
		f.sentAt[key] = f.now
	}
	if f.now.Sub(f.sentAt[key]) >= RecordLifetime {
		return ClaimElsewhere
	}
	id := RecordID{Route: "r", Key: key}
	existing := p.records.Get(f.now, id)
	if existing != nil && existing.State != RecordHeld {
		return ClaimElsewhere
	}
	claim := Claim{Self: p.target.ID, Zone: p.target.Zone, HasPartialHistory: f.now.Sub(p.historySince) < RecordLifetime, RecordAge: f.now.Sub(p.recordsSince)}
	if existing != nil {
		claim.PreviousHolder, claim.PreviousClaimAge = existing.Holder, f.now.Sub(existing.First)
	}
	holders := p.history.Holders(f.now, key, p.target.ID)
	claim.Witnesses, claim.HolderCount, claim.IsSpread = holders.Witnesses, holders.Count, holders.IsSpread
	record := p.records.Claim(f.now, id, 0)
	isAsked := claim.PreviousHolder == ""
	for _, t := range holders.Peers {
		isAsked = isAsked || t.ID == claim.PreviousHolder
		claim.Replies = append(claim.Replies, f.hold(p.target.ID, id, t.ID, reached()))
	}
	if !isAsked {
		claim.Replies = append(claim.Replies, f.hold(p.target.ID, id, claim.PreviousHolder, reached()))
	}
	verdict, holder := claim.Decide()
	f.verdicts[verdict]++
	switch verdict {
	case ClaimElsewhere:
		p.records.Redirect(f.now, id, record, holder)
	case ClaimUnprovable:
		p.records.MarkUnknown(f.now, record)
	case ClaimNotRun:
		f.assertNotRun(key)
		p.records.Remove(id, record)
	case ClaimRun:
		f.end(p, id, record, outcome)
	}
	return verdict
}

func (f *fakeService) assertNotRun(key string) {
	if f.runs[key] > 0 {
		panic(fmt.Sprintf("key %s is reported as not run after %d runs", key, f.runs[key]))
	}
}

// end ends a call that may run. The outcome is "refused" by admission,
// "answered" or "lost".
func (f *fakeService) end(p *fakeProxy, id RecordID, record *Record, outcome string) {
	if outcome == "refused" {
		f.assertNotRun(id.Key)
		p.records.Remove(id, record)
		return
	}
	p.records.Start(f.now, record)
	f.runs[id.Key]++
	if outcome == "answered" {
		p.records.Finish(f.now, record, nil)
		return
	}
	p.records.MarkUnknown(f.now, record)
}

// TestKeysRunAtMostOnce applies random faults to the claims of keys. It guards
// against a key that runs twice and against a run that is reported as not run.
// Proxies that are up observe a change immediately or later, and hold requests
// between live proxies may be lost.
func TestKeysRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFakeService(rapid.IntRange(2, 6).Draw(t, "targets"), rapid.IntRange(1, 3).Draw(t, "zones"))
		keys := []string{"a", "b", "c"}
		proxy := func(t *rapid.T) *fakeProxy {
			return f.proxies[rapid.IntRange(0, len(f.proxies)-1).Draw(t, "proxy")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				p := proxy(t)
				if !p.up {
					return
				}
				f.send(p, rapid.SampledFrom(keys).Draw(t, "key"),
					func() bool { return rapid.IntRange(0, 9).Draw(t, "loss") > 0 },
					rapid.SampledFrom([]string{"refused", "answered", "lost"}).Draw(t, "end"))
			},
			"crash": func(t *rapid.T) {
				proxy(t).up = false
			},
			"crash and restart a zone": func(t *rapid.T) {
				zone := proxy(t).target.Zone
				for _, p := range f.proxies {
					if p.target.Zone == zone {
						p.up = false
					}
				}
				if rapid.Bool().Draw(t, "restart") {
					for _, p := range f.proxies {
						if p.target.Zone == zone {
							f.restart(p)
						}
					}
				}
			},
			"observe": func(*rapid.T) { f.observe(f.proxies) },
			"restart": func(t *rapid.T) {
				if p := proxy(t); !p.up {
					f.restart(p)
				}
			},
			"stop and hand over": func(t *rapid.T) {
				p := proxy(t)
				if !p.up {
					return
				}
				// The records are kept while the other proxies see the target
				// leave.
				exported, since := p.records.Export(f.now), p.recordsSince
				p.up = false
				f.observe(f.proxies)
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second)
				f.restart(p)
				p.records.Import(f.now, exported)
				p.recordsSince = since
			},
			"join": func(t *rapid.T) {
				if len(f.proxies) < 8 {
					f.join(rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"), rapid.SampledFrom([]string{"0", "1"}).Draw(t, "zone"))
					f.observe(f.proxies)
				}
			},
			"shares": func(t *rapid.T) {
				f.setShares(hornbeamwell.Share(rapid.IntRange(0, int(hornbeamwell.FullShare)).Draw(t, "share")))
				f.observe(f.proxies)
			},
			"wait": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				for key, runs := range f.runs {
					if runs > 1 {
						t.Fatalf("key %s ran %d times", key, runs)
					}
				}
			},
		})
	})
}
