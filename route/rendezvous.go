package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamwell/hornbeamwell"
)

// HashWeight returns the rendezvous hashing weight of a target for a key. The
// target with the highest weight owns the key, so that a target that leaves
// moves only its own keys.
func HashWeight(key, target string) uint64 {
	mixed := xxhash.Sum64String(key) ^ (xxhash.Sum64String(target) * 0x9e3779b97f4a7c15)
	mixed ^= mixed >> 32
	mixed *= 0xd6e8feb86659fd93
	mixed ^= mixed >> 32
	return mixed
}

// Owner returns the candidate that owns the key among those not tried
// and not leaving, or nil if there is none.
func Owner(key string, candidates, tried []*Candidate) *Candidate {
	var owner *Candidate
	var highest uint64
	for _, c := range candidates {
		if isTried(c, tried) || c.IsLeaving() {
			continue
		}
		weight := HashWeight(key, c.ID)
		if owner == nil || weight > highest || (weight == highest && c.ID < owner.ID) {
			owner, highest = c, weight
		}
	}
	return owner
}

// Subset returns the candidates that receive the calls of a version with a
// small share. Their number is proportional to the share, so that each of them
// runs the load that it would run at the full share. Every proxy selects the
// same ones.
func Subset(moveID string, share hornbeamwell.Share, candidates []*Candidate) []*Candidate {
	full := int(hornbeamwell.FullShare)
	count := (len(candidates)*int(share) + full - 1) / full
	count = max(count, 1)
	if count >= len(candidates) {
		return candidates
	}
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b *Candidate) int {
		return cmp.Or(cmp.Compare(HashWeight(moveID, b.ID), HashWeight(moveID, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return sorted[:count]
}
