package move

import "math"

// maxExcesses is the maximum number of alternatives of a signal.
const maxExcesses = 4

// scores holds the evidence of one block or interval for each alternative.
type scores [maxExcesses]float64

func (s *scores) add(other *scores) {
	for i, v := range other {
		s[i] += v
	}
}

// eProcess is the evidence against the canary from one signal in one scope, for a
// fault that starts in any interval of the move. Its value is an e-process, so the
// probability that it ever exceeds 1/a for a canary within the margin is at most
// a. This does not hold for an alarm that compares with earlier intervals.
type eProcess struct {
	// logs holds the logarithm of the evidence of each alternative.
	logs scores
}

// initialWeight is the prior weight of a fault that is present from the first
// interval on.
const initialWeight = 0.5

func newEProcess() *eProcess {
	p := &eProcess{}
	for i := range p.logs {
		p.logs[i] = math.Log(initialWeight)
	}
	return p
}

// add adds the evidence of one interval, at most maxGain nats for each alternative.
// startWeight is the prior weight of a fault that starts in this interval.
func (p *eProcess) add(interval *scores, maxGain, startWeight float64) {
	for i := range p.logs {
		p.logs[i] = logAdd(p.logs[i], math.Log(startWeight)) + min(interval[i], maxGain)
	}
}

// eProcesses holds the e-process of each signal.
type eProcesses [signalCount]*eProcess

func newEProcesses() eProcesses {
	out := eProcesses{}
	for i := range out {
		out[i] = newEProcess()
	}
	return out
}

func (p *eProcesses) add(interval *[signalCount]scores, maxGain, startWeight float64) {
	for i := range p {
		p[i].add(&interval[i], maxGain, startWeight)
	}
}

// strongest returns the index of the signal with the most evidence.
func (p *eProcesses) strongest(signals [signalCount]signal) int {
	best, most := 0, math.Inf(-1)
	for i := range p {
		if v := p[i].logValue(len(signals[i].excesses)); v > most {
			best, most = i, v
		}
	}
	return best
}

// logValue returns the logarithm of the weighted mean evidence of all signals.
func (p *eProcesses) logValue(signals [signalCount]signal) float64 {
	sum := math.Inf(-1)
	for i := range p {
		sum = logAdd(sum, p[i].logValue(len(signals[i].excesses))+math.Log(signals[i].weight))
	}
	return sum
}

// logValue returns the logarithm of the mean evidence of the first n alternatives.
func (p *eProcess) logValue(n int) float64 {
	sum := math.Inf(-1)
	for _, v := range p.logs[:n] {
		sum = logAdd(sum, v)
	}
	return sum - math.Log(float64(n))
}
