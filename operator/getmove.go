package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/move"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

func (s *Service) getMove(ctx context.Context, req *schema.GetMoveRequest) (*schema.GetMoveResponse, error) {
	var report move.Report
	var hasReport bool
	err := s.readBoard(ctx, func(now time.Time, _ *blackboard.Board) {
		report, hasReport = s.Moves.Report(now, req.GetId())
	})
	if err != nil {
		return nil, err
	}
	stored, found := s.Catalog.Move(req.GetId())
	if !found {
		return nil, fmt.Errorf("move %q: %w", req.GetId(), hornbeamwell.ErrNotFound)
	}
	if stored.Phase.IsFinal() || !hasReport {
		return fromStoredMove(stored), nil
	}
	return fromReport(stored, report), nil
}

// fromStoredMove returns the response for a move that has ended or has no report.
// It holds only the committed state.
func fromStoredMove(m hornbeamwell.Move) *schema.GetMoveResponse {
	return &schema.GetMoveResponse{
		Move:         fromMove(m),
		ShareInForce: uint32(m.Share),
		ExpectedEnd:  fromTime(m.EndedAt),
	}
}

func fromReport(m hornbeamwell.Move, report move.Report) *schema.GetMoveResponse {
	response := &schema.GetMoveResponse{
		Move:         fromMove(m),
		ShareInForce: uint32(report.ShareInForce),
		WaitsFor:     report.WaitsFor,
		ExpectedEnd:  fromTime(report.ExpectedEnd),
		AtRisk:       report.AtRisk,
	}
	for _, r := range report.Routes {
		response.Routes = append(response.Routes, &schema.RouteEvidence{
			Route:   r.Route,
			Figures: fromFigures(r.Figures),
			Verdict: r.Verdict,
		})
	}
	return response
}
