package operator

import (
	"context"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/catalog"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

func (s *Service) startEvacuation(ctx context.Context, req *schema.StartEvacuationRequest) (*schema.StartEvacuationResponse, error) {
	version, err := s.proposeEvacuation(ctx, catalog.KindStartEvacuation, req.GetZone())
	return &schema.StartEvacuationResponse{Version: uint64(version)}, err
}

func (s *Service) endEvacuation(ctx context.Context, req *schema.EndEvacuationRequest) (*schema.EndEvacuationResponse, error) {
	version, err := s.proposeEvacuation(ctx, catalog.KindEndEvacuation, req.GetZone())
	return &schema.EndEvacuationResponse{Version: uint64(version)}, err
}

// proposeEvacuation starts or ends the evacuation of a zone. The command changes
// nothing where the zone is in that state already, so it needs no request id.
func (s *Service) proposeEvacuation(ctx context.Context, kind catalog.Kind, zone string) (hornbeamwell.ConfigVersion, error) {
	outcome, err := Propose(ctx, s.Ledger, s.Now(), catalog.Command{Kind: kind, Zone: zone})
	return outcome.Version, err
}
