package operator

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/catalog"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// maxRequestIDBytes bounds a request id.
const maxRequestIDBytes = 128

func (s *Service) apply(ctx context.Context, req *schema.ApplyRequest) (*schema.ApplyResponse, error) {
	command := catalog.Command{
		Kind:            catalog.KindApply,
		RequestID:       req.GetRequestId(),
		ExpectedVersion: toExpected(req.ExpectedVersion),
		Services:        toServices(req.GetServices()),
		Routes:          toRoutes(req.GetRoutes()),
	}
	if req.GetDryRun() {
		return s.dryRun(ctx, command)
	}
	outcome, err := s.propose(ctx, command)
	if err != nil {
		return nil, err
	}
	return &schema.ApplyResponse{Version: uint64(outcome.Version)}, nil
}

// dryRun checks a command against the current configuration.
func (s *Service) dryRun(ctx context.Context, command catalog.Command) (*schema.ApplyResponse, error) {
	if err := s.Log.Confirm(ctx); err != nil {
		return nil, fmt.Errorf("confirm the lead: %w", err)
	}
	current := s.Catalog.Configuration()
	if command.ExpectedVersion != nil && *command.ExpectedVersion != current.Version {
		return nil, &hornbeamwell.ConflictError{Expected: *command.ExpectedVersion, Current: current.Version}
	}
	if err := catalog.CheckApply(current, command.Services, command.Routes); err != nil {
		return nil, err
	}
	return &schema.ApplyResponse{Version: uint64(current.Version)}, nil
}

func (s *Service) startMove(ctx context.Context, req *schema.StartMoveRequest) (*schema.StartMoveResponse, error) {
	if req.GetDeadline() == nil {
		return nil, invalid("deadline", "is missing; say by when the move has to be done")
	}
	m := hornbeamwell.Move{
		Service:  req.GetService(),
		From:     req.GetFrom(),
		To:       req.GetTo(),
		Deadline: req.GetDeadline().AsTime(),
		Hold:     s.Defaults.Hold,
		Prefer:   s.Defaults.Prefer,
	}
	if req.GetHold() != nil {
		m.Hold = req.GetHold().AsDuration()
	}
	if req.GetPrefer() != "" {
		m.Prefer = hornbeamwell.Preference(req.GetPrefer())
	}
	outcome, err := s.propose(ctx, catalog.Command{
		Kind:            catalog.KindStartMove,
		RequestID:       req.GetRequestId(),
		ExpectedVersion: toExpected(req.ExpectedVersion),
		Move:            m,
	})
	if err != nil {
		return nil, err
	}
	return &schema.StartMoveResponse{Move: fromMove(*outcome.Move), Version: uint64(outcome.Version)}, nil
}

func (s *Service) controlMove(ctx context.Context, req *schema.ControlMoveRequest) (*schema.ControlMoveResponse, error) {
	outcome, err := s.propose(ctx, catalog.Command{
		Kind:      catalog.KindControlMove,
		RequestID: req.GetRequestId(),
		Move:      hornbeamwell.Move{ID: req.GetId()},
		Control:   hornbeamwell.MoveControl(req.GetControl()),
	})
	if err != nil {
		return nil, err
	}
	return &schema.ControlMoveResponse{Move: fromMove(*outcome.Move), Version: uint64(outcome.Version)}, nil
}

func (s *Service) changeMember(ctx context.Context, req *schema.ChangeMemberRequest) (*schema.ChangeMemberResponse, error) {
	if err := s.runMemberChange(ctx, req); err != nil {
		return nil, err
	}
	return &schema.ChangeMemberResponse{Members: fromMembers(s.Log.Status().Members)}, nil
}

func (s *Service) runMemberChange(ctx context.Context, req *schema.ChangeMemberRequest) error {
	member := req.GetMember()
	if member.GetId() == "" {
		return invalid("member.id", "is empty")
	}
	switch req.GetChange() {
	case "add":
		address, err := netip.ParseAddrPort(member.GetAddress())
		if err != nil {
			return invalid("member.address", fmt.Sprintf("%q is not an IP address with a port", member.GetAddress()))
		}
		if member.GetZone() == "" {
			return invalid("member.zone", "is empty; name the availability zone")
		}
		return s.Log.AddMember(ctx, hornbeamwell.LedgerMember{ID: member.GetId(), Zone: member.GetZone(), Address: address})
	case "remove":
		return s.Log.RemoveMember(ctx, member.GetId())
	default:
		return invalid("change", fmt.Sprintf("%q is neither \"add\" nor \"remove\"", req.GetChange()))
	}
}

// propose commits a command and returns its outcome, or the error of its
// refusal.
func (s *Service) propose(ctx context.Context, command catalog.Command) (catalog.Outcome, error) {
	if err := checkRequestID(command.RequestID); err != nil {
		return catalog.Outcome{}, err
	}
	return Propose(ctx, s.Log, s.Now(), command)
}

func checkRequestID(id string) error {
	if id == "" {
		return invalid("request_id", "is empty; choose a new one for each command and repeat it in a resend")
	}
	if len(id) > maxRequestIDBytes {
		return invalid("request_id", fmt.Sprintf("is longer than %d bytes", maxRequestIDBytes))
	}
	return nil
}

// Propose commits a command at the present time and returns its outcome, or
// the error of its refusal.
func Propose(ctx context.Context, log hornbeamwell.Log, now time.Time, command catalog.Command) (catalog.Outcome, error) {
	command.At = now
	data, err := catalog.EncodeCommand(command)
	if err != nil {
		return catalog.Outcome{}, err
	}
	answer, err := log.Propose(ctx, data)
	if err != nil {
		return catalog.Outcome{}, fmt.Errorf("propose %s: %w", command.Kind, err)
	}
	outcome, err := catalog.DecodeOutcome(answer)
	if err != nil {
		return catalog.Outcome{}, err
	}
	return outcome, outcome.Err
}

func toExpected(version *uint64) *hornbeamwell.ConfigVersion {
	if version == nil {
		return nil
	}
	expected := hornbeamwell.ConfigVersion(*version)
	return &expected
}

func invalid(field, problem string) error {
	return &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{{Field: field, Problem: problem}}}
}
