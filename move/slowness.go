package move

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/hornbeamwell/hornbeamwell"
)

// slowness is the evidence that a part of the canary's calls is slower than those of the old
// version. It is a ratio of likelihoods of the latencies: with a part that is slower by a
// factor, and without one. Both allow for each zone a factor by which all calls of the
// canary are slower or quicker, as on other machines, and the latter some slower calls, as
// under more load.
type slowness struct {
	// nats is the logarithm of the ratio.
	nats float64
	// part is the fraction of the calls that is most likely slower, buckets the number of
	// histogram buckets by which they are.
	part    float64
	buckets int
}

// String describes the evidence.
func (s slowness) String() string {
	return fmt.Sprintf("%.0f%% of the calls are slower by a factor of %.1f", 100*s.part, math.Exp2(float64(s.buckets)/bucketsPerDoubling))
}

const (
	// bucketsPerDoubling is the number of histogram buckets in each doubling of the latency.
	bucketsPerDoubling = 4
	// maxMachineShift is the number of buckets, a factor of 2, by which all calls may be
	// slower or quicker on other machines.
	maxMachineShift = 4
	// loadShift is the number of buckets by which calls may be slower under more load.
	loadShift = 3
	// spreadCalls is the number of calls as which the widely smoothed distribution counts,
	// since few calls don't show the slow ones. Its density halves with each spreadBuckets.
	spreadCalls, spreadBuckets = 8, 2
	// minDensity keeps logarithms finite.
	minDensity = 1e-6
)

var (
	// loadParts are the fractions of the calls that may be slower under more load.
	loadParts = [...]float64{0, 0.1, 0.2}
	// slowParts and slowShifts are the alternatives: the fractions of slower calls, and
	// the numbers of buckets by which they are, up to a factor of 8.
	slowParts  = [...]float64{0.1, 0.2, 0.4, 0.8}
	slowShifts = [...]int{6, 9, 12}
)

// density is the smoothed distribution of the old version's latencies.
type density [hornbeamwell.LatencyBuckets]float64

func newDensity(h *hornbeamwell.LatencyHistogram) *density {
	narrow, wide := &density{}, &density{}
	total, spread := 0.0, 0.0
	for i, n := range h {
		weight := float64(n)
		if weight == 0 {
			continue
		}
		total += weight
		narrow[i] += weight / 2
		narrow[max(i-1, 0)] += weight / 4
		narrow[min(i+1, len(h)-1)] += weight / 4
		for j := range wide {
			w := weight * math.Exp2(-math.Abs(float64(i-j))/spreadBuckets)
			wide[j] += w
			spread += w
		}
	}
	for i := range narrow {
		narrow[i] = (narrow[i] + spreadCalls*wide[i]/spread) / (total + spreadCalls)
	}
	return narrow
}

// at returns the density of a bucket for calls that are slower by a number of half buckets.
func (d *density) at(bucket, halves int) float64 {
	whole := halves >> 1
	if halves&1 == 0 {
		return d.in(bucket-whole) + minDensity
	}
	return (d.in(bucket-whole)+d.in(bucket-whole-1))/2 + minDensity
}

func (d *density) in(bucket int) float64 {
	if bucket < 0 || bucket >= len(d) {
		return 0
	}
	return d[bucket]
}

// bucketCount is the number of calls in a bucket.
type bucketCount struct {
	bucket int
	calls  float64
}

// comparison holds the canary's calls on a route in a zone, and the distribution of the old
// version that they are compared with.
type comparison struct {
	old    *density
	canary []bucketCount
}

// logLikelihood returns the logarithm of the likelihood of the canary's calls if a part of
// them is slower by some buckets, and all of them by the half buckets of the machine.
func logLikelihood(compared []comparison, machine int, part float64, slower int) float64 {
	total := 0.0
	for _, c := range compared {
		for _, b := range c.canary {
			p := (1 - part) * c.old.at(b.bucket, machine)
			if part > 0 {
				p += part * c.old.at(b.bucket, machine+2*slower)
			}
			total += b.calls * math.Log(p)
		}
	}
	return total
}

// bestLikelihood returns the highest logarithm of the likelihood over the shifts of the
// machine.
func bestLikelihood(compared []comparison, part float64, slower int) float64 {
	best := math.Inf(-1)
	for machine := -2 * maxMachineShift; machine <= 2*maxMachineShift; machine++ {
		best = max(best, logLikelihood(compared, machine, part, slower))
	}
	return best
}

// measureSlowness returns the evidence from the comparisons of each zone.
func measureSlowness(zones [][]comparison) slowness {
	null := 0.0
	for _, compared := range zones {
		best := math.Inf(-1)
		for _, part := range loadParts {
			best = max(best, bestLikelihood(compared, part, loadShift))
		}
		null += best
	}
	found := slowness{}
	for _, part := range slowParts {
		for _, buckets := range slowShifts {
			alternative := 0.0
			for _, compared := range zones {
				alternative += bestLikelihood(compared, part, buckets)
			}
			if nats := alternative - null; nats > found.nats {
				found = slowness{nats: nats, part: part, buckets: buckets}
			}
		}
	}
	return found
}

// comparisons returns the calls of the canary by zone. A cell in which the old version has no
// calls is compared with those in all zones of its route. One with too few calls of the old
// version is left out.
func (e *Evidence) comparisons() [][]comparison {
	minOld := e.policy.PartThresholds.MinOldCalls
	byZone := map[string][]comparison{}
	for _, c := range slices.SortedFunc(maps.Keys(e.cells), compareCells) {
		latencies := e.cells[c]
		canary := nonEmptyBuckets(&latencies.canary)
		if len(canary) == 0 {
			continue
		}
		old := &latencies.old
		if old.Count() == 0 {
			old = &e.scopes[scopeKey{scopeRoute, c.route}].seen.old.latency
		}
		if old.Count() >= minOld {
			byZone[c.zone] = append(byZone[c.zone], comparison{newDensity(old), canary})
		}
	}
	zones := make([][]comparison, 0, len(byZone))
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		zones = append(zones, byZone[zone])
	}
	return zones
}

func nonEmptyBuckets(h *hornbeamwell.LatencyHistogram) []bucketCount {
	var counts []bucketCount
	for i, n := range h {
		if n > 0 {
			counts = append(counts, bucketCount{i, float64(n)})
		}
	}
	return counts
}
