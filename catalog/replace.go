package catalog

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamwell/hornbeamwell"
)

// maxAccepted bounds the accepted documents that are remembered for resends. It
// covers three days of 6,000 changes, as maxAnswers does.
const maxAccepted = 20_000

// Replacement is the operators' own document with the services and routes that
// it describes.
type Replacement struct {
	// Revision is the operators' number of the document, BaseRevision that of
	// the one that it builds on.
	Revision, BaseRevision uint64
	// Document is the operators' text.
	Document []byte
	Services []hornbeamwell.Service
	Routes   []hornbeamwell.Route
}

// documentSet remembers documents by digest.
type documentSet struct {
	digests []uint64
}

func (s *documentSet) has(document []byte) bool {
	return slices.Contains(s.digests, xxhash.Sum64(document))
}

func (s *documentSet) add(document []byte) {
	s.digests = append(s.digests, xxhash.Sum64(document))
	if len(s.digests) > maxAccepted {
		s.digests = s.digests[1:]
	}
}

// replace puts the document's services and routes in place of those before. The
// versions that moves settled in open services stay.
func (c *Catalog) replace(next *hornbeamwell.Configuration, at time.Time, r Replacement) Outcome {
	current := c.configuration
	if r.BaseRevision != current.Revision {
		return Outcome{Err: &hornbeamwell.ConflictError{
			Expected: hornbeamwell.ConfigVersion(r.BaseRevision),
			Current:  hornbeamwell.ConfigVersion(current.Revision),
		}}
	}
	if r.Revision <= current.Revision {
		return Outcome{Err: invalid("revision", fmt.Sprintf("%d is not above the current revision %d", r.Revision, current.Revision))}
	}
	services, routes := Change{Services: withSettledVersions(current, r.Services), Routes: r.Routes}.Result(&hornbeamwell.Configuration{})
	if err := checkContent(services, routes); err != nil {
		return Outcome{Err: err}
	}
	next.Services, next.Routes = services, routes
	next.Revision, next.Document = r.Revision, r.Document
	c.endOrphans(next, at)
	c.accepted.add(r.Document)
	return Outcome{}
}

// withSettledVersions gives open services the versions that they have.
func withSettledVersions(current *hornbeamwell.Configuration, services []hornbeamwell.Service) []hornbeamwell.Service {
	services = slices.Clone(services)
	for i, s := range services {
		if before, found := current.Service(s.Name); found && s.IsOpen && before.IsOpen {
			services[i].Versions = before.Versions
		}
	}
	return services
}

// endOrphans ends the open moves whose service or versions are gone.
func (c *Catalog) endOrphans(next *hornbeamwell.Configuration, at time.Time) {
	var open []hornbeamwell.Move
	for _, m := range next.Moves {
		service, found := next.Service(m.Service)
		_, hasFrom := service.Version(m.From)
		_, hasTo := service.Version(m.To)
		if found && hasFrom && hasTo {
			open = append(open, m)
			continue
		}
		m.Phase, m.Share, m.Paused = hornbeamwell.PhaseTakenBack, 0, false
		m.Reason = "the service or a version is no longer configured"
		m.EndedAt = at
		m.Step++
		c.ended = append(slices.Clone(c.ended), m)
	}
	next.Moves = open
}
