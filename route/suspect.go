package route

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// SuspectLifetime is the time after a crash for which a request that was in
	// flight is recorded, and refused if it is confirmed.
	SuspectLifetime = 5 * time.Minute
	// maxSuspects bounds the recorded requests. Those with the oldest crash are
	// evicted first.
	maxSuspects = 1_000
	// maxEncodedSuspects bounds the requests in one message.
	maxEncodedSuspects = 16
	// crashTimeMargin is the minimum time by which a crash must be later than
	// the recorded one to make a cleared request a suspect again.
	crashTimeMargin = time.Second
)

// Fingerprint identifies a request by its content.
type Fingerprint uint64

// Suspicion is the degree to which a request is suspected of crashing targets.
type Suspicion int

// The degrees of suspicion.
const (
	// SuspicionNone means that the request was in flight at no crash, or has
	// been answered since.
	SuspicionNone Suspicion = iota
	// SuspicionCrash means that the request was in flight at a crash, possibly
	// with others.
	SuspicionCrash
	// SuspicionConfirmed means that a target also crashed while the request ran
	// there as the only suspect.
	SuspicionConfirmed
)

// Suspect is a request that was in flight when a target crashed.
type Suspect struct {
	Fingerprint Fingerprint
	Suspicion   Suspicion
	// Until is the time at which the record expires, SuspectLifetime after the
	// crash that set the suspicion. Later crashes that leave the suspicion
	// unchanged do not extend it.
	Until time.Time
}

// Suspects records the requests that were in flight when targets crashed. It is
// not safe for concurrent use.
type Suspects struct {
	suspects map[Fingerprint]*Suspect
}

// NewSuspects returns empty Suspects.
func NewSuspects() *Suspects {
	return &Suspects{suspects: make(map[Fingerprint]*Suspect)}
}

// Len returns the number of recorded requests, including cleared ones and
// expired ones that have not been removed.
func (s *Suspects) Len() int { return len(s.suspects) }

// Add records a suspect, or a request that was cleared by another proxy. It
// returns true if the records changed.
func (s *Suspects) Add(now time.Time, suspect Suspect) bool {
	if !suspect.Until.After(now) {
		return false
	}
	if suspect.Until.After(now.Add(SuspectLifetime)) {
		suspect.Until = now.Add(SuspectLifetime)
	}
	known := s.suspects[suspect.Fingerprint]
	if known == nil {
		s.evict(now)
		s.suspects[suspect.Fingerprint] = &suspect
		return true
	}
	if !known.isSupersededBy(suspect) {
		return false
	}
	*known = suspect
	return true
}

// isSupersededBy reports whether other replaces s. A confirmed suspicion is
// final, a response clears a suspicion of the same crash, and a later crash
// restores it.
func (s *Suspect) isSupersededBy(other Suspect) bool {
	switch {
	case s.Suspicion == other.Suspicion || s.Suspicion == SuspicionConfirmed:
		return false
	case other.Suspicion == SuspicionConfirmed:
		return true
	case other.Suspicion == SuspicionNone:
		return !s.Until.After(other.Until.Add(crashTimeMargin))
	default:
		return other.Until.After(s.Until.Add(crashTimeMargin))
	}
}

// Clear clears a request that was answered, since it does not crash every
// target. A confirmed request stays confirmed, since it is not run. Clear
// returns true if the records changed.
func (s *Suspects) Clear(fingerprint Fingerprint) bool {
	known := s.suspects[fingerprint]
	if known == nil || known.Suspicion != SuspicionCrash {
		return false
	}
	known.Suspicion = SuspicionNone
	return true
}

// Get returns the suspicion of the request and the time until it expires.
func (s *Suspects) Get(now time.Time, fingerprint Fingerprint) (suspicion Suspicion, remaining time.Duration) {
	known := s.suspects[fingerprint]
	if known == nil {
		return SuspicionNone, 0
	}
	remaining = known.Until.Sub(now)
	if remaining <= 0 {
		delete(s.suspects, fingerprint)
		return SuspicionNone, 0
	}
	return known.Suspicion, remaining
}

func (s *Suspects) evict(now time.Time) {
	if len(s.suspects) < maxSuspects {
		return
	}
	var oldest *Suspect
	for fingerprint, known := range s.suspects {
		if !known.Until.After(now) {
			delete(s.suspects, fingerprint)
			continue
		}
		if oldest == nil || known.Until.Before(oldest.Until) {
			oldest = known
		}
	}
	if len(s.suspects) >= maxSuspects && oldest != nil {
		delete(s.suspects, oldest.Fingerprint)
	}
}

// Encode encodes up to maxEncodedSuspects requests for another proxy: confirmed
// ones first, then those with the latest crash.
func (s *Suspects) Encode(now time.Time) string {
	found := make([]*Suspect, 0, len(s.suspects))
	for _, known := range s.suspects {
		if known.Until.After(now) {
			found = append(found, known)
		}
	}
	slices.SortFunc(found, func(a, b *Suspect) int {
		if isAConfirmed, isBConfirmed := a.Suspicion == SuspicionConfirmed, b.Suspicion == SuspicionConfirmed; isAConfirmed != isBConfirmed {
			if isAConfirmed {
				return -1
			}
			return 1
		}
		return b.Until.Compare(a.Until)
	})
	var text strings.Builder
	for i, known := range found[:min(len(found), maxEncodedSuspects)] {
		if i > 0 {
			text.WriteByte(';')
		}
		text.WriteString(strconv.FormatUint(uint64(known.Fingerprint), 16))
		text.WriteByte(',')
		text.WriteString(strconv.FormatInt(known.Until.Sub(now).Milliseconds(), 10))
		text.WriteByte(',')
		text.WriteString(strconv.Itoa(int(known.Suspicion)))
	}
	return text.String()
}

// DecodeSuspects decodes the output of Encode. It skips invalid entries.
func DecodeSuspects(now time.Time, text string) []Suspect {
	var suspects []Suspect
	for entry := range strings.SplitSeq(text, ";") {
		if suspect, valid := decodeSuspect(now, entry); valid && len(suspects) < maxEncodedSuspects {
			suspects = append(suspects, suspect)
		}
	}
	return suspects
}

func decodeSuspect(now time.Time, entry string) (Suspect, bool) {
	fields := strings.Split(entry, ",")
	if len(fields) != 3 {
		return Suspect{}, false
	}
	fingerprint, err := strconv.ParseUint(fields[0], 16, 64)
	if err != nil {
		return Suspect{}, false
	}
	millis, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil || millis <= 0 || millis > SuspectLifetime.Milliseconds() {
		return Suspect{}, false
	}
	suspicion, err := strconv.Atoi(fields[2])
	if err != nil || Suspicion(suspicion) < SuspicionNone || Suspicion(suspicion) > SuspicionConfirmed {
		return Suspect{}, false
	}
	return Suspect{
		Fingerprint: Fingerprint(fingerprint),
		Suspicion:   Suspicion(suspicion),
		Until:       now.Add(time.Duration(millis) * time.Millisecond),
	}, true
}
