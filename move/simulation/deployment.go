package simulation

import (
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// Route is one route of a simulated service.
type Route struct {
	Name string
	// Fraction is the fraction of the service's calls on this route.
	Fraction   float64
	Idempotent bool
	// Median is the median latency of the old version.
	Median time.Duration
}

// Service is one simulated service.
type Service struct {
	Name string
	// Targets is the number of targets of each version, Slots the concurrency
	// slots of each target.
	Targets, Slots int
	Routes         []Route
}

// Deployment is a set of simulated services with the preference of its operators.
type Deployment struct {
	Name     string
	Prefer   hornbeamwell.Preference
	Zones    []string
	Services []Service
}

// PenneAmiche returns the deployment of the Head Office Pen Pal Matching Mesh,
// whose operators prefer safety.
func PenneAmiche() Deployment {
	return Deployment{
		Name:   "penne_amiche",
		Prefer: hornbeamwell.PreferSafety,
		Zones:  []string{"milano", "torino", "verona"},
		Services: []Service{
			{Name: "profile_directory", Targets: 6, Slots: 10, Routes: []Route{
				{"browse", 0.85, true, 12 * time.Millisecond},
				{"profile", 0.15, true, 8 * time.Millisecond},
			}},
			{Name: "matching", Targets: 3, Slots: 10, Routes: []Route{
				{"candidates", 0.75, true, 25 * time.Millisecond},
				{"confirm_pairing", 0.25, false, 20 * time.Millisecond},
			}},
			{Name: "letter_archive", Targets: 3, Slots: 10, Routes: []Route{
				{"letters", 0.7, true, 15 * time.Millisecond},
				{"letter_pack", 0.3, true, 80 * time.Millisecond},
			}},
			{Name: "credit_ledger", Targets: 3, Slots: 10, Routes: []Route{
				{"balance", 0.6, true, 6 * time.Millisecond},
				{"post_credit", 0.4, false, 18 * time.Millisecond},
			}},
		},
	}
}

// Kjaergaard returns the deployment of the Kjærgaard workshop mesh, whose operators
// prefer the deadline.
func Kjaergaard() Deployment {
	return Deployment{
		Name:   "kjaergaard",
		Prefer: hornbeamwell.PreferDeadline,
		Zones:  []string{"skive", "viborg", "randers"},
		Services: []Service{
			{Name: "parts_catalogue", Targets: 4, Slots: 12, Routes: []Route{
				{"parts", 0.7, true, 10 * time.Millisecond},
				{"service_history", 0.3, true, 14 * time.Millisecond},
			}},
			{Name: "ordering", Targets: 3, Slots: 12, Routes: []Route{
				{"stock", 0.7, true, 10 * time.Millisecond},
				{"order", 0.3, false, 25 * time.Millisecond},
			}},
			{Name: "manuals", Targets: 3, Slots: 12, Routes: []Route{
				{"manual", 0.75, true, 40 * time.Millisecond},
				{"firmware", 0.25, true, 120 * time.Millisecond},
			}},
			{Name: "booking", Targets: 3, Slots: 12, Routes: []Route{
				{"free_slots", 0.65, true, 12 * time.Millisecond},
				{"book", 0.35, false, 22 * time.Millisecond},
			}},
		},
	}
}

// Deployments returns all simulated deployments.
func Deployments() []Deployment {
	return []Deployment{PenneAmiche(), Kjaergaard()}
}
