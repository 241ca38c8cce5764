package proxy

import (
	"fmt"
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// ErrStaleVersion means that a configuration is older than the one in force.
var ErrStaleVersion = errors.New("configuration is older than the one in force")

// table is the routing state that calls read. It is immutable once in force,
// except for the state behind its pointers.
type table struct {
	*route.Table
	services map[string]*serviceState
	rules    map[*route.Rule]*ruleState
}

// ruleState holds what the calls of a rule need.
type ruleState struct {
	*routeState
	// envelopePart holds the fields of an envelope that are constant for the
	// rule, for calls without a team.
	envelopePart string
	// shares are the services that share the calls, at least one.
	shares []serviceShare
	// totalWeight is the sum of the weights, greater than zero.
	totalWeight int
}

// serviceShare is a service and its weight among the services of a rule.
type serviceShare struct {
	weight  int
	service *serviceState
}

// goldenRatioConjugate distributes consecutive calls evenly over the shares.
const goldenRatioConjugate = 0.6180339887498949

// nextService returns the service of the next call. Calls are distributed by
// sequence number rather than at random, so that the weights hold for small
// numbers of calls too.
func (s *ruleState) nextService() *serviceState {
	if len(s.shares) == 1 {
		return s.shares[0].service
	}
	_, point := math.Modf(float64(s.calls.Add(1)) * goldenRatioConjugate)
	remaining := point * float64(s.totalWeight)
	for _, share := range s.shares {
		if remaining < float64(share.weight) {
			return share.service
		}
		remaining -= float64(share.weight)
	}
	return s.shares[0].service
}

// serviceState holds the targets of a service.
type serviceState struct {
	*route.Service
	// groups holds the candidates of each version for calls without a key. Neither
	// groups nor owners hold a target in an evacuated zone.
	groups map[string]*route.Group
	// owners holds the candidates of each version among which keys are
	// distributed.
	owners map[string][]*route.Candidate
	// targets holds every target of the service by id, including draining
	// ones.
	targets map[string]*route.Candidate
	// upstreams holds the state of each of these targets by id.
	upstreams map[string]*upstream
	// evidence is nil outside a move.
	evidence *evidence
	// budget limits the retries. It is kept across tables.
	budget *route.Budget
	// hedges is nil if calls are not hedged. It is kept across tables.
	hedges *serviceHedges
	// health holds the failure rate of this proxy's attempts at the targets of
	// the service. It is kept across tables.
	health *route.Health
	// incumbent is the version that receives the calls of an open service whose
	// shares no move has set. An evacuation does not change it.
	incumbent string
	// serving is the incumbent, or another version while all ready targets of the
	// incumbent are in evacuated zones.
	serving string
	// isEvacuated is true if the service has ready targets, all in evacuated zones.
	isEvacuated bool
}

// upstream holds this proxy's state of one target. It is kept across tables
// while the version of the target and the address of its proxy are the same.
type upstream struct {
	load   route.Load
	health route.Health
	// responses counts the target's responses.
	responses atomic.Uint64
	// stalledAfter is one more than the response count at which the target was
	// last found stalled, 0 if it never was.
	stalledAfter atomic.Uint64
	peer         *peer
	// envelopePart holds the fields of an envelope that are constant for the
	// target.
	envelopePart string
	// incarnation is the highest one that was listed. It is guarded by updateMu.
	incarnation uint64
}

func emptyTable() *table {
	return &table{Table: &route.Table{}}
}

// Update validates the configuration as a whole and puts it into force together
// with the targets. If its version is already in force with at least one route,
// Update does not read it again and puts only the targets into force. It returns
// ErrStaleVersion if the version is older than the one in force and an
// InvalidError if the configuration has faults. In both cases it changes
// nothing.
func (p *Proxy) Update(now time.Time, configuration *hornbeamwell.Configuration, targets []hornbeamwell.Target) error {
	p.updateMu.Lock()
	defer p.updateMu.Unlock()
	current := p.table.Load()
	if configuration.Version < current.Version {
		staleVersionsRefused.Inc()
		return fmt.Errorf("configuration version %d after %d: %w", configuration.Version, current.Version, ErrStaleVersion)
	}
	rules, hasTeams := current.Table, p.hasTeams.Load()
	if configuration.Version != current.Version || len(current.Rules) == 0 {
		built, err := route.NewTable(configuration)
		if err != nil {
			invalidVersionsRefused.Inc()
			return fmt.Errorf("validate configuration version %d: %w", configuration.Version, err)
		}
		rules, hasTeams = built, len(configuration.Teams) > 0
	}
	targets = p.targetCache.merge(now, targets)
	p.departures.expire(now)
	p.isZoneEvacuated = hasEvacuation(configuration, p.options.Zone)
	next := p.buildTable(current, rules, targets)
	assertTable(current, next)
	// The target beside this proxy may be cold at the end of an evacuation, so its limit
	// is set before calls are accepted again.
	p.configureCold(now, p.local.Load(), next)
	p.table.Store(next)
	p.applyEvacuations(now, current.Evacuated, next, configuration.Evacuations)
	p.askHealthIfDue()
	p.hasTeams.Store(hasTeams)
	p.applyOrder(p.local.Load())
	p.keys.observe(now, next, p.local.Load(), targets)
	if p.keys.shouldFetchHandover(now) {
		go p.fetchHandover()
	}
	p.peers.retain(targets)
	p.forgetRemoved(next)
	p.quotas.update(now, configuration.Teams, p.targetCache.quotaMembers())
	return nil
}

func (p *Proxy) buildTable(current *table, rules *route.Table, targets []hornbeamwell.Target) *table {
	next := &table{
		Table:    rules,
		services: make(map[string]*serviceState, len(rules.Services)),
		rules:    make(map[*route.Rule]*ruleState, len(rules.Rules)),
	}
	candidates := p.candidates(rules, targets)
	for name, service := range rules.Services {
		next.services[name] = p.buildService(current.services[name], service, candidates[name], rules.Evacuated)
	}
	for _, target := range targets {
		if service := next.services[target.Service]; service != nil {
			u := p.upstreams[target.ID]
			service.targets[target.ID] = &route.Candidate{Target: target, Load: &u.load, Health: &u.health}
			service.upstreams[target.ID] = u
		}
	}
	for _, rule := range rules.Rules {
		next.rules[rule] = p.buildRule(rule, next)
	}
	p.distributeRetryReserve(next, targets)
	return next
}

func (p *Proxy) buildRule(rule *route.Rule, next *table) *ruleState {
	state := &ruleState{routeState: p.routeState(rule.Name), envelopePart: rulePart(rule, rule.Rank)}
	for _, t := range rule.Services {
		state.shares = append(state.shares, serviceShare{weight: t.Weight, service: next.services[t.Name]})
		state.totalWeight += t.Weight
	}
	return state
}

// distributeRetryReserve sets this proxy's part of the retry reserve of each
// service.
func (p *Proxy) distributeRetryReserve(next *table, targets []hornbeamwell.Target) {
	proxies := make(map[netip.AddrPort]bool, len(targets))
	for _, t := range targets {
		proxies[t.Exit] = true
	}
	reserve := p.options.Retries.reservePerProxy(len(proxies))
	for _, service := range next.services {
		service.budget.SetReserve(reserve)
	}
}

// budget returns the retry budget of the service. The caller holds updateMu.
func (p *Proxy) budget(service string) *route.Budget {
	b := p.budgets[service]
	if b == nil {
		b = route.NewBudget(p.options.Retries.Ratio, 0)
		p.budgets[service] = b
	}
	return b
}

// serviceHealth returns the health of the service. The caller holds updateMu.
func (p *Proxy) serviceHealth(service string) *route.Health {
	h := p.healths[service]
	if h == nil {
		h = &route.Health{}
		p.healths[service] = h
	}
	return h
}

// candidates returns the ready targets by service and version. It creates the
// state of new targets and drops that of targets that are not among the given
// ones.
func (p *Proxy) candidates(rules *route.Table, targets []hornbeamwell.Target) map[string]map[string][]*route.Candidate {
	kept := make(map[string]*upstream, len(targets))
	found := make(map[string]map[string][]*route.Candidate)
	for _, target := range targets {
		u := p.upstreams[target.ID]
		if part := targetPart(target); u == nil || u.peer.address != target.Exit || u.envelopePart != part {
			u = &upstream{peer: p.peers.get(target.Exit), envelopePart: part}
			u.health.ReportLeaving(p.departures.get(target.ID))
		}
		kept[target.ID] = u
		u.assumeCold(target, rules.Services[target.Service])
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

func (p *Proxy) buildService(before *serviceState, service *route.Service, ready map[string][]*route.Candidate, evacuated map[string]bool) *serviceState {
	versions := availableVersions(ready, evacuated)
	s := &serviceState{
		budget:    p.budget(service.Name),
		hedges:    p.serviceHedges(service.Name),
		health:    p.serviceHealth(service.Name),
		incumbent: incumbentVersion(before, ready),
		Service:   service,
		groups:    make(map[string]*route.Group, len(versions)),
		owners:    versions,
		targets:   make(map[string]*route.Candidate),
		upstreams: make(map[string]*upstream),

		isEvacuated: len(ready) > 0 && len(versions) == 0,
	}
	s.serving = s.incumbent
	if len(versions[s.incumbent]) == 0 {
		s.serving = incumbentVersion(nil, versions)
	}
	for version, candidates := range versions {
		if version == service.Canary() {
			candidates = route.Subset(service.Move.ID, service.CanaryShare(), candidates)
		}
		s.groups[version] = route.NewGroup(p.options.Zone, candidates)
	}
	s.evidence = evidenceFor(before, service)
	return s
}

// incumbentVersion returns the version that receives the calls of an open
// service whose shares no move has set: the previous incumbent while it has a
// ready target, otherwise the version of the ready target with the lowest
// incarnation.
func incumbentVersion(before *serviceState, versions map[string][]*route.Candidate) string {
	if before != nil && len(versions[before.incumbent]) > 0 {
		return before.incumbent
	}
	incumbent, first := "", uint64(math.MaxUint64)
	for version, candidates := range versions {
		for _, c := range candidates {
			if c.Incarnation < first || c.Incarnation == first && version < incumbent {
				incumbent, first = version, c.Incarnation
			}
		}
	}
	return incumbent
}

// assertTable checks the invariants of a change of the table.
func assertTable(current, next *table) {
	if next.Version < current.Version {
		hornbeamwell.ReportViolation("no_older_version", "version %d after %d", next.Version, current.Version)
	}
	for _, rule := range next.Rules {
		for _, share := range next.rules[rule].shares {
			if share.service == nil {
				hornbeamwell.ReportViolation("no_route_without_resource", "route %q has no service %q", rule.Name, rule.Service)
			}
		}
	}
	for name, service := range next.services {
		if share := service.CanaryShare(); share > 0 && service.Move.Phase == hornbeamwell.PhaseTakingBack {
			hornbeamwell.ReportViolation("share_bound", "service %q has a canary share of %d while its move is taken back", name, share)
		}
	}
}
