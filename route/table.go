package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/hornbeamwell/hornbeamwell"
)

// Table is a validated configuration. It is immutable.
type Table struct {
	Version hornbeamwell.ConfigVersion
	// Rules are sorted by route name. Every rule names a service of Services.
	Rules []*Rule
	// Services are the services by name.
	Services map[string]*Service
	// Evacuated holds the evacuated zones. No call may be sent to their targets.
	Evacuated map[string]bool
	// RequiresKeys is true where the configuration has teams, also if none of them has
	// a key. A call on a rule that is not public then needs a key of Teams.
	RequiresKeys bool
	// Teams are the teams by the hashes of their API keys.
	Teams map[hornbeamwell.KeyHash]*hornbeamwell.Team
	// byHost holds the rules of each host in the order in which they are
	// matched. The empty host matches every host.
	byHost map[string][]*Rule
}

// Rule is a route with the services that it refers to.
type Rule struct {
	hornbeamwell.Route
	// Services are the services that share the calls, at least one.
	Services []WeightedService
	// Rank orders the calls of a class at a target. It is the priority, or
	// UrgentRank as set by assignRanks. The calls of a team have the priority of the
	// team instead.
	Rank int
}

// WeightedService is a service with its weight among those of a rule.
type WeightedService struct {
	*Service
	// Weight is relative to the other weights. It is not negative.
	Weight int
}

// NewTable validates the configuration and builds its table. If there are
// faults, it returns an InvalidError with the first fault of each service and
// all faults of each route.
func NewTable(configuration *hornbeamwell.Configuration) (*Table, error) {
	t := &Table{
		Version:  configuration.Version,
		Services: make(map[string]*Service, len(configuration.Services)),
		byHost:   make(map[string][]*Rule),

		Evacuated:    evacuatedZones(configuration.Evacuations),
		RequiresKeys: len(configuration.Teams) > 0,
	}
	var faults faultList
	for i, service := range configuration.Services {
		t.addService(&faults, fmt.Sprintf("services[%d]", i), configuration, service)
	}
	for i, r := range configuration.Routes {
		t.addRoute(&faults, fmt.Sprintf("routes[%d]", i), r)
	}
	t.addTeams(&faults, configuration.Teams)
	if len(faults) > 0 {
		return nil, &hornbeamwell.InvalidError{Faults: faults}
	}
	for _, rules := range t.byHost {
		slices.SortFunc(rules, compareRules)
	}
	t.assignRanks()
	slices.SortFunc(t.Rules, func(a, b *Rule) int { return strings.Compare(a.Name, b.Name) })
	return t, nil
}

func evacuatedZones(evacuations []hornbeamwell.Evacuation) map[string]bool {
	zones := make(map[string]bool, len(evacuations))
	for _, e := range evacuations {
		zones[e.Zone] = true
	}
	return zones
}

type faultList []hornbeamwell.Fault

func (f *faultList) add(field, problem string) {
	*f = append(*f, hornbeamwell.Fault{Field: field, Problem: problem})
}

func (t *Table) addService(faults *faultList, field string, configuration *hornbeamwell.Configuration, service hornbeamwell.Service) {
	if _, isDuplicate := t.Services[service.Name]; isDuplicate || service.Name == "" {
		faults.add(field+".name", fmt.Sprintf("the service name %q is empty or a duplicate; give each service a unique name", service.Name))
		return
	}
	if len(service.Versions) == 0 && service.IsOpen {
		t.Services[service.Name] = newService(service, nil)
		return
	}
	if len(service.Versions) == 0 {
		faults.add(field+".versions", "the service has no version; add at least one")
		return
	}
	var total int
	for _, v := range service.Versions {
		total += int(v.Share)
	}
	if total != int(hornbeamwell.FullShare) {
		faults.add(field+".versions", fmt.Sprintf("the shares add up to %d basis points; make them add up to %d", total, hornbeamwell.FullShare))
		return
	}
	move, open := configuration.OpenMove(service.Name)
	if !open {
		t.Services[service.Name] = newService(service, nil)
		return
	}
	_, fromFound := service.Version(move.From)
	_, toFound := service.Version(move.To)
	if !fromFound || !toFound || move.From == move.To || move.Share > hornbeamwell.FullShare {
		faults.add(field+".move", fmt.Sprintf("move %q goes from %q to %q with share %d; name two versions of the service and a share of at most %d",
			move.ID, move.From, move.To, move.Share, hornbeamwell.FullShare))
		return
	}
	t.Services[service.Name] = newService(service, &move)
}

func (t *Table) addRoute(faults *faultList, field string, r hornbeamwell.Route) {
	before := len(*faults)
	services := t.weightedServices(faults, field, r)
	if !strings.HasPrefix(r.PathPrefix, "/") {
		faults.add(field+".path_prefix", fmt.Sprintf("the prefix %q does not start with a slash", r.PathPrefix))
	}
	if r.Timeout <= 0 {
		faults.add(field+".timeout", fmt.Sprintf("the timeout %v is not greater than zero", r.Timeout))
	}
	if r.MaxBodyBytes <= 0 {
		faults.add(field+".max_body_bytes", fmt.Sprintf("the limit %d is not greater than zero", r.MaxBodyBytes))
	}
	if r.MaxAttempts < 1 {
		faults.add(field+".max_attempts", fmt.Sprintf("the limit %d is less than one", r.MaxAttempts))
	}
	if r.Class != hornbeamwell.ClassInteractive && r.Class != hornbeamwell.ClassBulk {
		faults.add(field+".class", fmt.Sprintf("the class %q is unknown; use interactive or bulk", r.Class))
	}
	if len(*faults) > before {
		return
	}
	rule := &Rule{Route: r, Services: services}
	t.Rules = append(t.Rules, rule)
	host := strings.ToLower(r.Host)
	t.byHost[host] = append(t.byHost[host], rule)
}

// addTeams sets Teams. The faults contain neither keys nor hashes.
func (t *Table) addTeams(faults *faultList, teams []hornbeamwell.Team) {
	if len(teams) == 0 {
		return
	}
	t.Teams = make(map[hornbeamwell.KeyHash]*hornbeamwell.Team, len(teams))
	for i := range teams {
		team := &teams[i]
		if team.Priority < 0 {
			faults.add(fmt.Sprintf("teams[%d].priority", i), fmt.Sprintf("the priority %d of team %q is negative", team.Priority, team.Name))
		}
		for _, hash := range team.KeyHashes {
			if other := t.Teams[hash]; other != nil {
				faults.add(fmt.Sprintf("teams[%d].key_hashes", i), fmt.Sprintf("the teams %q and %q share a key; give each team keys of its own", other.Name, team.Name))
			}
			t.Teams[hash] = team
		}
	}
}

// Team returns the team with the API key, or nil. No team has the empty key. The lookup
// is by hash, so that its duration says nothing about the keys of teams.
func (t *Table) Team(key string) *hornbeamwell.Team {
	if key == "" {
		return nil
	}
	return t.Teams[hornbeamwell.HashKey(key)]
}

// UrgentRank is the rank that precedes all others. It is for calls such as those
// that targets make while they hold a slot for their own caller.
const UrgentRank = -1

// assignRanks sets the ranks of the rules. Priority 0 is urgent only if other routes
// have another priority. Where calls need keys, only a public route can be urgent, as
// the calls that targets make use these; it then is urgent also if any other route
// needs a key. The calls of a team are never urgent, whatever its priority.
func (t *Table) assignRanks() {
	isRanked := slices.ContainsFunc(t.Rules, func(r *Rule) bool { return r.Priority > 0 || t.RequiresKey(r) })
	for _, r := range t.Rules {
		r.Rank = r.Priority
		if isRanked && r.Priority == 0 && !t.RequiresKey(r) {
			r.Rank = UrgentRank
		}
	}
}

// RequiresKey reports whether the calls of the rule need a key.
func (t *Table) RequiresKey(r *Rule) bool { return t.RequiresKeys && !r.IsPublic }

// weightedServices returns the services that share the calls of the route. It
// adds a fault for each unknown service, and one if no weight is above zero.
func (t *Table) weightedServices(faults *faultList, field string, r hornbeamwell.Route) []WeightedService {
	weighted := r.WeightedServices()
	services := make([]WeightedService, 0, len(weighted))
	total := 0
	for _, w := range weighted {
		service, found := t.Services[w.Service]
		if !found {
			faults.add(field+".service", fmt.Sprintf("service %q is not in this configuration; add it or change the route", w.Service))
		}
		total += max(w.Weight, 0)
		services = append(services, WeightedService{Service: service, Weight: max(w.Weight, 0)})
	}
	if total == 0 {
		faults.add(field+".split", "no weight is greater than zero; set the weight of at least one service")
	}
	return services
}

// compareRules orders rules by decreasing prefix length. Of rules with prefixes
// of the same length, those with methods come first.
func compareRules(a, b *Rule) int {
	return cmp.Or(
		cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
		cmp.Compare(min(len(b.Methods), 1), min(len(a.Methods), 1)),
		strings.Compare(a.Name, b.Name),
	)
}
