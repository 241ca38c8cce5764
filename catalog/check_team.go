package catalog

import (
	"math"
	"strings"

	"github.com/hornbeamwell/hornbeamwell"
)

// checkTeams checks the teams. The faults contain neither keys nor hashes.
func (f *faultList) checkTeams(teams []hornbeamwell.Team) {
	names := map[string]bool{}
	owners := map[hornbeamwell.KeyHash]string{}
	for i, t := range teams {
		field := indexedField("teams", i)
		f.checkTeamName(field+".name", t.Name)
		if names[t.Name] {
			f.add(field+".name", "%q is named twice", t.Name)
		}
		names[t.Name] = true
		f.checkKeys(field, t, owners)
		if t.Priority < 0 {
			f.add(field+".priority", "%d is below 0", t.Priority)
		}
		f.checkAmount(field+".calls_per_second", t.Quota.PerSecond)
		f.checkAmount(field+".burst", t.Quota.Burst)
	}
}

// checkTeamName refuses names that can't be the value of a header. Operators of a
// platform choose the names, so they are less restricted than those of services.
func (f *faultList) checkTeamName(field, name string) {
	if name == "" {
		f.add(field, "is empty")
		return
	}
	if len(name) > maxNameBytes {
		f.add(field, "%q is longer than %d bytes", name, maxNameBytes)
	}
	isUnprintable := func(r rune) bool { return r < ' ' || r > '~' }
	if strings.ContainsFunc(name, isUnprintable) || strings.TrimSpace(name) != name {
		f.add(field, "%q holds characters that are not printable ASCII, or a space at an end", name)
	}
}

// checkKeys refuses a key that another team has too.
func (f *faultList) checkKeys(field string, t hornbeamwell.Team, owners map[hornbeamwell.KeyHash]string) {
	own := map[hornbeamwell.KeyHash]bool{}
	for i, hash := range t.KeyHashes {
		hashField := indexedField(field+".key_hashes", i)
		owner, isTaken := owners[hash]
		switch {
		case own[hash]:
			f.add(hashField, "is listed twice")
		case isTaken:
			f.add(hashField, "is also a key of the team %q", owner)
		}
		own[hash] = true
		owners[hash] = t.Name
	}
}

// checkAmount refuses numbers that are negative, infinite or not a number.
func (f *faultList) checkAmount(field string, amount float64) {
	if math.IsNaN(amount) || math.IsInf(amount, 0) || amount < 0 {
		f.add(field, "%v is not a finite number of at least 0", amount)
	}
}
