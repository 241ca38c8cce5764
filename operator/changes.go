package operator

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
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
		if err := s.Log.ReadBarrier(ctx); err != nil {
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
	if req.GetDeadline() == nil && req.GetDuration() == nil {
		return nil, invalid("deadline", "is missing; say by when the move has to be done")
	}
	m := hornbeamwell.Move{
		Service:  req.GetService(),
		From:     req.GetFrom(),
		To:       req.GetTo(),
		Deadline: s.deadlineOf(req),
		Hold:     s.Defaults.Hold,
		Prefer:   s.Defaults.Prefer,
	}
	if req.GetHold() != nil {
		m.Hold = req.GetHold().AsDuration()
	}
	if req.GetPrefer() != "" {
		m.Prefer = hornbeamwell.Preference(req.GetPrefer())
	}
	if m.From == "" {
		var err error
		if m.From, err = s.presentVersion(ctx, m.Service, m.To); err != nil {
			return nil, err
		}
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

// deadlineOf returns the deadline that a request names or its duration gives.
func (s *Service) deadlineOf(req *schema.StartMoveRequest) time.Time {
	if req.GetDuration() != nil {
		return s.Now().Add(req.GetDuration().AsDuration())
	}
	return req.GetDeadline().AsTime()
}

// presentVersion returns the version that most ready targets of an open service
// without a settled version have, leaving out the one that its calls are to move
// to. It is empty for any other service.
func (s *Service) presentVersion(ctx context.Context, service, to string) (string, error) {
	configured, found := s.Catalog.Configuration().Service(service)
	if !found || !configured.IsOpen || len(configured.Versions) > 0 {
		return "", nil
	}
	ready := map[string]int{}
	err := s.readBoard(ctx, func(_ time.Time, board *blackboard.Board) {
		for _, t := range board.Targets {
			if t.Service == service && t.Version != to && t.State == hornbeamwell.TargetReady {
				ready[t.Version]++
			}
		}
	})
	if err != nil {
		return "", err
	}
	present := ""
	for version, n := range ready {
		if n > ready[present] || n == ready[present] && version < present {
			present = version
		}
	}
	if present == "" {
		return "", fmt.Errorf("no target of the service %s is known here yet: %w", service, hornbeamwell.ErrNotRun)
	}
	return present, nil
}

// replace puts the operators' document in place of the one before.
func (s *Service) replace(ctx context.Context, req *schema.ReplaceRequest) (*schema.ReplaceResponse, error) {
	if err := s.Log.ReadBarrier(ctx); err != nil {
		return nil, fmt.Errorf("confirm the lead: %w", err)
	}
	current := s.Catalog.Configuration()
	if s.Catalog.HasAccepted(req.GetDocument()) {
		return &schema.ReplaceResponse{Version: uint64(current.Version)}, nil
	}
	replacement, err := catalog.NewReplacement(current, req.GetRevision(), req.GetBaseRevision(), req.GetDocument(),
		toServices(req.GetServices()), toRoutes(req.GetRoutes()))
	if err != nil {
		return nil, err
	}
	outcome, err := Propose(ctx, s.Log, s.Now(), catalog.Command{Kind: catalog.KindReplace, Replacement: replacement})
	if err != nil {
		return nil, err
	}
	return &schema.ReplaceResponse{Version: uint64(outcome.Version)}, nil
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
