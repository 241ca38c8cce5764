package hornbeamwell

import (
	"math/bits"
	"time"
)

// LatencyBuckets is the number of buckets of a LatencyHistogram.
const LatencyBuckets = 64

// latencyUnit is the width of the first bucket of a LatencyHistogram.
const latencyUnit = 64 * time.Microsecond

// LatencyHistogram counts calls by latency. The first four buckets are 64 µs
// wide. Above them, each doubling of the latency has four buckets.
type LatencyHistogram [LatencyBuckets]uint32

// Add counts one call.
func (h *LatencyHistogram) Add(latency time.Duration) {
	h[LatencyBucket(latency)]++
}

// Merge adds the counts of another histogram.
func (h *LatencyHistogram) Merge(other *LatencyHistogram) {
	for i, n := range other {
		h[i] += n
	}
}

// Count returns the number of calls.
func (h *LatencyHistogram) Count() uint64 {
	var total uint64
	for _, n := range h {
		total += uint64(n)
	}
	return total
}

// Quantile returns the upper bound of the bucket that contains the quantile q,
// which lies between 0 and 1. It returns 0 for an empty histogram.
func (h *LatencyHistogram) Quantile(q float64) time.Duration {
	total := h.Count()
	if total == 0 {
		return 0
	}
	rank := uint64(q * float64(total))
	var seen uint64
	for i, n := range h {
		seen += uint64(n)
		if seen > rank || seen == total {
			return LatencyBucketBound(i)
		}
	}
	return LatencyBucketBound(LatencyBuckets - 1)
}

// LatencyBucket returns the index of the bucket for a latency.
func LatencyBucket(latency time.Duration) int {
	units := uint64(max(latency, 0) / latencyUnit)
	if units < 4 {
		return int(units)
	}
	exponent := bits.Len64(units) - 1
	quarter := (units >> (exponent - 2)) & 3
	return min((exponent-1)*4+int(quarter), LatencyBuckets-1)
}

// LatencyBucketBound returns the exclusive upper bound of a bucket. The last
// bucket also counts all higher latencies, which its returned bound ignores.
func LatencyBucketBound(bucket int) time.Duration {
	if bucket < 4 {
		return time.Duration(bucket+1) * latencyUnit
	}
	exponent := bucket/4 + 1
	quarter := bucket % 4
	return time.Duration(uint64(4+quarter+1)<<(exponent-2)) * latencyUnit
}

// EvidenceKey identifies the calls that an observation counts.
type EvidenceKey struct {
	Service, Version, Route string
	// Zone is the availability zone of the target.
	Zone string
}

// Observation counts the calls that one or more entry proxies saw end in one or
// more reporting intervals. Each attempt of a call counts as a call. Attempts
// that did not run, or that failed for a reason other than the target, are not
// counted.
type Observation struct {
	Key EvidenceKey
	// Calls includes Failures.
	Calls, Failures uint64
	// ColdCalls are calls to targets in their cold start. No other field
	// includes them.
	ColdCalls uint64
	// Latency holds the latencies of the calls that did not fail.
	Latency LatencyHistogram
}
