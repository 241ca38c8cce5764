package catalog

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// maxNameBytes is the maximum length of service, version and route names.
	maxNameBytes = 63
	// MaxAttemptsLimit is the maximum of a route's MaxAttempts.
	MaxAttemptsLimit = 5
	// MaxWeight is the maximum weight of a service in a route's split. The sum of the
	// weights of thousands of services does not overflow.
	MaxWeight = 1 << 50
)

// faultList collects the faults of a command.
type faultList struct {
	faults []hornbeamwell.Fault
}

func (f *faultList) add(field, format string, args ...any) {
	f.faults = append(f.faults, hornbeamwell.Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
}

// indexedField returns the field path of a list element.
func indexedField(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }

func (f *faultList) err() error {
	if len(f.faults) == 0 {
		return nil
	}
	return &hornbeamwell.InvalidError{Faults: f.faults}
}

// CheckApply checks the resources that are to replace the current ones.
// The versions of open moves must keep their shares. It returns a
// *hornbeamwell.InvalidError with every fault, or nil.
func CheckApply(current *hornbeamwell.Configuration, wanted Resources) error {
	var faults faultList
	names := faults.checkServices(wanted.Services)
	faults.checkOpenMoves(current, wanted.Services)
	faults.checkRoutes(wanted.Routes, names)
	faults.checkTeams(wanted.Teams)
	return faults.err()
}

// checkResources is CheckApply without the check of open moves. It is for
// replacements, which end the open moves that they invalidate.
func checkResources(wanted Resources) error {
	var faults faultList
	faults.checkRoutes(wanted.Routes, faults.checkServices(wanted.Services))
	faults.checkTeams(wanted.Teams)
	return faults.err()
}

// checkServices checks the services and returns the set of their names.
func (f *faultList) checkServices(services []hornbeamwell.Service) map[string]bool {
	names := map[string]bool{}
	for i, s := range services {
		field := indexedField("services", i)
		f.checkName(field+".name", s.Name)
		if names[s.Name] {
			f.add(field+".name", "%q is named twice", s.Name)
		}
		names[s.Name] = true
		f.checkVersions(field, s)
		f.checkCold(field, s)
	}
	return names
}

// checkCold checks the limits of a service for its cold targets.
func (f *faultList) checkCold(field string, s hornbeamwell.Service) {
	if s.ColdStart < 0 {
		f.add(field+".cold_start", "%s is below 0", s.ColdStart)
	}
	if s.ColdRate < 0 || math.IsNaN(s.ColdRate) || math.IsInf(s.ColdRate, 0) {
		f.add(field+".cold_rate", "%v is not a finite number of at least 0", s.ColdRate)
	}
	if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
		f.add(field+".health_path", "%q does not start with a slash", s.HealthPath)
	}
}

const (
	nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-_."
	// versionCharacters are those of the names that operators give to software, such as
	// 2.0.0-RC1+build.7.
	versionCharacters = nameCharacters + "ABCDEFGHIJKLMNOPQRSTUVWXYZ+~"
)

func (f *faultList) checkName(field, name string) {
	f.checkCharacters(field, name, nameCharacters, "a-z, 0-9, '-', '_' and '.'")
}

// checkVersion refuses names that no version may have.
func (f *faultList) checkVersion(field, name string) {
	f.checkCharacters(field, name, versionCharacters, "a-z, A-Z, 0-9, '-', '_', '.', '+' and '~'")
}

func (f *faultList) checkCharacters(field, name, allowed, description string) {
	if name == "" {
		f.add(field, "is empty")
		return
	}
	if len(name) > maxNameBytes {
		f.add(field, "%q is longer than %d bytes", name, maxNameBytes)
	}
	for _, r := range name {
		if !strings.ContainsRune(allowed, r) {
			f.add(field, "%q holds %q; use %s", name, r, description)
			return
		}
	}
}

func (f *faultList) checkVersions(field string, s hornbeamwell.Service) {
	if len(s.Versions) == 0 && s.IsOpen {
		return
	}
	if len(s.Versions) == 0 {
		f.add(field+".versions", "is empty; name at least one version")
		return
	}
	seen := map[string]bool{}
	total := 0
	for i, v := range s.Versions {
		nameField := fmt.Sprintf("%s.versions[%d].name", field, i)
		f.checkVersion(nameField, v.Name)
		if seen[v.Name] {
			f.add(nameField, "%q is named twice", v.Name)
		}
		seen[v.Name] = true
		total += int(v.Share)
	}
	if total != int(hornbeamwell.FullShare) {
		f.add(field+".versions", "the shares add up to %d instead of %d", total, hornbeamwell.FullShare)
	}
}

// checkOpenMoves refuses changes to the versions that an open move uses.
func (f *faultList) checkOpenMoves(current *hornbeamwell.Configuration, services []hornbeamwell.Service) {
	for _, m := range current.Moves {
		before, _ := current.Service(m.Service)
		i := slices.IndexFunc(services, func(s hornbeamwell.Service) bool { return s.Name == m.Service })
		if i < 0 {
			f.add("services", "the service %s has the open move %s; take it back before removing the service", m.Service, m.ID)
			continue
		}
		for _, name := range []string{m.From, m.To} {
			was, _ := before.Version(name)
			is, found := services[i].Version(name)
			if !found || is.Share != was.Share {
				f.add(fmt.Sprintf("services[%d].versions", i), "the open move %s needs the version %s with its share %d", m.ID, name, was.Share)
			}
		}
	}
}

func (f *faultList) checkRoutes(routes []hornbeamwell.Route, services map[string]bool) {
	names := map[string]bool{}
	matches := map[string]string{}
	for i, r := range routes {
		field := indexedField("routes", i)
		f.checkName(field+".name", r.Name)
		if names[r.Name] {
			f.add(field+".name", "%q is named twice", r.Name)
		}
		names[r.Name] = true
		f.checkRouteServices(field, r, services)
		f.checkMatch(field, r, matches)
		f.checkLimits(field, r)
	}
}

// checkRouteServices refuses unknown services and invalid splits.
func (f *faultList) checkRouteServices(field string, r hornbeamwell.Route, services map[string]bool) {
	if !services[r.Service] {
		f.add(field+".service", "%q is not a service of this configuration", r.Service)
	}
	total := 0
	for i, b := range r.Split {
		entryField := indexedField(field+".split", i)
		if !services[b.Service] {
			f.add(entryField+".service", "%q is not a service of this configuration", b.Service)
		}
		if b.Weight < 0 || b.Weight > MaxWeight {
			f.add(entryField+".weight", "%d is not between 0 and %d", b.Weight, MaxWeight)
		}
		total += min(max(b.Weight, 0), MaxWeight)
	}
	if len(r.Split) > 0 && r.Split[0].Service != r.Service {
		f.add(field+".service", "%q is not the first service of the split", r.Service)
	}
	if len(r.Split) > 0 && total == 0 {
		f.add(field+".split", "no weight is above 0, so that no service takes the calls")
	}
}

// checkMatch refuses invalid matches and matches that are identical to another
// route's.
func (f *faultList) checkMatch(field string, r hornbeamwell.Route, matches map[string]string) {
	if !strings.HasPrefix(r.PathPrefix, "/") {
		f.add(field+".path_prefix", "%q does not start with a slash", r.PathPrefix)
	}
	if strings.ContainsAny(r.Host, ":/ ") {
		f.add(field+".host", "%q is not a host without port and path", r.Host)
	}
	methods := r.Methods
	if len(methods) == 0 {
		methods = []string{""}
	}
	for _, method := range methods {
		if method != strings.ToUpper(method) {
			f.add(field+".methods", "%q is not in upper case", method)
		}
		key := strings.ToLower(r.Host) + " " + r.PathPrefix + " " + method
		if other, taken := matches[key]; taken {
			f.add(field, "matches the same host, path and method as the route %s", other)
		}
		matches[key] = r.Name
	}
}

func (f *faultList) checkLimits(field string, r hornbeamwell.Route) {
	if r.Class != hornbeamwell.ClassInteractive && r.Class != hornbeamwell.ClassBulk {
		f.add(field+".class", "%q is neither %q nor %q", r.Class, hornbeamwell.ClassInteractive, hornbeamwell.ClassBulk)
	}
	if r.Timeout <= 0 {
		f.add(field+".timeout", "%s is not greater than zero", r.Timeout)
	}
	if r.MaxBodyBytes <= 0 {
		f.add(field+".max_body_bytes", "%d is not greater than zero", r.MaxBodyBytes)
	}
	if r.Priority < 0 {
		f.add(field+".priority", "%d is below 0", r.Priority)
	}
	if r.LatencyObjective < 0 {
		f.add(field+".latency_objective", "%s is below 0", r.LatencyObjective)
	}
	if r.MaxAttempts < 1 || r.MaxAttempts > MaxAttemptsLimit {
		f.add(field+".max_attempts", "%d is not between 1 and %d", r.MaxAttempts, MaxAttemptsLimit)
	}
}
