package operator

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/catalog"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

func (s *Service) apply(ctx context.Context, req *schema.ApplyRequest) (*schema.ApplyResponse, error) {
	services, routes := toServices(req.GetServices()), toRoutes(req.GetRoutes())
	build := func(current *hornbeamwell.Configuration) (catalog.Command, error) {
		if err := catalog.CheckApply(current, services, routes); err != nil {
			return catalog.Command{}, err
		}
		// The log takes what differs: a fleet's whole configuration is too
		// large for an entry of each change.
		return catalog.Command{
			Kind:   catalog.KindChange,
			Base:   &current.Version,
			Change: catalog.Diff(current, services, routes),
		}, nil
	}
	version, err := s.change(ctx, req, toExpected(req.ExpectedVersion), req.GetDryRun(), build)
	if err != nil {
		return nil, err
	}
	return &schema.ApplyResponse{Version: uint64(version)}, nil
}

func (s *Service) changeConfiguration(ctx context.Context, req *schema.ChangeRequest) (*schema.ChangeResponse, error) {
	change := catalog.Change{
		Services:        toServices(req.GetServices()),
		Routes:          toRoutes(req.GetRoutes()),
		RemovedServices: req.GetRemovedServices(),
		RemovedRoutes:   req.GetRemovedRoutes(),
	}
	build := func(current *hornbeamwell.Configuration) (catalog.Command, error) {
		if err := catalog.CheckChange(current, change); err != nil {
			return catalog.Command{}, err
		}
		return catalog.Command{Kind: catalog.KindChange, Change: change}, nil
	}
	version, err := s.change(ctx, req, toExpected(req.ExpectedVersion), req.GetDryRun(), build)
	if err != nil {
		return nil, err
	}
	return &schema.ChangeResponse{Version: uint64(version)}, nil
}

// change runs or, for a dry run, only checks a change of the configuration. It
// returns the version after it.
func (s *Service) change(ctx context.Context, req request, expected *hornbeamwell.ConfigVersion, dryRun bool, build builder) (hornbeamwell.ConfigVersion, error) {
	checked := func(current *hornbeamwell.Configuration) (catalog.Command, error) {
		if expected != nil && *expected != current.Version {
			return catalog.Command{}, &hornbeamwell.ConflictError{Expected: *expected, Current: current.Version}
		}
		command, err := build(current)
		command.ExpectedVersion = expected
		return command, err
	}
	if dryRun {
		if err := s.Log.Confirm(ctx); err != nil {
			return 0, fmt.Errorf("confirm the lead: %w", err)
		}
		current := s.Catalog.Configuration()
		_, err := checked(current)
		return current.Version, err
	}
	outcome, err := s.submit(ctx, req, checked)
	return outcome.Version, err
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
	outcome, err := s.submit(ctx, req, always(catalog.Command{
		Kind:            catalog.KindStartMove,
		ExpectedVersion: toExpected(req.ExpectedVersion),
		Move:            m,
	}))
	if err != nil {
		return nil, err
	}
	return &schema.StartMoveResponse{Move: fromMove(*outcome.Move), Version: uint64(outcome.Version)}, nil
}

func (s *Service) controlMove(ctx context.Context, req *schema.ControlMoveRequest) (*schema.ControlMoveResponse, error) {
	outcome, err := s.submit(ctx, req, always(catalog.Command{
		Kind:    catalog.KindControlMove,
		Move:    hornbeamwell.Move{ID: req.GetId()},
		Control: hornbeamwell.MoveControl(req.GetControl()),
	}))
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
