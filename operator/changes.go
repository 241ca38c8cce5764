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
	wanted, resourcesErr := toResources(req)
	build := func(current *hornbeamwell.Configuration) (catalog.Command, error) {
		if resourcesErr != nil {
			return catalog.Command{}, resourcesErr
		}
		if err := catalog.CheckApply(current, wanted); err != nil {
			return catalog.Command{}, err
		}
		// Only the difference goes into the ledger: the whole configuration
		// of a fleet is too large for the entry of every change.
		return catalog.Command{
			Kind:   catalog.KindChange,
			Base:   &current.Version,
			Change: catalog.Diff(current, wanted),
		}, nil
	}
	version, err := s.submitChange(ctx, req, toConfigVersion(req.ExpectedVersion), req.GetDryRun(), build)
	if err != nil {
		return nil, err
	}
	return &schema.ApplyResponse{Version: uint64(version)}, nil
}

func (s *Service) changeConfiguration(ctx context.Context, req *schema.ChangeRequest) (*schema.ChangeResponse, error) {
	resources, resourcesErr := toResources(req)
	change := catalog.Change{
		Resources:       resources,
		RemovedServices: req.GetRemovedServices(),
		RemovedRoutes:   req.GetRemovedRoutes(),
		RemovedTeams:    req.GetRemovedTeams(),
	}
	build := func(current *hornbeamwell.Configuration) (catalog.Command, error) {
		if resourcesErr != nil {
			return catalog.Command{}, resourcesErr
		}
		if err := catalog.CheckChange(current, change); err != nil {
			return catalog.Command{}, err
		}
		return catalog.Command{Kind: catalog.KindChange, Change: change}, nil
	}
	version, err := s.submitChange(ctx, req, toConfigVersion(req.ExpectedVersion), req.GetDryRun(), build)
	if err != nil {
		return nil, err
	}
	return &schema.ChangeResponse{Version: uint64(version)}, nil
}

// submitChange commits a change of the configuration and returns the version
// that it resulted in. A dry run only checks the change and returns the current
// version.
func (s *Service) submitChange(ctx context.Context, req request, expected *hornbeamwell.ConfigVersion, dryRun bool, build commandBuilder) (hornbeamwell.ConfigVersion, error) {
	buildChecked := func(current *hornbeamwell.Configuration) (catalog.Command, error) {
		if expected != nil && *expected != current.Version {
			return catalog.Command{}, &hornbeamwell.ConflictError{Expected: *expected, Current: current.Version}
		}
		command, err := build(current)
		command.ExpectedVersion = expected
		return command, err
	}
	if dryRun {
		if err := s.Ledger.ReadBarrier(ctx); err != nil {
			return 0, fmt.Errorf("confirm leadership: %w", err)
		}
		current := s.Catalog.Configuration()
		_, err := buildChecked(current)
		return current.Version, err
	}
	outcome, err := s.submit(ctx, req, buildChecked)
	return outcome.Version, err
}

func (s *Service) startMove(ctx context.Context, req *schema.StartMoveRequest) (*schema.StartMoveResponse, error) {
	if req.GetDeadline() == nil && req.GetDuration() == nil {
		return nil, invalid("deadline", "is missing; set a deadline or a duration for the move")
	}
	m := hornbeamwell.Move{
		Service:  req.GetService(),
		From:     req.GetFrom(),
		To:       req.GetTo(),
		Deadline: s.moveDeadline(req),
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
		if m.From, err = s.mostCommonVersion(ctx, m.Service, m.To); err != nil {
			return nil, err
		}
	}
	outcome, err := s.submit(ctx, req, fixedCommand(catalog.Command{
		Kind:            catalog.KindStartMove,
		ExpectedVersion: toConfigVersion(req.ExpectedVersion),
		Move:            m,
	}))
	if err != nil {
		return nil, err
	}
	return &schema.StartMoveResponse{Move: fromMove(*outcome.Move), Version: uint64(outcome.Version)}, nil
}

// moveDeadline returns the deadline of a request, computed from its duration
// where it has one.
func (s *Service) moveDeadline(req *schema.StartMoveRequest) time.Time {
	if req.GetDuration() != nil {
		return s.Now().Add(req.GetDuration().AsDuration())
	}
	return req.GetDeadline().AsTime()
}

// mostCommonVersion returns the version that most ready targets of an open
// service run, not counting the version that a move goes to. It returns an
// empty string where the service is unknown, not open, or already has versions
// in the configuration, and an error where no such target is ready.
func (s *Service) mostCommonVersion(ctx context.Context, service, to string) (string, error) {
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
	mostCommon := ""
	for version, n := range ready {
		if n > ready[mostCommon] || n == ready[mostCommon] && version < mostCommon {
			mostCommon = version
		}
	}
	if mostCommon == "" {
		return "", fmt.Errorf("no ready target of service %s with a version to move from is known yet: %w", service, hornbeamwell.ErrNotRun)
	}
	return mostCommon, nil
}

// replace replaces the operators' document. A document that was accepted before
// changes nothing.
func (s *Service) replace(ctx context.Context, req *schema.ReplaceRequest) (*schema.ReplaceResponse, error) {
	if err := s.Ledger.ReadBarrier(ctx); err != nil {
		return nil, fmt.Errorf("confirm leadership: %w", err)
	}
	current := s.Catalog.Configuration()
	if s.Catalog.HasAccepted(req.GetDocument()) {
		return &schema.ReplaceResponse{Version: uint64(current.Version)}, nil
	}
	wanted, err := toResources(req)
	if err != nil {
		return nil, err
	}
	replacement, err := catalog.NewReplacement(current, req.GetRevision(), req.GetBaseRevision(), req.GetDocument(), wanted)
	if err != nil {
		return nil, err
	}
	outcome, err := Propose(ctx, s.Ledger, s.Now(), catalog.Command{Kind: catalog.KindReplace, Replacement: replacement})
	if err != nil {
		return nil, err
	}
	return &schema.ReplaceResponse{Version: uint64(outcome.Version)}, nil
}

func (s *Service) controlMove(ctx context.Context, req *schema.ControlMoveRequest) (*schema.ControlMoveResponse, error) {
	outcome, err := s.submit(ctx, req, fixedCommand(catalog.Command{
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
	return &schema.ChangeMemberResponse{Members: fromMembers(s.Ledger.Status().Members)}, nil
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
		return s.Ledger.AddMember(ctx, hornbeamwell.LedgerMember{ID: member.GetId(), Zone: member.GetZone(), Address: address})
	case "remove":
		return s.Ledger.RemoveMember(ctx, member.GetId())
	default:
		return invalid("change", fmt.Sprintf("%q is neither \"add\" nor \"remove\"", req.GetChange()))
	}
}

func toConfigVersion(version *uint64) *hornbeamwell.ConfigVersion {
	if version == nil {
		return nil
	}
	expected := hornbeamwell.ConfigVersion(*version)
	return &expected
}

func invalid(field, problem string) error {
	return &hornbeamwell.InvalidError{Faults: []hornbeamwell.Fault{{Field: field, Problem: problem}}}
}
