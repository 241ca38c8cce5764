package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamwell/hornbeamwell"
)

// Service is a service with the shares that are in force.
type Service struct {
	Name string
	// Versions are the versions that may receive calls, none if HasShares is
	// false. Otherwise their shares add up to FullShare.
	Versions []hornbeamwell.TargetVersion
	// Move is the open move of the service, nil outside a move.
	Move *hornbeamwell.Move
	// canary is the version that the move introduces, empty outside a move. Its
	// share is valid only while the lease from the control instances lasts.
	canary string
	// stable is the version that receives all calls when the lease of the
	// canary's share has ended.
	stable string
	// ColdStart, ColdRate and HealthPath are those of hornbeamwell.Service.
	ColdStart  time.Duration
	ColdRate   float64
	HealthPath string
}

func newService(service hornbeamwell.Service, move *hornbeamwell.Move) *Service {
	s := &Service{
		Name: service.Name, Move: move,
		ColdStart: service.ColdStart, ColdRate: service.ColdRate, HealthPath: service.HealthPath,
	}
	if move == nil {
		s.Versions = slices.Clone(service.Versions)
		return s
	}
	share := move.Share
	if move.Phase == hornbeamwell.PhaseTakingBack || move.Phase == hornbeamwell.PhaseTakenBack {
		share = 0
	}
	s.canary, s.stable = move.To, move.From
	s.Versions = []hornbeamwell.TargetVersion{
		{Name: move.To, Share: share},
		{Name: move.From, Share: hornbeamwell.FullShare - share},
	}
	return s
}

// Canary returns the version that the open move introduces, empty outside a
// move. Its share is valid only while its lease lasts.
func (s *Service) Canary() string { return s.canary }

// CanaryShare returns the share of the canary, 0 outside a move.
func (s *Service) CanaryShare() hornbeamwell.Share {
	if s.canary == "" {
		return 0
	}
	return s.Versions[0].Share
}

// HasShares reports whether the shares of the versions are known. They are
// unknown in an open service whose versions no move has set yet.
func (s *Service) HasShares() bool { return len(s.Versions) > 0 }

// Version returns the version for a point between 0 and FullShare-1, or an empty
// name if HasShares is false. The canary receives calls only if allowCanary is
// true. When its share grows, it keeps the points that it had.
func (s *Service) Version(point hornbeamwell.Share, allowCanary bool) string {
	if s.canary != "" && !allowCanary {
		return s.stable
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

// KeyPoint returns the point of an idempotency key, so that every resend of a
// call goes to the same version while the shares stay the same.
func KeyPoint(key string) hornbeamwell.Share {
	return hornbeamwell.Share(xxhash.Sum64String(key) % uint64(hornbeamwell.FullShare))
}

// hasSameShares reports whether both assign every point to the same version.
func (s *Service) hasSameShares(other *Service) bool {
	return s.canary == other.canary && s.stable == other.stable && slices.Equal(s.Versions, other.Versions)
}
