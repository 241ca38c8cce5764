package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamwell/hornbeamwell"
)

// Service is a service with the shares that are in force.
type Service struct {
	Name string
	// Versions are the versions that may receive calls. Their shares add up to
	// FullShare.
	Versions []hornbeamwell.TargetVersion
	// Move is the open move of the service, nil outside a move.
	Move *hornbeamwell.Move
	// unproved is the version whose share is a lease, empty if there is none.
	unproved string
	// proved takes all calls when the lease of the unproved version ended.
	proved string
}

func newService(service hornbeamwell.Service, move *hornbeamwell.Move) *Service {
	s := &Service{Name: service.Name, Move: move}
	if move == nil {
		s.Versions = slices.Clone(service.Versions)
		return s
	}
	share := move.Share
	if move.Phase == hornbeamwell.PhaseTakingBack || move.Phase == hornbeamwell.PhaseTakenBack {
		share = 0
	}
	s.unproved, s.proved = move.To, move.From
	s.Versions = []hornbeamwell.TargetVersion{
		{Name: move.To, Share: share},
		{Name: move.From, Share: hornbeamwell.FullShare - share},
	}
	return s
}

// Canary returns the version whose share is a lease, empty outside a move.
func (s *Service) Canary() string { return s.unproved }

// CanaryShare returns the share of the unproved version, 0 outside a move.
func (s *Service) CanaryShare() hornbeamwell.Share {
	if s.unproved == "" {
		return 0
	}
	return s.Versions[0].Share
}

// IsSettled reports whether the shares of the versions are known. They are not in
// an open service that no move has settled.
func (s *Service) IsSettled() bool { return len(s.Versions) > 0 }

// Version returns the version for a point, which lies between 0 and
// FullShare-1. The unproved version receives calls only while its share is
// allowed. A growing share keeps the points that it had.
func (s *Service) Version(point hornbeamwell.Share, allowUnproved bool) string {
	if s.unproved != "" && !allowUnproved {
		return s.proved
	}
	if len(s.Versions) == 0 {
		return ""
	}
	for _, v := range s.Versions {
		if point < v.Share {
			return v.Name
		}
		point -= v.Share
	}
	return s.Versions[len(s.Versions)-1].Name
}

// KeyPoint returns the point of an idempotency key, so that each resend of a
// call is given the same version while the shares stay.
func KeyPoint(key string) hornbeamwell.Share {
	return hornbeamwell.Share(xxhash.Sum64String(key) % uint64(hornbeamwell.FullShare))
}

// hasSameShares reports whether both give every point the same version.
func (s *Service) hasSameShares(other *Service) bool {
	return s.unproved == other.unproved && s.proved == other.proved && slices.Equal(s.Versions, other.Versions)
}
