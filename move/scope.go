package move

import "math"

// scopeKind is what the calls of a scope have in common.
type scopeKind string

const (
	scopeOverall scopeKind = "all routes"
	scopeRoute   scopeKind = "route"
	scopeZone    scopeKind = "zone"
)

// scopeKinds shares the false alarms equally among the kinds of scopes.
const scopeKinds = 3

// scopeKey names a scope.
type scopeKey struct {
	kind scopeKind
	name string
}

func (k scopeKey) String() string {
	if k.name == "" {
		return string(k.kind)
	}
	return string(k.kind) + " " + k.name
}

// scope is the evidence from a part of the calls.
type scope struct {
	processes [signalCount]*process
	slot      [signalCount]scores
	// total is the proof since the evidence began, stage since the last
	// change of share.
	total, stage proof
	// seen counts every call since the evidence began.
	seen pair
}

func newScope() *scope {
	s := &scope{}
	for i := range s.processes {
		s.processes[i] = newProcess()
	}
	return s
}

// closeSlot moves the scores of the slot into the processes.
func (s *scope) closeSlot(gain, startWeight float64) {
	for i := range s.processes {
		s.processes[i].fold(&s.slot[i], gain, startWeight)
		s.slot[i] = scores{}
	}
}

// strongest returns the signal with the most evidence and its logarithm.
func (s *scope) strongest(signals [signalCount]signal) (int, float64) {
	best, most := 0, math.Inf(-1)
	for i, p := range s.processes {
		if v := p.log(len(signals[i].excesses)); v > most {
			best, most = i, v
		}
	}
	return best, most
}

// log returns the logarithm of the weighted evidence of all signals.
func (s *scope) log(signals [signalCount]signal) float64 {
	sum := math.Inf(-1)
	for i, p := range s.processes {
		sum = logAdd(sum, p.log(len(signals[i].excesses))+math.Log(signals[i].weight))
	}
	return sum
}
