package operator

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/catalog"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// Default values of the fields of a route that a request leaves unset. DefaultHold
// is not used: Options.Defaults holds the defaults of a move.
const (
	DefaultTimeout      = 10 * time.Second
	DefaultMaxBodyBytes = 1 << 20
	DefaultMaxAttempts  = 3
	DefaultHold         = 30 * time.Second
)

func toServices(messages []*schema.Service) []hornbeamwell.Service {
	services := make([]hornbeamwell.Service, 0, len(messages))
	for _, m := range messages {
		service := hornbeamwell.Service{
			Name:       m.GetName(),
			IsOpen:     m.GetOpen(),
			ColdStart:  m.GetColdStart().AsDuration(),
			ColdRate:   m.GetColdRate(),
			HealthPath: m.GetHealthPath(),
		}
		for _, v := range m.GetVersions() {
			// A share above FullShare must stay invalid in the smaller type.
			share := hornbeamwell.Share(min(v.GetShare(), uint32(hornbeamwell.FullShare)+1))
			service.Versions = append(service.Versions, hornbeamwell.TargetVersion{Name: v.GetName(), Share: share})
		}
		services = append(services, service)
	}
	return services
}

func toRoutes(messages []*schema.Route) []hornbeamwell.Route {
	routes := make([]hornbeamwell.Route, 0, len(messages))
	for _, m := range messages {
		routes = append(routes, toRoute(m))
	}
	return routes
}

// toRoute converts a route and sets the defaults of unset fields.
func toRoute(m *schema.Route) hornbeamwell.Route {
	r := hornbeamwell.Route{
		Name:         m.GetName(),
		Host:         m.GetHost(),
		PathPrefix:   m.GetPathPrefix(),
		Methods:      m.GetMethods(),
		Service:      m.GetService(),
		Idempotent:   m.GetIdempotent(),
		Class:        hornbeamwell.Class(m.GetClass()),
		Timeout:      m.GetTimeout().AsDuration(),
		MaxBodyBytes: m.GetMaxBodyBytes(),
		MaxAttempts:  int(m.GetMaxAttempts()),
		Priority:     int(m.GetPriority()),

		LatencyObjective: m.GetLatencyObjective().AsDuration(),
		IsPublic:         m.GetPublic(),
	}
	for _, b := range m.GetSplit() {
		r.Split = append(r.Split, hornbeamwell.WeightedService{Service: b.GetService(), Weight: int(b.GetWeight())})
	}
	if r.Class == "" {
		r.Class = hornbeamwell.ClassInteractive
	}
	if m.GetTimeout() == nil {
		r.Timeout = DefaultTimeout
	}
	if r.MaxBodyBytes == 0 {
		r.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if r.MaxAttempts == 0 {
		r.MaxAttempts = DefaultMaxAttempts
	}
	return r
}

func fromConfiguration(c *hornbeamwell.Configuration) *schema.Configuration {
	m := &schema.Configuration{Version: uint64(c.Version), Revision: c.Revision, Document: c.Document}
	for _, s := range c.Services {
		service := &schema.Service{Name: s.Name, Open: s.IsOpen, ColdRate: s.ColdRate, HealthPath: s.HealthPath}
		if s.ColdStart > 0 {
			service.ColdStart = durationpb.New(s.ColdStart)
		}
		for _, v := range s.Versions {
			service.Versions = append(service.Versions, &schema.TargetVersion{Name: v.Name, Share: uint32(v.Share)})
		}
		m.Services = append(m.Services, service)
	}
	for _, r := range c.Routes {
		m.Routes = append(m.Routes, fromRoute(r))
	}
	m.Moves = fromMoves(c.Moves)
	for _, t := range c.Teams {
		m.Teams = append(m.Teams, fromTeam(t))
	}
	m.Evacuations = fromEvacuations(c.Evacuations)
	return m
}

// resourceRequest is a request that sets resources.
type resourceRequest interface {
	GetServices() []*schema.Service
	GetRoutes() []*schema.Route
	GetTeams() []*schema.Team
}

// toResources converts the resources of a request. It returns a
// *hornbeamwell.InvalidError for what can't be converted.
func toResources(req resourceRequest) (catalog.Resources, error) {
	teams, err := toTeams(req.GetTeams())
	if err != nil {
		return catalog.Resources{}, err
	}
	return catalog.Resources{Services: toServices(req.GetServices()), Routes: toRoutes(req.GetRoutes()), Teams: teams}, nil
}

// ToResources converts the resources of a configuration file as those of a request. It
// returns a *hornbeamwell.InvalidError for what can't be converted.
func ToResources(file *schema.Configuration) (catalog.Resources, error) { return toResources(file) }

// ToConfiguration converts what catalog.CheckApply uses of a configuration: its version,
// its resources, and the services and versions of its open moves. It returns a
// *hornbeamwell.InvalidError for what can't be converted.
func ToConfiguration(m *schema.Configuration) (*hornbeamwell.Configuration, error) {
	resources, err := toResources(m)
	if err != nil {
		return nil, err
	}
	sorted := catalog.Change{Resources: resources}.Result(&hornbeamwell.Configuration{})
	c := &hornbeamwell.Configuration{
		Version:  hornbeamwell.ConfigVersion(m.GetVersion()),
		Services: sorted.Services, Routes: sorted.Routes, Teams: sorted.Teams,
	}
	for _, move := range m.GetMoves() {
		if phase := hornbeamwell.Phase(move.GetPhase()); !phase.IsFinal() {
			c.Moves = append(c.Moves, hornbeamwell.Move{ID: move.GetId(), Service: move.GetService(), From: move.GetFrom(), To: move.GetTo(), Phase: phase})
		}
	}
	return c, nil
}

// toTeams converts teams. It returns a *hornbeamwell.InvalidError for hashes of
// another length. A hash that a team lists twice is stored once.
func toTeams(messages []*schema.Team) ([]hornbeamwell.Team, error) {
	var invalid hornbeamwell.InvalidError
	teams := make([]hornbeamwell.Team, 0, len(messages))
	for i, m := range messages {
		team := hornbeamwell.Team{
			Name:     m.GetName(),
			Priority: int(m.GetPriority()),
			Quota:    hornbeamwell.Quota{PerSecond: m.GetCallsPerSecond(), Burst: m.GetBurst()},
		}
		for j, text := range m.GetKeyHashes() {
			var hash hornbeamwell.KeyHash
			if len(text) != len(hash) {
				invalid.Faults = append(invalid.Faults, hornbeamwell.Fault{
					Field:   fmt.Sprintf("teams[%d].key_hashes[%d]", i, j),
					Problem: fmt.Sprintf("has %d bytes instead of the %d of a SHA-256 hash", len(text), len(hash)),
				})
				continue
			}
			copy(hash[:], text)
			team.KeyHashes = append(team.KeyHashes, hash)
		}
		slices.SortFunc(team.KeyHashes, func(a, b hornbeamwell.KeyHash) int { return bytes.Compare(a[:], b[:]) })
		team.KeyHashes = slices.Compact(team.KeyHashes)
		teams = append(teams, team)
	}
	if len(invalid.Faults) > 0 {
		return nil, &invalid
	}
	return teams, nil
}

// fromTeamSummaries describes teams without their keys.
func fromTeamSummaries(teams []hornbeamwell.Team) []*schema.TeamSummary {
	summaries := make([]*schema.TeamSummary, 0, len(teams))
	for _, t := range teams {
		summaries = append(summaries, &schema.TeamSummary{
			Name: t.Name, Keys: int32(min(len(t.KeyHashes), 1<<30)), Priority: int32(min(t.Priority, 1<<16)),
		})
	}
	return summaries
}

func fromTeam(t hornbeamwell.Team) *schema.Team {
	m := &schema.Team{
		Name:           t.Name,
		Priority:       int32(min(t.Priority, 1<<16)),
		CallsPerSecond: t.Quota.PerSecond,
		Burst:          t.Quota.Burst,
	}
	for _, hash := range t.KeyHashes {
		m.KeyHashes = append(m.KeyHashes, hash[:])
	}
	return m
}

func fromRoute(r hornbeamwell.Route) *schema.Route {
	split := make([]*schema.WeightedService, 0, len(r.Split))
	for _, b := range r.Split {
		split = append(split, &schema.WeightedService{Service: b.Service, Weight: int64(b.Weight)})
	}
	m := &schema.Route{
		Name:         r.Name,
		Host:         r.Host,
		PathPrefix:   r.PathPrefix,
		Methods:      r.Methods,
		Service:      r.Service,
		Idempotent:   r.Idempotent,
		Class:        string(r.Class),
		Timeout:      durationpb.New(r.Timeout),
		MaxBodyBytes: r.MaxBodyBytes,
		MaxAttempts:  int32(min(r.MaxAttempts, 1<<16)),
		Split:        split,
		Priority:     int32(min(r.Priority, 1<<16)),
		Public:       r.IsPublic,
	}
	if r.LatencyObjective > 0 {
		m.LatencyObjective = durationpb.New(r.LatencyObjective)
	}
	return m
}

func fromMoves(moves []hornbeamwell.Move) []*schema.Move {
	messages := make([]*schema.Move, 0, len(moves))
	for _, m := range moves {
		messages = append(messages, fromMove(m))
	}
	return messages
}

func fromMove(m hornbeamwell.Move) *schema.Move {
	return &schema.Move{
		Id:         m.ID,
		Service:    m.Service,
		From:       m.From,
		To:         m.To,
		AcceptedAt: fromTime(m.AcceptedAt),
		Deadline:   fromTime(m.Deadline),
		Hold:       durationpb.New(m.Hold),
		Prefer:     string(m.Prefer),
		Phase:      string(m.Phase),
		Step:       m.Step,
		Share:      uint32(m.Share),
		Paused:     m.Paused,
		StageAt:    fromTime(m.StageAt),
		EndedAt:    fromTime(m.EndedAt),
		Reason:     m.Reason,
		Figures:    fromFigures(m.Figures),
	}
}

func fromFigures(f hornbeamwell.MoveFigures) *schema.MoveFigures {
	return &schema.MoveFigures{
		NewCalls:    f.NewCalls,
		NewFailures: f.NewFailures,
		OldCalls:    f.OldCalls,
		OldFailures: f.OldFailures,
		NewP99:      durationpb.New(f.NewP99),
		OldP99:      durationpb.New(f.OldP99),
		WorstRoute:  f.WorstRoute,
	}
}

func fromTarget(t hornbeamwell.Target) *schema.Target {
	return &schema.Target{
		Id:          t.ID,
		Service:     t.Service,
		Version:     t.Version,
		Zone:        t.Zone,
		Exit:        t.Exit.String(),
		Slots:       int32(min(t.Slots, 1<<30)),
		Connections: int32(min(t.Connections, 1<<30)),
		Incarnation: t.Incarnation,
		State:       string(t.State),
	}
}

func fromProxies(proxies []hornbeamwell.ProxyStatus) []*schema.Proxy {
	messages := make([]*schema.Proxy, 0, len(proxies))
	for _, p := range proxies {
		messages = append(messages, &schema.Proxy{
			Id:      p.ID,
			Zone:    p.Zone,
			Address: p.Address.String(),
			InForce: uint64(p.InForce),
			HeardAt: fromTime(p.LastContact),
			Silent:  p.Silent,
		})
	}
	return messages
}

// fromTime returns nil for the zero time.
func fromTime(t time.Time) *timestamppb.Timestamp {
	if t.IsZero() {
		return nil
	}
	return timestamppb.New(t)
}

func fromEvacuations(evacuations []hornbeamwell.Evacuation) []*schema.Evacuation {
	messages := make([]*schema.Evacuation, 0, len(evacuations))
	for _, e := range evacuations {
		messages = append(messages, &schema.Evacuation{Zone: e.Zone, StartedAt: fromTime(e.StartedAt)})
	}
	return messages
}
