package route

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// SuspectLifetime is the time after a crash for which a request that was in
	// flight is remembered, and refused if it is convicted.
	SuspectLifetime = 5 * time.Minute
	// maxSuspects bounds the remembered requests. Those with the oldest crash
	// are forgotten first.
	maxSuspects = 1_000
	// maxSpread bounds the requests that one message tells of.
	maxSpread = 16
	// laterCrash is the time by which a crash must be later than the known one
	// to put a cleared request under suspicion again.
	laterCrash = time.Second
)

// Fingerprint identifies a request by its content.
type Fingerprint uint64

// Suspicion is what is held against a request.
type Suspicion int

// The degrees of suspicion.
const (
	// SuspicionNone means that the request was in flight at no crash, or was
	// answered since.
	SuspicionNone Suspicion = iota
	// SuspicionCrash means that the request was in flight at a crash, as others
	// may have been.
	SuspicionCrash
	// SuspicionConfirmed means that the request ran as the only suspect of a
	// target when that crashed too.
	SuspicionConfirmed
)

// Suspect is a request that was in flight when a target crashed.
type Suspect struct {
	Fingerprint Fingerprint
	Suspicion   Suspicion
	// Until is the time at which the request is forgotten, a lifetime after
	// its last crash.
	Until time.Time
}

// Suspects remembers the requests that were in flight when targets crashed. It
// is not safe for use by several goroutines at once.
type Suspects struct {
	suspects map[Fingerprint]*Suspect
}

// NewSuspects returns an empty memory.
func NewSuspects() *Suspects {
	return &Suspects{suspects: make(map[Fingerprint]*Suspect)}
}

// Len returns the number of remembered requests, cleared ones included.
func (s *Suspects) Len() int { return len(s.suspects) }

// Add takes a suspect, or a request that was cleared elsewhere. It returns true
// if that was news.
func (s *Suspects) Add(now time.Time, suspect Suspect) bool {
	if !suspect.Until.After(now) {
		return false
	}
	if suspect.Until.After(now.Add(SuspectLifetime)) {
		suspect.Until = now.Add(SuspectLifetime)
	}
	known := s.suspects[suspect.Fingerprint]
	if known == nil {
		s.makeRoom(now)
		s.suspects[suspect.Fingerprint] = &suspect
		return true
	}
	if !known.yieldsTo(suspect) {
		return false
	}
	*known = suspect
	return true
}

// yieldsTo reports whether the other tells something new. A conviction stays; an
// answer clears a suspicion of the same crash; a later crash raises it again.
func (s *Suspect) yieldsTo(other Suspect) bool {
	switch {
	case s.Suspicion == other.Suspicion || s.Suspicion == SuspicionConfirmed:
		return false
	case other.Suspicion == SuspicionConfirmed:
		return true
	case other.Suspicion == SuspicionNone:
		return !s.Until.After(other.Until.Add(laterCrash))
	default:
		return other.Until.After(s.Until.Add(laterCrash))
	}
}

// Clear takes an answer to the request: it does not crash each target. A
// convicted request stays so, since it is not run. It returns true if that was
// news.
func (s *Suspects) Clear(fingerprint Fingerprint) bool {
	known := s.suspects[fingerprint]
	if known == nil || known.Suspicion != SuspicionCrash {
		return false
	}
	known.Suspicion = SuspicionNone
	return true
}

// Get returns what is held against the request and for how long.
func (s *Suspects) Get(now time.Time, fingerprint Fingerprint) (suspicion Suspicion, left time.Duration) {
	known := s.suspects[fingerprint]
	if known == nil {
		return SuspicionNone, 0
	}
	left = known.Until.Sub(now)
	if left <= 0 {
		delete(s.suspects, fingerprint)
		return SuspicionNone, 0
	}
	return known.Suspicion, left
}

func (s *Suspects) makeRoom(now time.Time) {
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

// Encode writes the convicted and the latest requests for another proxy.
func (s *Suspects) Encode(now time.Time) string {
	found := make([]*Suspect, 0, len(s.suspects))
	for _, known := range s.suspects {
		if known.Until.After(now) {
			found = append(found, known)
		}
	}
	slices.SortFunc(found, func(a, b *Suspect) int {
		if isA, isB := a.Suspicion == SuspicionConfirmed, b.Suspicion == SuspicionConfirmed; isA != isB {
			if isA {
				return -1
			}
			return 1
		}
		return b.Until.Compare(a.Until)
	})
	var text strings.Builder
	for i, known := range found[:min(len(found), maxSpread)] {
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

// DecodeSuspects reads what Encode wrote. It leaves out what it can't read.
func DecodeSuspects(now time.Time, text string) []Suspect {
	var suspects []Suspect
	for entry := range strings.SplitSeq(text, ";") {
		if suspect, valid := decodeSuspect(now, entry); valid && len(suspects) < maxSpread {
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
