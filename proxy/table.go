package proxy

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// ErrOldVersion means that a configuration is older than the one in force.
var ErrOldVersion = errors.New("the configuration is older than the one in force")

// table is what traffic reads. It never changes once it is in force.
type table struct {
	*route.Table
	services map[string]*serviceState
	rules    map[*route.Rule]*ruleState
}

// ruleState is what a call of a route needs besides its rule.
type ruleState struct {
	*routeState
	// part is the rule's part of the envelopes.
	part    string
	service *serviceState
}

// serviceState is the targets of a service.
type serviceState struct {
	*route.Service
	groups map[string]*route.Group
	// owners holds the candidates of each version among which keys are spread.
	owners map[string][]*route.Candidate
	// targets holds every listed target, those that drain included.
	targets map[string]*route.Candidate
	// upstreams holds the state of each candidate of the groups by id.
	upstreams map[string]*upstream
	// evidence is nil outside a move.
	evidence *evidence
}

// upstream is what this proxy knows of one target. It outlives the tables.
type upstream struct {
	load   route.Load
	health route.Health
	// answers counts the target's answers.
	answers atomic.Uint64
	// stuckAfter is one more than the answers after which the target was last
	// found stuck, 0 if it never was.
	stuckAfter atomic.Uint64
	peer       *peer
	// part is the target's part of the envelopes.
	part string
}

func emptyTable() *table {
	return &table{Table: &route.Table{}}
}

// Update validates the configuration as a whole and puts it in force with the
// targets. It returns ErrOldVersion for a version below the one in force and
// an InvalidError for a configuration with a fault; either changes nothing.
func (p *Proxy) Update(now time.Time, configuration *hornbeamwell.Configuration, targets []hornbeamwell.Target) error {
	p.updateMu.Lock()
	defer p.updateMu.Unlock()
	current := p.table.Load()
	if configuration.Version < current.Version {
		oldVersionsRefused.Inc()
		return fmt.Errorf("version %d after %d: %w", configuration.Version, current.Version, ErrOldVersion)
	}
	rules := current.Table
	if configuration.Version != current.Version || len(current.Rules) == 0 {
		built, err := route.NewTable(configuration)
		if err != nil {
			invalidVersionsRefused.Inc()
			return fmt.Errorf("version %d: %w", configuration.Version, err)
		}
		rules = built
	}
	next := p.buildTable(current, rules, targets)
	assertTable(current, next)
	p.table.Store(next)
	p.keys.observe(now, next, p.local.Load(), targets)
	if p.keys.mustAsk(now) {
		go p.takeOver()
	}
	p.peers.retain(targets)
	return nil
}

func (p *Proxy) buildTable(current *table, rules *route.Table, targets []hornbeamwell.Target) *table {
	next := &table{
		Table:    rules,
		services: make(map[string]*serviceState, len(rules.Services)),
		rules:    make(map[*route.Rule]*ruleState, len(rules.Rules)),
	}
	candidates := p.candidates(targets)
	for name, service := range rules.Services {
		next.services[name] = p.buildService(current.services[name], service, candidates[name])
	}
	for _, target := range targets {
		if service := next.services[target.Service]; service != nil {
			u := p.upstreams[target.ID]
			service.targets[target.ID] = &route.Candidate{Target: target, Load: &u.load, Health: &u.health}
			service.upstreams[target.ID] = u
		}
	}
	for _, rule := range rules.Rules {
		next.rules[rule] = &ruleState{routeState: p.routeState(rule.Name), part: rulePart(rule), service: next.services[rule.Service]}
	}
	return next
}

// candidates returns the targets that may receive calls, by service and
// version, and forgets the state of targets that have gone.
func (p *Proxy) candidates(targets []hornbeamwell.Target) map[string]map[string][]*route.Candidate {
	kept := make(map[string]*upstream, len(targets))
	found := make(map[string]map[string][]*route.Candidate)
	for _, target := range targets {
		u := p.upstreams[target.ID]
		if part := targetPart(target); u == nil || u.peer.address != target.Exit || u.part != part {
			u = &upstream{peer: p.peers.get(target.Exit), part: part}
		}
		kept[target.ID] = u
		if target.State != hornbeamwell.TargetReady {
			continue
		}
		versions := found[target.Service]
		if versions == nil {
			versions = make(map[string][]*route.Candidate)
			found[target.Service] = versions
		}
		versions[target.Version] = append(versions[target.Version],
			&route.Candidate{Target: target, Load: &u.load, Health: &u.health})
	}
	p.upstreams = kept
	return found
}

func (p *Proxy) buildService(before *serviceState, service *route.Service, versions map[string][]*route.Candidate) *serviceState {
	s := &serviceState{
		Service:   service,
		groups:    make(map[string]*route.Group, len(versions)),
		owners:    versions,
		targets:   make(map[string]*route.Candidate),
		upstreams: make(map[string]*upstream),
	}
	for version, candidates := range versions {
		if version == service.Unproved() {
			candidates = route.Concentrate(service.Move.ID, service.UnprovedShare(), candidates)
		}
		s.groups[version] = route.NewGroup(p.options.Zone, candidates)
	}
	s.evidence = nextEvidence(before, service)
	return s
}

// assertTable checks the invariants of a change of the table.
func assertTable(current, next *table) {
	if next.Version < current.Version {
		hornbeamwell.Violated("no_older_version", "version %d after %d", next.Version, current.Version)
	}
	for _, rule := range next.Rules {
		if state := next.rules[rule]; state == nil || state.service == nil {
			hornbeamwell.Violated("no_route_without_resource", "route %q has no service %q", rule.Name, rule.Service)
		}
	}
	for name, service := range next.services {
		if share := service.UnprovedShare(); share > 0 && service.Move.Phase == hornbeamwell.PhaseTakingBack {
			hornbeamwell.Violated("share_bound", "service %q gives share %d while its move is taken back", name, share)
		}
	}
}
