package wire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// Configuration is the message for a hornbeamwell.Configuration.
type Configuration struct {
	Version  uint64    `json:"version"`
	Revision uint64    `json:"revision,omitempty"`
	Document []byte    `json:"document,omitempty"`
	Services []Service `json:"services,omitempty"`
	Routes   []Route   `json:"routes,omitempty"`
	Moves    []Move    `json:"moves,omitempty"`

	Teams       []Team       `json:"teams,omitempty"`
	Evacuations []Evacuation `json:"evacuations,omitempty"`
}

// Team is the message for a hornbeamwell.Team. It holds the hashes of its keys in
// hexadecimal digits.
type Team struct {
	Name      string   `json:"name"`
	KeyHashes []string `json:"key_hashes,omitempty"`
	Priority  int      `json:"priority,omitempty"`
	PerSecond float64  `json:"per_second,omitempty"`
	Burst     float64  `json:"burst,omitempty"`
}

// Evacuation is the message for a hornbeamwell.Evacuation.
type Evacuation struct {
	Zone        string `json:"zone"`
	StartedAtNs int64  `json:"started_at_ns,omitempty"`
}

// Service is the message for a hornbeamwell.Service.
type Service struct {
	Name     string          `json:"name"`
	Open     bool            `json:"open,omitempty"`
	Versions []TargetVersion `json:"versions"`

	ColdStartNs int64   `json:"cold_start_ns,omitempty"`
	ColdRate    float64 `json:"cold_rate,omitempty"`
	HealthPath  string  `json:"health_path,omitempty"`
}

// TargetVersion is the message for a hornbeamwell.TargetVersion.
type TargetVersion struct {
	Name  string `json:"name"`
	Share uint16 `json:"share"`
}

// WeightedService is the message for a hornbeamwell.WeightedService.
type WeightedService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Route is the message for a hornbeamwell.Route.
type Route struct {
	Name         string            `json:"name"`
	Host         string            `json:"host,omitempty"`
	PathPrefix   string            `json:"path_prefix"`
	Methods      []string          `json:"methods,omitempty"`
	Service      string            `json:"service"`
	Split        []WeightedService `json:"split,omitempty"`
	Idempotent   bool              `json:"idempotent,omitempty"`
	Class        string            `json:"class"`
	TimeoutNs    int64             `json:"timeout_ns"`
	MaxBodyBytes int64             `json:"max_body_bytes"`
	MaxAttempts  int               `json:"max_attempts"`
	Priority     int               `json:"priority,omitempty"`
	ObjectiveNs  int64             `json:"objective_ns,omitempty"`
	Public       bool              `json:"public,omitempty"`
}

// Move is the message for a hornbeamwell.Move. Times are nanoseconds since
// 1970, 0 for none.
type Move struct {
	ID           string      `json:"id"`
	Service      string      `json:"service"`
	From         string      `json:"from"`
	To           string      `json:"to"`
	AcceptedAtNs int64       `json:"accepted_at_ns"`
	DeadlineNs   int64       `json:"deadline_ns"`
	HoldNs       int64       `json:"hold_ns"`
	Prefer       string      `json:"prefer"`
	Phase        string      `json:"phase"`
	Step         uint64      `json:"step"`
	Share        uint16      `json:"share"`
	Paused       bool        `json:"paused,omitempty"`
	Hastened     bool        `json:"hastened,omitempty"`
	StageAtNs    int64       `json:"stage_at_ns"`
	EndedAtNs    int64       `json:"ended_at_ns,omitempty"`
	Reason       string      `json:"reason,omitempty"`
	Figures      MoveFigures `json:"figures"`
}

// MoveFigures is the message for a hornbeamwell.MoveFigures.
type MoveFigures struct {
	NewCalls    uint64 `json:"new_calls,omitempty"`
	NewFailures uint64 `json:"new_failures,omitempty"`
	OldCalls    uint64 `json:"old_calls,omitempty"`
	OldFailures uint64 `json:"old_failures,omitempty"`
	NewP99Ns    int64  `json:"new_p99_ns,omitempty"`
	OldP99Ns    int64  `json:"old_p99_ns,omitempty"`
	WorstRoute  string `json:"worst_route,omitempty"`
}

// EncodeConfiguration returns the configuration as JSON. Equal configurations
// have equal encodings.
func EncodeConfiguration(c *hornbeamwell.Configuration) ([]byte, error) {
	data, err := json.Marshal(FromConfiguration(c))
	if err != nil {
		return nil, fmt.Errorf("encode configuration %d: %w", c.Version, err)
	}
	return data, nil
}

// DecodeConfiguration decodes the output of EncodeConfiguration.
func DecodeConfiguration(data []byte) (*hornbeamwell.Configuration, error) {
	var m Configuration
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return m.ToConfiguration(), nil
}

// FromConfiguration maps a configuration to its message.
func FromConfiguration(c *hornbeamwell.Configuration) Configuration {
	return Configuration{
		Version:  uint64(c.Version),
		Revision: c.Revision,
		Document: c.Document,
		Services: mapSlice(c.Services, FromService),
		Routes:   mapSlice(c.Routes, FromRoute),
		Moves:    mapSlice(c.Moves, FromMove),

		Teams:       mapSlice(c.Teams, FromTeam),
		Evacuations: mapSlice(c.Evacuations, FromEvacuation),
	}
}

// ToConfiguration maps the message to a configuration.
func (m Configuration) ToConfiguration() *hornbeamwell.Configuration {
	return &hornbeamwell.Configuration{
		Version:  hornbeamwell.ConfigVersion(m.Version),
		Revision: m.Revision,
		Document: m.Document,
		Services: mapSlice(m.Services, Service.ToService),
		Routes:   mapSlice(m.Routes, Route.ToRoute),
		Moves:    mapSlice(m.Moves, Move.ToMove),

		Teams:       mapSlice(m.Teams, Team.ToTeam),
		Evacuations: mapSlice(m.Evacuations, Evacuation.ToEvacuation),
	}
}

// FromTeam maps a team to its message.
func FromTeam(t hornbeamwell.Team) Team {
	return Team{
		Name:      t.Name,
		KeyHashes: mapSlice(t.KeyHashes, func(h hornbeamwell.KeyHash) string { return hex.EncodeToString(h[:]) }),
		Priority:  t.Priority,
		PerSecond: t.Quota.PerSecond,
		Burst:     t.Quota.Burst,
	}
}

// ToTeam maps the message to a team. A hash that cannot be decoded is left out, so
// that no key matches it.
func (m Team) ToTeam() hornbeamwell.Team {
	t := hornbeamwell.Team{
		Name:     m.Name,
		Priority: m.Priority,
		Quota:    hornbeamwell.Quota{PerSecond: m.PerSecond, Burst: m.Burst},
	}
	for _, text := range m.KeyHashes {
		var hash hornbeamwell.KeyHash
		decoded, err := hex.DecodeString(text)
		if err == nil && len(decoded) == len(hash) {
			copy(hash[:], decoded)
			t.KeyHashes = append(t.KeyHashes, hash)
		}
	}
	return t
}

// FromEvacuation maps an evacuation to its message.
func FromEvacuation(e hornbeamwell.Evacuation) Evacuation {
	return Evacuation{Zone: e.Zone, StartedAtNs: FromTime(e.StartedAt)}
}

// ToEvacuation maps the message to an evacuation.
func (m Evacuation) ToEvacuation() hornbeamwell.Evacuation {
	return hornbeamwell.Evacuation{Zone: m.Zone, StartedAt: ToTime(m.StartedAtNs)}
}

// FromService maps a service to its message.
func FromService(s hornbeamwell.Service) Service {
	return Service{
		Name: s.Name,
		Open: s.IsOpen,
		Versions: mapSlice(s.Versions, func(v hornbeamwell.TargetVersion) TargetVersion {
			return TargetVersion{Name: v.Name, Share: uint16(v.Share)}
		}),
		ColdStartNs: int64(s.ColdStart),
		ColdRate:    s.ColdRate,
		HealthPath:  s.HealthPath,
	}
}

// ToService maps the message to a service.
func (m Service) ToService() hornbeamwell.Service {
	return hornbeamwell.Service{
		Name:   m.Name,
		IsOpen: m.Open,
		Versions: mapSlice(m.Versions, func(v TargetVersion) hornbeamwell.TargetVersion {
			return hornbeamwell.TargetVersion{Name: v.Name, Share: hornbeamwell.Share(v.Share)}
		}),
		ColdStart:  time.Duration(m.ColdStartNs),
		ColdRate:   m.ColdRate,
		HealthPath: m.HealthPath,
	}
}

// FromRoute maps a route to its message.
func FromRoute(r hornbeamwell.Route) Route {
	return Route{
		Name:         r.Name,
		Host:         r.Host,
		PathPrefix:   r.PathPrefix,
		Methods:      r.Methods,
		Service:      r.Service,
		Split:        mapSlice(r.Split, func(b hornbeamwell.WeightedService) WeightedService { return WeightedService(b) }),
		Idempotent:   r.Idempotent,
		Class:        string(r.Class),
		TimeoutNs:    int64(r.Timeout),
		MaxBodyBytes: r.MaxBodyBytes,
		MaxAttempts:  r.MaxAttempts,
		Priority:     r.Priority,
		ObjectiveNs:  int64(r.LatencyObjective),
		Public:       r.IsPublic,
	}
}

// ToRoute maps the message to a route.
func (m Route) ToRoute() hornbeamwell.Route {
	return hornbeamwell.Route{
		Name:         m.Name,
		Host:         m.Host,
		PathPrefix:   m.PathPrefix,
		Methods:      m.Methods,
		Service:      m.Service,
		Split:        mapSlice(m.Split, func(b WeightedService) hornbeamwell.WeightedService { return hornbeamwell.WeightedService(b) }),
		Idempotent:   m.Idempotent,
		Class:        hornbeamwell.Class(m.Class),
		Timeout:      time.Duration(m.TimeoutNs),
		MaxBodyBytes: m.MaxBodyBytes,
		MaxAttempts:  m.MaxAttempts,
		Priority:     m.Priority,

		LatencyObjective: time.Duration(m.ObjectiveNs),
		IsPublic:         m.Public,
	}
}

// FromMove maps a move to its message.
func FromMove(m hornbeamwell.Move) Move {
	return Move{
		ID:           m.ID,
		Service:      m.Service,
		From:         m.From,
		To:           m.To,
		AcceptedAtNs: FromTime(m.AcceptedAt),
		DeadlineNs:   FromTime(m.Deadline),
		HoldNs:       int64(m.Hold),
		Prefer:       string(m.Prefer),
		Phase:        string(m.Phase),
		Step:         m.Step,
		Share:        uint16(m.Share),
		Paused:       m.Paused,
		Hastened:     m.Hastened,
		StageAtNs:    FromTime(m.StageAt),
		EndedAtNs:    FromTime(m.EndedAt),
		Reason:       m.Reason,
		Figures: MoveFigures{
			NewCalls:    m.Figures.NewCalls,
			NewFailures: m.Figures.NewFailures,
			OldCalls:    m.Figures.OldCalls,
			OldFailures: m.Figures.OldFailures,
			NewP99Ns:    int64(m.Figures.NewP99),
			OldP99Ns:    int64(m.Figures.OldP99),
			WorstRoute:  m.Figures.WorstRoute,
		},
	}
}

// ToMove maps the message to a move.
func (m Move) ToMove() hornbeamwell.Move {
	return hornbeamwell.Move{
		ID:         m.ID,
		Service:    m.Service,
		From:       m.From,
		To:         m.To,
		AcceptedAt: ToTime(m.AcceptedAtNs),
		Deadline:   ToTime(m.DeadlineNs),
		Hold:       time.Duration(m.HoldNs),
		Prefer:     hornbeamwell.Preference(m.Prefer),
		Phase:      hornbeamwell.Phase(m.Phase),
		Step:       m.Step,
		Share:      hornbeamwell.Share(m.Share),
		Paused:     m.Paused,
		Hastened:   m.Hastened,
		StageAt:    ToTime(m.StageAtNs),
		EndedAt:    ToTime(m.EndedAtNs),
		Reason:     m.Reason,
		Figures: hornbeamwell.MoveFigures{
			NewCalls:    m.Figures.NewCalls,
			NewFailures: m.Figures.NewFailures,
			OldCalls:    m.Figures.OldCalls,
			OldFailures: m.Figures.OldFailures,
			NewP99:      time.Duration(m.Figures.NewP99Ns),
			OldP99:      time.Duration(m.Figures.OldP99Ns),
			WorstRoute:  m.Figures.WorstRoute,
		},
	}
}

// FromTime returns the time in nanoseconds since 1970, 0 for the zero time.
func FromTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// ToTime returns the UTC time of a number of nanoseconds since 1970, the zero
// time for 0.
func ToTime(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns).UTC()
}

// mapSlice maps each element and keeps a nil slice nil.
func mapSlice[From, To any](from []From, convert func(From) To) []To {
	if from == nil {
		return nil
	}
	to := make([]To, 0, len(from))
	for _, f := range from {
		to = append(to, convert(f))
	}
	return to
}
