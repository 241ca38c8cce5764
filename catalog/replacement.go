package catalog

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamwell/hornbeamwell"
)

// maxAccepted is the maximum number of accepted documents whose digests are
// stored to detect resends. Like maxOutcomes, it covers three days of 6,000
// changes a day.
const maxAccepted = 20_000

// Replacement replaces all resources with those of an operators' document. It is encoded as the difference from the document it is based on.
type Replacement struct {
	// Revision is the operators' revision of the document, BaseRevision the
	// revision of the document it is based on.
	Revision, BaseRevision uint64
	// Digest identifies the document.
	Digest uint64
	// Delta is the delta from the base document to this one.
	Delta []byte
	// Change is the change from the resources that were current at the proposal to
	// those of this document.
	Change Change
}

// NewReplacement returns the replacement of the current configuration by a
// document. It returns a *hornbeamwell.ConflictError if the document is based
// on another revision, and a *hornbeamwell.InvalidError if its resources are invalid.
func NewReplacement(current *hornbeamwell.Configuration, revision, base uint64, document []byte, wanted Resources) (Replacement, error) {
	if base != current.Revision {
		return Replacement{}, revisionConflict(base, current)
	}
	delta, err := encodeDelta(current.Document, document)
	if err != nil {
		return Replacement{}, err
	}
	wanted.Services = withCurrentVersions(current, wanted.Services)
	wanted = Change{Resources: wanted}.Result(&hornbeamwell.Configuration{})
	if err := checkResources(wanted); err != nil {
		return Replacement{}, err
	}
	return Replacement{
		Revision: revision, BaseRevision: base,
		Digest: documentDigest(document), Delta: delta,
		Change: Diff(current, wanted),
	}, nil
}

func revisionConflict(base uint64, current *hornbeamwell.Configuration) error {
	return &hornbeamwell.ConflictError{
		Expected: hornbeamwell.ConfigVersion(base),
		Current:  hornbeamwell.ConfigVersion(current.Revision),
	}
}

func documentDigest(document []byte) uint64 { return xxhash.Sum64(document) }

// HasAccepted reports whether the document has been accepted before.
func (c *Catalog) HasAccepted(document []byte) bool {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.accepted.has(documentDigest(document))
}

// documentSet is a bounded set of document digests in the order of insertion.
type documentSet struct {
	digests []uint64
}

func (s *documentSet) has(digest uint64) bool { return slices.Contains(s.digests, digest) }

func (s *documentSet) add(digest uint64) {
	s.digests = append(s.digests, digest)
	if len(s.digests) > maxAccepted {
		s.digests = s.digests[1:]
	}
}

// applyReplacement replaces the resources with those of the document.
// Open services keep the versions that moves have given them.
func (c *Catalog) applyReplacement(next *hornbeamwell.Configuration, at time.Time, r Replacement) Outcome {
	current := c.configuration
	if r.BaseRevision != current.Revision {
		return Outcome{Err: revisionConflict(r.BaseRevision, current)}
	}
	if r.Revision <= current.Revision {
		return Outcome{Err: invalid("revision", fmt.Sprintf("%d is not above the current revision %d", r.Revision, current.Revision))}
	}
	document, err := applyDelta(current.Document, r.Delta)
	if err != nil || documentDigest(document) != r.Digest {
		hornbeamwell.ReportViolation("document_delta_applies", "revision %d on %d: %v", r.Revision, r.BaseRevision, err)
		return Outcome{Err: invalid("document", "does not follow from the one that it builds on")}
	}
	wanted := r.Change.Result(current)
	wanted.Services = withCurrentVersions(current, wanted.Services)
	if err := checkResources(wanted); err != nil {
		return Outcome{Err: err}
	}
	next.Services, next.Routes, next.Teams = wanted.Services, wanted.Routes, wanted.Teams
	next.Revision, next.Document = r.Revision, document
	c.endOrphanedMoves(next, at)
	c.accepted.add(r.Digest)
	return Outcome{}
}

// withCurrentVersions returns the services with the current versions of each
// open service.
func withCurrentVersions(current *hornbeamwell.Configuration, services []hornbeamwell.Service) []hornbeamwell.Service {
	services = slices.Clone(services)
	for i, s := range services {
		if before, found := current.Service(s.Name); found && s.IsOpen && before.IsOpen {
			services[i].Versions = before.Versions
		}
	}
	return services
}

// endOrphanedMoves takes back the open moves whose service or versions no
// longer exist.
func (c *Catalog) endOrphanedMoves(next *hornbeamwell.Configuration, at time.Time) {
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
		c.endedMoves = append(slices.Clone(c.endedMoves), m)
	}
	next.Moves = open
}
