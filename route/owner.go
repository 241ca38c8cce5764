package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamwell/hornbeamwell"
)

// Rank returns the weight of a target for a key. Of several targets the one
// with the highest weight owns the key (rendezvous hashing), so that a target
// that leaves moves no key but its own.
func Rank(key, target string) uint64 {
	mixed := xxhash.Sum64String(key) ^ (xxhash.Sum64String(target) * 0x9e3779b97f4a7c15)
	mixed ^= mixed >> 32
	mixed *= 0xd6e8feb86659fd93
	mixed ^= mixed >> 32
	return mixed
}

// Owner returns the candidate that owns the key among those not tried, nil
// without any.
func Owner(key string, candidates, tried []*Candidate) *Candidate {
	var owner *Candidate
	var highest uint64
	for _, c := range candidates {
		if isTried(c, tried) {
			continue
		}
		rank := Rank(key, c.ID)
		if owner == nil || rank > highest || (rank == highest && c.ID < owner.ID) {
			owner, highest = c, rank
		}
	}
	return owner
}

// Subset returns the candidates that receive the calls of a version with
// a small share: as many as the share of the whole, so that each runs the load
// that it would run at the full share. Every proxy chooses the same ones.
func Subset(move string, share hornbeamwell.Share, candidates []*Candidate) []*Candidate {
	full := int(hornbeamwell.FullShare)
	count := (len(candidates)*int(share) + full - 1) / full
	count = max(count, 1)
	if count >= len(candidates) {
		return candidates
	}
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b *Candidate) int {
		return cmp.Or(cmp.Compare(Rank(move, b.ID), Rank(move, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return sorted[:count]
}
