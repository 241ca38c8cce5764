package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// TestRanksOfRules guards against calls of callers that precede those that targets make
// while they hold a slot, and against ranks that change without teams.
func TestRanksOfRules(t *testing.T) {
	t.Parallel()
	teams := []hornbeamwell.Team{{Name: "a"}}
	for name, c := range map[string]struct {
		priorities []int
		public     []bool
		teams      []hornbeamwell.Team
		want       []int
	}{
		"one priority":                {[]int{0, 0}, []bool{false, false}, nil, []int{0, 0}},
		"two priorities":              {[]int{0, 1}, []bool{false, false}, nil, []int{UrgentRank, 1}},
		"public without teams":        {[]int{0, 0}, []bool{true, false}, nil, []int{0, 0}},
		"public with teams":           {[]int{0, 0}, []bool{true, false}, teams, []int{UrgentRank, 0}},
		"only public with teams":      {[]int{0, 0}, []bool{true, true}, teams, []int{0, 0}},
		"keyed routes are not urgent": {[]int{0, 1}, []bool{false, true}, teams, []int{0, 1}},
	} {
		configuration := &hornbeamwell.Configuration{
			Services: []hornbeamwell.Service{{Name: "s", IsOpen: true}}, Teams: c.teams,
		}
		for i, priority := range c.priorities {
			configuration.Routes = append(configuration.Routes, hornbeamwell.Route{
				Name: fmt.Sprint(i), PathPrefix: fmt.Sprintf("/%d", i), Service: "s", Class: hornbeamwell.ClassBulk, Timeout: time.Second,
				MaxBodyBytes: 1, MaxAttempts: 1, Priority: priority, IsPublic: c.public[i],
			})
		}
		table, err := NewTable(configuration)
		if err != nil {
			t.Fatal(err)
		}
		for i, rule := range table.Rules {
			if rule.Rank != c.want[i] {
				t.Errorf("%s: rule %d has rank %d, want %d", name, i, rule.Rank, c.want[i])
			}
		}
	}
}
