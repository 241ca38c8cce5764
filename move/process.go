package move

import "math"

// alternatives are the ways of being bad that one signal is tested for. Each
// lists how much more often than for the old version the signal shows.
type signal struct {
	name string
	// gap is the excess that is not bad.
	gap float64
	// excesses are the alternatives, each above gap.
	excesses []float64
	// weight is the part of the false alarms given to the signal.
	weight float64
}

// maxExcesses bounds the alternatives of a signal.
const maxExcesses = 4

// scores holds the evidence of one block or slot for each alternative.
type scores [maxExcesses]float64

func (s *scores) add(other *scores) {
	for i, v := range other {
		s[i] += v
	}
}

// process is the evidence against a version from one signal in one scope, for
// badness that starts in any slot of the move. Its value is an e-process, so
// the probability that it ever exceeds 1/a for a version within the margin is
// at most a.
type process struct {
	// logs holds the logarithm of the evidence of each alternative.
	logs scores
}

// firstWeight is the part of the false alarms given to badness from the first
// slot on.
const firstWeight = 0.5

func newProcess() *process {
	p := &process{}
	for i := range p.logs {
		p.logs[i] = math.Log(firstWeight)
	}
	return p
}

// fold adds the evidence of one slot, at most gain nats for each alternative,
// and lets badness start in this slot with the given weight.
func (p *process) fold(slot *scores, gain, startWeight float64) {
	for i := range p.logs {
		p.logs[i] = logAdd(p.logs[i], math.Log(startWeight)) + min(slot[i], gain)
	}
}

// processes holds the process of each signal.
type processes [signalCount]*process

func newProcesses() processes {
	out := processes{}
	for i := range out {
		out[i] = newProcess()
	}
	return out
}

func (p *processes) fold(slot *[signalCount]scores, gain, startWeight float64) {
	for i := range p {
		p[i].fold(&slot[i], gain, startWeight)
	}
}

// strongest returns the signal with the most evidence.
func (p *processes) strongest(signals [signalCount]signal) int {
	best, most := 0, math.Inf(-1)
	for i := range p {
		if v := p[i].log(len(signals[i].excesses)); v > most {
			best, most = i, v
		}
	}
	return best
}

// log returns the logarithm of the weighted evidence of all signals.
func (p *processes) log(signals [signalCount]signal) float64 {
	sum := math.Inf(-1)
	for i := range p {
		sum = logAdd(sum, p[i].log(len(signals[i].excesses))+math.Log(signals[i].weight))
	}
	return sum
}

// log returns the logarithm of the mean evidence of the n first alternatives.
func (p *process) log(n int) float64 {
	sum := math.Inf(-1)
	for _, v := range p.logs[:n] {
		sum = logAdd(sum, v)
	}
	return sum - math.Log(float64(n))
}
