package review

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/catalog"
	"github.com/hornbeamwell/hornbeamwell/quota"
)

// Kind is the type of a finding.
type Kind string

// Kinds of findings.
const (
	// KindNeverMatches is an entry that has no effect on any call.
	KindNeverMatches Kind = "never_matches"
	// KindContradiction is a limit that another one makes pointless.
	KindContradiction Kind = "contradiction"
)

// Finding is an entry that the control instances accept although it can't do what it
// says.
type Finding struct {
	Kind Kind
	// Field is the path of the entry, such as routes[2].timeout.
	Field string
	// Problem contains neither keys nor hashes.
	Problem string
}

// Facts are what findings depend on besides the configuration.
type Facts struct {
	// TargetCounts holds the number of targets that take calls by service, nil where
	// they are not known.
	TargetCounts map[string]int
	// Bounds are the bounds that quotas are enforced with.
	Bounds quota.Bounds
}

// Findings returns the findings of resources that catalog.CheckApply accepts: those of
// services, then of routes, then of teams, each in the order of the resources.
func Findings(resources catalog.Resources, facts Facts) []Finding {
	var found findings
	found.addUnusedServices(resources)
	found.addRoutes(resources.Routes, facts)
	found.addTeams(resources.Teams, facts.Bounds)
	return found.list
}

type findings struct {
	list []Finding
}

func (f *findings) add(kind Kind, field, format string, args ...any) {
	f.list = append(f.list, Finding{Kind: kind, Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (f *findings) addUnusedServices(resources catalog.Resources) {
	used := map[string]bool{}
	for i := range resources.Routes {
		for _, w := range resources.Routes[i].WeightedServices() {
			used[w.Service] = true
		}
	}
	for i, s := range resources.Services {
		if !used[s.Name] {
			f.add(KindNeverMatches, fmt.Sprintf("services[%d]", i), "no route uses the service %q", s.Name)
		}
	}
}

func (f *findings) addRoutes(routes []hornbeamwell.Route, facts Facts) {
	shadows := findShadows(routes)
	for i, r := range routes {
		field := fmt.Sprintf("routes[%d]", i)
		if strings.HasSuffix(r.Host, ".") {
			f.add(KindNeverMatches, field+".host", "%q ends with a dot, which is removed from the host of a call before the match", r.Host)
		}
		if shadow := shadows[i]; shadow != "" {
			f.add(KindNeverMatches, field, "%s", shadow)
		}
		for j, w := range r.Split {
			if w.Weight == 0 {
				f.add(KindNeverMatches, fmt.Sprintf("%s.split[%d].weight", field, j), "is 0, so that %q gets no call of this route", w.Service)
			}
		}
		if r.LatencyObjective > r.Timeout {
			f.add(KindContradiction, field+".latency_objective", "%s is above the timeout %s", r.LatencyObjective, r.Timeout)
		}
		f.addAttempts(field, r, facts.TargetCounts)
	}
}

// addAttempts finds more attempts than targets. A service without a known target may
// get its first ones later, so nothing follows from their number.
func (f *findings) addAttempts(field string, r hornbeamwell.Route, counts map[string]int) {
	for _, w := range r.WeightedServices() {
		if count := counts[w.Service]; w.Weight > 0 && count > 0 && r.MaxAttempts > count {
			f.add(KindContradiction, field+".max_attempts", "%d is above the number of known targets of %q, %d", r.MaxAttempts, w.Service, count)
		}
	}
}

func (f *findings) addTeams(teams []hornbeamwell.Team, bounds quota.Bounds) {
	for i, t := range teams {
		field := fmt.Sprintf("teams[%d]", i)
		if len(t.KeyHashes) == 0 {
			f.add(KindNeverMatches, field+".key_hashes", "is empty, so that no call is of the team %q", t.Name)
		}
		if !t.Quota.IsLimited() {
			if t.Quota.Burst > 0 {
				f.add(KindContradiction, field+".burst", "%g has no effect, since 0 calls_per_second is no limit", t.Quota.Burst)
			}
			continue
		}
		// A burst that the rate needs more than a window to earn again is what limits
		// the team, not the rate.
		let := bounds.Limit(hornbeamwell.Quota{PerSecond: t.Quota.PerSecond})
		if t.Quota.Burst > let {
			f.add(KindContradiction, field+".burst", "%g is above the %g calls that %g calls_per_second let through in a window of %s",
				t.Quota.Burst, let, t.Quota.PerSecond, bounds.Window)
		}
	}
}

// findShadows returns, by the index of a route, why it can't match some or any call. The
// routes of one host and prefix are tried in the order of package route: those with
// methods first, then by name. A slash at the end of a prefix makes no difference.
func findShadows(routes []hornbeamwell.Route) map[int]string {
	order := make([]int, len(routes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(min(len(routes[b].Methods), 1), min(len(routes[a].Methods), 1)),
			strings.Compare(routes[a].Name, routes[b].Name),
		)
	})
	// taken holds the first route by host, prefix and method. The empty method stands
	// for all methods.
	taken := map[[3]string]string{}
	shadows := map[int]string{}
	for _, i := range order {
		r := routes[i]
		methods := r.Methods
		if len(methods) == 0 {
			methods = []string{""}
		}
		var never []string
		first := ""
		for _, method := range methods {
			key := [3]string{strings.ToLower(r.Host), r.PathPrefix, method}
			if other, isTaken := taken[key]; isTaken {
				never, first = append(never, method), other
				continue
			}
			taken[key] = r.Name
		}
		switch {
		case len(never) == len(methods):
			shadows[i] = fmt.Sprintf("never matches, since the route %q of the same host, prefix and methods precedes it", first)
		case len(never) > 0:
			shadows[i] = fmt.Sprintf("never matches %s, since the route %q of the same host and prefix precedes it", strings.Join(never, ", "), first)
		}
	}
	return shadows
}
