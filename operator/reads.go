package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

func (s *Service) get(ctx context.Context, req *schema.GetRequest) (*schema.GetResponse, error) {
	if err := s.Ledger.ReadBarrier(ctx); err != nil {
		return nil, fmt.Errorf("confirm leadership: %w", err)
	}
	if req.GetVersionOnly() {
		return &schema.GetResponse{Configuration: &schema.Configuration{Version: uint64(s.Catalog.Configuration().Version)}}, nil
	}
	return &schema.GetResponse{Configuration: fromConfiguration(s.Catalog.Configuration())}, nil
}

const (
	// localPollInterval is the time between two checks whether this instance
	// has applied the leader's version.
	localPollInterval = 5 * time.Millisecond
	// localTimeout bounds the wait for the leader's version.
	localTimeout = 500 * time.Millisecond
)

// getLocal returns the configuration of this instance once it has applied the
// version that the leader has at the time of the call. Only the version is sent
// between the instances, not the configuration.
func (s *Service) getLocal(ctx context.Context) (*schema.Configuration, error) {
	response, err := serve[schema.GetRequest, schema.GetResponse](ctx, s, schema.OperatorServiceGetProcedure,
		connect.NewRequest(&schema.GetRequest{VersionOnly: true}))
	if err != nil {
		return nil, err
	}
	latest := hornbeamwell.ConfigVersion(response.Msg.GetConfiguration().GetVersion())
	for deadline := s.Now().Add(localTimeout); ; {
		if local := s.Catalog.Configuration(); local.Version >= latest {
			return fromConfiguration(local), nil
		}
		if s.Now().After(deadline) {
			return nil, fmt.Errorf("this instance has not applied the leader's version %d yet: %w", latest, hornbeamwell.ErrNotRun)
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("wait for version %d: %w", latest, ctx.Err())
		case <-time.After(localPollInterval):
		}
	}
}

func (s *Service) listMoves(ctx context.Context, _ *schema.ListMovesRequest) (*schema.ListMovesResponse, error) {
	if err := s.Ledger.ReadBarrier(ctx); err != nil {
		return nil, fmt.Errorf("confirm leadership: %w", err)
	}
	return &schema.ListMovesResponse{Moves: fromMoves(s.Catalog.Moves())}, nil
}

func (s *Service) listTargets(ctx context.Context, _ *schema.ListTargetsRequest) (*schema.ListTargetsResponse, error) {
	response := &schema.ListTargetsResponse{}
	err := s.readBoard(ctx, func(_ time.Time, board *blackboard.Board) {
		for _, t := range board.Targets {
			response.Targets = append(response.Targets, fromTarget(t))
		}
	})
	slices.SortFunc(response.Targets, func(a, b *schema.Target) int { return strings.Compare(a.GetId(), b.GetId()) })
	return response, err
}

func (s *Service) listProxies(ctx context.Context, _ *schema.ListProxiesRequest) (*schema.ListProxiesResponse, error) {
	var proxies []hornbeamwell.ProxyStatus
	err := s.readBoard(ctx, func(_ time.Time, board *blackboard.Board) {
		proxies = slices.Collect(maps.Values(board.Proxies))
	})
	slices.SortFunc(proxies, func(a, b hornbeamwell.ProxyStatus) int { return strings.Compare(a.ID, b.ID) })
	return &schema.ListProxiesResponse{Proxies: fromProxies(proxies)}, err
}

func (s *Service) getStatus(ctx context.Context, _ *schema.GetStatusRequest) (*schema.GetStatusResponse, error) {
	var convergence hornbeamwell.Convergence
	err := s.readBoard(ctx, func(_ time.Time, board *blackboard.Board) {
		convergence = board.Convergence
	})
	if err != nil {
		return nil, err
	}
	configuration := s.Catalog.Configuration()
	accepted := configuration.Version
	status := s.Ledger.Status()
	return &schema.GetStatusResponse{
		Instance:          s.Instance,
		Leader:            status.Leader,
		Term:              status.Term,
		Version:           uint64(accepted),
		Watermark:         uint64(convergence.Watermark),
		InForceEverywhere: convergence.IsInForce(accepted),
		LiveProxies:       int32(min(convergence.Live, 1<<30)),
		SilentProxies:     int32(min(convergence.SilentCount, 1<<30)),
		Behind:            fromProxies(convergence.Behind),
		Silent:            fromProxies(convergence.Silent),
		Members:           fromMembers(status.Members),
		ToleratedLosses:   int32(min(status.ToleratedLosses(), 1<<30)),
		Evacuations:       fromEvacuations(configuration.Evacuations),
		Teams:             fromTeamSummaries(configuration.Teams),
	}, nil
}

// readBoard confirms that this instance is the leader and then runs read on the
// goroutine of the blackboard's loop.
func (s *Service) readBoard(ctx context.Context, read blackboard.Event) error {
	if err := s.Ledger.ReadBarrier(ctx); err != nil {
		return fmt.Errorf("confirm leadership: %w", err)
	}
	if err := s.Loop.Do(ctx, read); err != nil {
		return fmt.Errorf("read the blackboard: %w", err)
	}
	return nil
}

func fromMembers(members []hornbeamwell.LedgerMemberStatus) []*schema.Member {
	messages := make([]*schema.Member, 0, len(members))
	for _, m := range members {
		messages = append(messages, &schema.Member{
			Id:            m.ID,
			Zone:          m.Zone,
			Address:       m.Address.String(),
			Role:          string(m.Role),
			State:         string(m.State),
			EntriesBehind: m.EntriesBehind,
		})
	}
	return messages
}
