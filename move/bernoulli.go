package move

import "math"

// Probabilities are kept away from 0 and 1 so that logarithms stay finite.
const (
	minProbability = 1e-6
	maxProbability = 1 - 1e-6
)

// nullBisections is the number of bisections in the search for the closest null
// hypothesis. It keeps the error below 1e-7.
const nullBisections = 24

// trials counts independent calls and the hits among them, such as failures.
type trials struct {
	n, hits float64
}

// hypothesis holds the hit probabilities of the old version and the canary.
type hypothesis struct {
	old, canary float64
}

// logEvidence returns the logarithm of the e-value of one block of calls of
// both versions for the alternative, against every null hypothesis on the line
// canary = old + margin or beyond it, seen from the alternative.
//
// It uses the null closest to the alternative in relative entropy. The set of
// nulls is convex, so the expected ratio is at most 1 under each of them,
// whatever the hit probability of the block is. A fault that both versions share
// therefore adds no evidence on average.
func logEvidence(old, canary trials, alternative hypothesis, margin float64) float64 {
	alternative.old = clampProbability(alternative.old)
	alternative.canary = clampProbability(alternative.canary)
	null := closestNull(old.n, canary.n, alternative, margin)
	return logRatio(old, alternative.old, null.old) + logRatio(canary, alternative.canary, null.canary)
}

// logEvidenceFixed returns the logarithm of the likelihood ratio of the canary's
// calls for the alternative against a fixed probability.
func logEvidenceFixed(canary trials, alternative, null float64) float64 {
	return logRatio(canary, clampProbability(alternative), clampProbability(null))
}

// closestNull returns the hypothesis on the line canary = old + margin with the
// least relative entropy from the alternative.
func closestNull(oldCalls, canaryCalls float64, alternative hypothesis, margin float64) hypothesis {
	a, b := alternative.old, alternative.canary-margin
	low := max(min(a, b), minProbability, minProbability-margin)
	high := min(max(a, b), maxProbability, maxProbability-margin)
	if high <= low {
		return hypothesis{old: low, canary: clampProbability(low + margin)}
	}
	for range nullBisections {
		middle := (low + high) / 2
		if entropySlope(oldCalls, canaryCalls, alternative, middle, margin) > 0 {
			high = middle
		} else {
			low = middle
		}
	}
	middle := (low + high) / 2
	return hypothesis{old: middle, canary: middle + margin}
}

// entropySlope returns the derivative of the relative entropy at the null with
// the old probability p. It increases with p.
func entropySlope(oldCalls, canaryCalls float64, alternative hypothesis, p, margin float64) float64 {
	q := p + margin
	return oldCalls*(p-alternative.old)/(p*(1-p)) + canaryCalls*(q-alternative.canary)/(q*(1-q))
}

func logRatio(t trials, alternative, null float64) float64 {
	return t.hits*math.Log(alternative/null) + (t.n-t.hits)*math.Log((1-alternative)/(1-null))
}

func clampProbability(p float64) float64 {
	return min(max(p, minProbability), maxProbability)
}

// logAdd returns log(exp(a) + exp(b)).
func logAdd(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(a, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}
