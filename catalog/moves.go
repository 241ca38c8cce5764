package catalog

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// MinMoveDuration is the minimum time from the acceptance of a move to its
// deadline.
const MinMoveDuration = 5 * time.Second

func (c *Catalog) startMove(next *hornbeamwell.Configuration, command Command) Outcome {
	m := command.Move
	if m.From == "" {
		m.From = versionWithFullShare(c.configuration, m.Service)
	}
	next.Services = withMoveVersions(next.Services, m)
	if err := c.checkStartMove(next, m, command.At); err != nil {
		return Outcome{Err: err}
	}
	m.ID = fmt.Sprintf("%s-%d", m.Service, next.Version)
	m.AcceptedAt = command.At
	m.StageAt = command.At
	m.Phase = hornbeamwell.PhaseAccepted
	m.Step = 1
	m.Share = 0
	m.Reason = "accepted"
	next.Moves = append(slices.Clone(next.Moves), m)
	return Outcome{Move: &m}
}

// versionWithFullShare returns the version that receives all calls of the
// service, or an empty string if there is none.
func versionWithFullShare(c *hornbeamwell.Configuration, service string) string {
	s, _ := c.Service(service)
	for _, v := range s.Versions {
		if v.Share == hornbeamwell.FullShare {
			return v.Name
		}
	}
	return ""
}

// withMoveVersions returns the services with the versions of a new move added
// to its service if that service is open.
func withMoveVersions(services []hornbeamwell.Service, m hornbeamwell.Move) []hornbeamwell.Service {
	i := slices.IndexFunc(services, func(s hornbeamwell.Service) bool { return s.Name == m.Service && s.IsOpen })
	if i < 0 || m.From == "" || m.To == "" {
		return services
	}
	versions := slices.Clone(services[i].Versions)
	for _, name := range []string{m.From, m.To} {
		if _, listed := services[i].Version(name); !listed {
			share := hornbeamwell.Share(0)
			if len(services[i].Versions) == 0 && name == m.From {
				share = hornbeamwell.FullShare
			}
			versions = append(versions, hornbeamwell.TargetVersion{Name: name, Share: share})
		}
	}
	slices.SortFunc(versions, func(a, b hornbeamwell.TargetVersion) int { return strings.Compare(a.Name, b.Name) })
	services = slices.Clone(services)
	services[i].Versions = versions
	return services
}

func (c *Catalog) checkStartMove(next *hornbeamwell.Configuration, m hornbeamwell.Move, at time.Time) error {
	service, found := next.Service(m.Service)
	if !found {
		return invalid("service", fmt.Sprintf("%q is not a service of the configuration", m.Service))
	}
	var faults faultList
	faults.checkMoveVersions(service, m)
	if open, hasOpenMove := c.configuration.OpenMove(m.Service); hasOpenMove {
		faults.add("service", "has the open move %s; wait for its end or take it back", open.ID)
	}
	if m.Deadline.Sub(at) < MinMoveDuration {
		faults.add("deadline", "%s is not at least %s after the present time %s", m.Deadline.Format(time.RFC3339), MinMoveDuration, at.Format(time.RFC3339))
	}
	if m.Hold < 0 {
		faults.add("hold", "%s is negative", m.Hold)
	}
	if m.Prefer != hornbeamwell.PreferSafety && m.Prefer != hornbeamwell.PreferDeadline {
		faults.add("prefer", "%q is neither %q nor %q", m.Prefer, hornbeamwell.PreferSafety, hornbeamwell.PreferDeadline)
	}
	return faults.err()
}

func (f *faultList) checkMoveVersions(service hornbeamwell.Service, m hornbeamwell.Move) {
	// An open service gets the version with the move, and every later configuration has it.
	f.checkVersion("to", m.To)
	if _, found := service.Version(m.To); !found {
		f.add("to", "%q is not a version of the service %s; add it with the share 0 first", m.To, m.Service)
	}
	from, found := service.Version(m.From)
	switch {
	case !found:
		f.add("from", "%q is not a version of the service %s", m.From, m.Service)
	case from.Share != hornbeamwell.FullShare:
		f.add("from", "%q has the share %d; a move starts from a version with the share %d", m.From, from.Share, hornbeamwell.FullShare)
	case m.From == m.To:
		f.add("to", "%q is the version that the move starts from", m.To)
	}
}

func (c *Catalog) controlMove(next *hornbeamwell.Configuration, command Command) Outcome {
	i := openMoveIndex(next, command.Move.ID)
	if i < 0 {
		for _, m := range c.endedMoves {
			if m.ID == command.Move.ID {
				return Outcome{Err: invalid("id", fmt.Sprintf("the move %s is %s and never changes again", m.ID, m.Phase))}
			}
		}
		return Outcome{Err: fmt.Errorf("move %q: %w", command.Move.ID, hornbeamwell.ErrNotFound)}
	}
	changed, err := c.control(command, next.Moves[i])
	if err != nil {
		return Outcome{Err: invalid("control", err.Error())}
	}
	changed.Step = next.Moves[i].Step + 1
	c.replaceMove(next, i, changed)
	return Outcome{Move: &changed}
}

func (c *Catalog) stepMove(next *hornbeamwell.Configuration, command Command) Outcome {
	i := openMoveIndex(next, command.Move.ID)
	if i < 0 || command.Move.Step != next.Moves[i].Step+1 {
		return Outcome{Err: ErrStaleStep}
	}
	c.replaceMove(next, i, command.Move)
	return Outcome{Move: &command.Move}
}

func openMoveIndex(c *hornbeamwell.Configuration, id string) int {
	return slices.IndexFunc(c.Moves, func(m hornbeamwell.Move) bool { return m.ID == id })
}

// replaceMove stores the changed move. A final move is removed from the
// configuration, and its service's shares are set to the result of the move.
func (c *Catalog) replaceMove(next *hornbeamwell.Configuration, i int, m hornbeamwell.Move) {
	next.Moves = slices.Clone(next.Moves)
	if !m.Phase.IsFinal() {
		next.Moves[i] = m
		return
	}
	next.Moves = slices.Delete(next.Moves, i, i+1)
	finalVersion := m.From
	if m.Phase == hornbeamwell.PhaseDone {
		finalVersion = m.To
	}
	next.Services = withFullShare(next.Services, m.Service, finalVersion)
	c.endedMoves = append(slices.Clone(c.endedMoves), m)
	if len(c.endedMoves) > maxEndedMoves {
		c.endedMoves = c.endedMoves[1:]
	}
}

// withFullShare returns the services with the full share of one service given
// to one version.
func withFullShare(services []hornbeamwell.Service, service, version string) []hornbeamwell.Service {
	services = slices.Clone(services)
	for i, s := range services {
		if s.Name != service {
			continue
		}
		versions := slices.Clone(s.Versions)
		for j := range versions {
			versions[j].Share = 0
			if versions[j].Name == version {
				versions[j].Share = hornbeamwell.FullShare
			}
		}
		services[i].Versions = versions
	}
	return services
}
