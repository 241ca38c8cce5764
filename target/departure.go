package target

import (
	"maps"
	"slices"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
)

// departures are the targets of a source whose departure is in the ledger. They supersede
// older announcements as long as they are retained.
type departures struct {
	known map[string]hornbeamwell.Departure
	// version is that of the departures last read from the board.
	version uint64
	// unreported holds the departures that the sessions which announced them have not been
	// told, by session.
	unreported map[SessionID][]hornbeamwell.Departure
}

func newDepartures() departures {
	return departures{known: map[string]hornbeamwell.Departure{}, unreported: map[SessionID][]hornbeamwell.Departure{}}
}

// covers reports whether the departure of the target, or a later one, is known.
func (d departures) covers(t hornbeamwell.Target) bool {
	known, found := d.known[t.ID]
	return found && !t.IsNewer(&known.Target)
}

// readDepartures adds the departures of the board. They change only with their version.
func (m *Membership) readDepartures(now time.Time, board *blackboard.Board) {
	if board.DeparturesVersion == m.departures.version {
		return
	}
	m.departures.version = board.DeparturesVersion
	m.RecordDepartures(now, slices.Collect(maps.Values(board.Departures)))
}

// RecordDepartures adds departures that are in the ledger.
func (m *Membership) RecordDepartures(now time.Time, recorded []hornbeamwell.Departure) {
	for _, d := range recorded {
		if now.Sub(d.RecordedAt) >= goneRetention || m.departures.covers(d.Target) {
			continue
		}
		m.departures.known[d.Target.ID] = d
		m.dirty[d.Target.ID] = true
		if r, found := m.local[d.Target.ID]; found && r.hasSession() {
			m.departures.unreported[r.session] = append(m.departures.unreported[r.session], d)
		}
	}
}

// Departed returns the departures of the targets that are in the ledger.
func (m *Membership) Departed(targets []hornbeamwell.Target) []hornbeamwell.Departure {
	var departed []hornbeamwell.Departure
	for _, t := range targets {
		if d, found := m.departures.known[t.ID]; found {
			departed = append(departed, d)
		}
	}
	return departed
}

// TakeDeparted returns the departures that came into the ledger since the last call, by the
// session that announced the target.
func (m *Membership) TakeDeparted() map[SessionID][]hornbeamwell.Departure {
	taken := m.departures.unreported
	if len(taken) > 0 {
		m.departures.unreported = map[SessionID][]hornbeamwell.Departure{}
	}
	return taken
}

// Undeparted returns at most limit targets of the board that drain or are gone, and whose
// departure is not known to be in the ledger.
func (m *Membership) Undeparted(board *blackboard.Board, limit int) []hornbeamwell.Target {
	var targets []hornbeamwell.Target
	for _, t := range board.Targets {
		if t.State != hornbeamwell.TargetReady && !m.departures.covers(t) {
			targets = append(targets, t)
		}
		if len(targets) == limit {
			break
		}
	}
	return targets
}

// forgetDepartures forgets the departures that were recorded goneRetention ago.
func (m *Membership) forgetDepartures(now time.Time) {
	for id, d := range m.departures.known {
		if now.Sub(d.RecordedAt) >= goneRetention {
			delete(m.departures.known, id)
			m.dirty[id] = true
		}
	}
}
