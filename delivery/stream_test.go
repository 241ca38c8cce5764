package delivery

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

// stream runs one session over a network that drops, doubles, delays and
// crosses updates.
type stream struct {
	interests []string
	edition   *edition
	rolls     *rollMaker
	wanted    wantedState
	version   int
	// published holds each configuration by version.
	published map[hornbeamwell.ConfigVersion]*hornbeamwell.Configuration
	targets   map[string]hornbeamwell.Target
	session   *session
	maker     *updateMaker
	receiver  *Subscriber
	applied   Update
	refuse    bool
	wire      []wire.Update
}

func newStream(t *rapid.T) *stream {
	s := &stream{
		rolls:     newRollMaker(1),
		published: map[hornbeamwell.ConfigVersion]*hornbeamwell.Configuration{},
		targets:   map[string]hornbeamwell.Target{},
		maker:     newUpdateMaker(),
	}
	if rapid.Bool().Draw(t, "has interests") {
		s.interests = []string{"s1", "s3"}
	}
	s.receiver = NewSubscriber(SubscriberOptions{ID: "p", Interests: s.interests, Apply: s.apply})
	s.publish(t)
	s.session = newSession(time.Now(), nil, s.receiver.request())
	s.session.want(s.wanted)
	return s
}

// apply checks that the whole state is that of one published version.
func (s *stream) apply(_ time.Time, update Update) error {
	if s.refuse {
		return fmt.Errorf("refused by the test")
	}
	whole, found := s.published[update.Configuration.Version]
	if !found && update.Configuration.Version > 0 {
		panic(fmt.Sprintf("version %d was never published", update.Configuration.Version))
	}
	if found && len(s.interests) == 0 && !reflect.DeepEqual(whole, update.Configuration) {
		panic(fmt.Sprintf("version %d differs from the one published", update.Configuration.Version))
	}
	for _, r := range update.Configuration.Routes {
		if !slices.ContainsFunc(whole.Routes, func(o hornbeamwell.Route) bool { return reflect.DeepEqual(o, r) }) {
			panic(fmt.Sprintf("route %s of version %d differs from the one published", r.Name, update.Configuration.Version))
		}
	}
	s.applied = update
	return nil
}

func (s *stream) publish(t *rapid.T) {
	s.version += rapid.IntRange(1, 3).Draw(t, "versions")
	c := &hornbeamwell.Configuration{Version: hornbeamwell.ConfigVersion(s.version)}
	for _, name := range []string{"s1", "s2", "s3", "s4"} {
		if !rapid.Bool().Draw(t, name) {
			continue
		}
		c.Services = append(c.Services, hornbeamwell.Service{Name: name, Versions: []hornbeamwell.TargetVersion{{Name: "v1", Share: 10000}}})
		prefix := rapid.SampledFrom([]string{"/a", "/a/b", "/c", "/" + name}).Draw(t, "prefix")
		c.Routes = append(c.Routes, hornbeamwell.Route{Name: "r" + name, PathPrefix: prefix, Service: name, Timeout: time.Second})
	}
	next, err := newEdition(s.edition, c)
	if err != nil {
		t.Fatal(err)
	}
	if s.edition != nil {
		s.edition.supersede()
	}
	s.published[c.Version] = c
	s.edition = next
	s.changeTargets(t)
}

func (s *stream) changeTargets(t *rapid.T) {
	id := rapid.SampledFrom([]string{"t1", "t2", "t3", "t4", "t5"}).Draw(t, "target")
	if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
		delete(s.targets, id)
	} else {
		changed := sampleTarget(id, rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(t, "service"), s.targets[id].Sequence+1)
		changed.State = rapid.SampledFrom([]hornbeamwell.TargetState{hornbeamwell.TargetReady, hornbeamwell.TargetGone}).Draw(t, "state")
		s.targets[id] = changed
	}
	roll, err := s.rolls.make(uint64(len(s.wire)), s.targets, map[string]bool{id: true})
	if err != nil {
		t.Fatal(err)
	}
	s.wanted = wantedState{edition: s.edition, roll: roll}
	if s.session != nil {
		s.session.want(s.wanted)
	}
}

func (s *stream) send() {
	if update, _ := s.session.take(s.maker); update != nil {
		s.wire = append(s.wire, *update)
	}
}

func (s *stream) deliver(update wire.Update) {
	if resync := s.receiver.update(time.Now(), update); resync != nil {
		s.session.holds(*resync)
	}
}

// reopen starts a new session with a source that knows nothing of the old one.
func (s *stream) reopen(history *history[*edition], rolls *history[*roll]) {
	s.session = newSession(time.Now(), nil, s.receiver.request())
	s.session.resume(history, rolls, s.wanted)
	if s.session.needsGroups() {
		s.session.holds(s.receiver.resync())
	}
}

// settle delivers everything in order until nothing is left to send.
func (s *stream) settle(t *rapid.T) {
	s.refuse = false
	s.session.holds(s.receiver.resync())
	s.publish(t)
	for range 10 {
		s.send()
		waiting := s.wire
		s.wire = nil
		for _, update := range waiting {
			s.deliver(update)
		}
	}
	closed := s.edition.closureOf(s.interests)
	held := s.receiver.replica.held
	if held.configuration.version != closed.view.version || held.configuration.digest != closed.view.digest {
		t.Fatalf("version %d is held, not %d", held.configuration.version, closed.view.version)
	}
	if want := s.wanted.roll.of(closed.services); held.presence.digest != want.digest {
		t.Fatalf("targets %v are held, not those wanted", s.applied.Targets)
	}
}

// TestStreamOverAFaultyNetwork checks that late, doubled, crossed and lost
// updates never apply wrongly, in part or backwards, and that the subscriber
// gets the newest state in the end.
func TestStreamOverAFaultyNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStream(t)
		editions, rolls := newHistory[*edition](4), newHistory[*roll](4)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				s.publish(t)
				editions.add(s.edition.whole.version, s.edition)
				rolls.add(s.wanted.roll.whole.version, s.wanted.roll)
			},
			"targets": s.changeTargets,
			"send":    func(*rapid.T) { s.send() },
			"deliver": func(t *rapid.T) {
				if len(s.wire) == 0 {
					return
				}
				i := rapid.IntRange(0, len(s.wire)-1).Draw(t, "which")
				s.deliver(s.wire[i])
				if rapid.Bool().Draw(t, "gone after") {
					s.wire = slices.Delete(s.wire, i, i+1)
				}
			},
			"refuse": func(t *rapid.T) { s.refuse = rapid.Bool().Draw(t, "refuse") },
			"reopen": func(*rapid.T) { s.reopen(editions, rolls) },
			"interest": func(*rapid.T) {
				if len(s.interests) == 0 {
					return
				}
				s.receiver.AddInterest("s2")
				s.interests = s.receiver.interests
				s.session.setInterests(s.interests)
			},
		})
		s.settle(t)
	})
}
