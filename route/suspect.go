package route

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// SuspectLifetime is the time after its last crash for which a request is
	// remembered.
	SuspectLifetime = 10 * time.Minute
	// crashesToRefuse is the number of crashes after which a request is
	// refused.
	crashesToRefuse = 2
	// maxSuspects bounds the remembered requests. Those with the oldest crash
	// are forgotten first.
	maxSuspects = 1_000
	// maxSpread bounds the requests that one message tells of.
	maxSpread = 16
)

// Fingerprint identifies a request by its content.
type Fingerprint uint64

// CrashID identifies one crash of one target.
type CrashID uint64

// Suspect is a request that was in flight when targets crashed.
type Suspect struct {
	Fingerprint Fingerprint
	// Crashes are different crashes, at least one and at most crashesToRefuse.
	Crashes []CrashID
	// Until is the time at which the request is forgotten.
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

// Len returns the number of remembered requests.
func (s *Suspects) Len() int { return len(s.suspects) }

// Add takes a crash with the request in flight. It returns true if that was
// news.
func (s *Suspects) Add(now time.Time, fingerprint Fingerprint, crash CrashID, until time.Time) bool {
	if !until.After(now) {
		return false
	}
	until = minTime(until, now.Add(SuspectLifetime))
	known := s.suspects[fingerprint]
	if known == nil {
		s.makeRoom(now)
		s.suspects[fingerprint] = &Suspect{Fingerprint: fingerprint, Crashes: []CrashID{crash}, Until: until}
		return true
	}
	if len(known.Crashes) >= crashesToRefuse || slices.Contains(known.Crashes, crash) {
		return false
	}
	known.Crashes = append(known.Crashes, crash)
	known.Until = maxTime(known.Until, until)
	return true
}

// Crashes returns the number of crashes of the request, and the time for which
// it is still remembered.
func (s *Suspects) Crashes(now time.Time, fingerprint Fingerprint) (count int, left time.Duration) {
	known := s.suspects[fingerprint]
	if known == nil {
		return 0, 0
	}
	left = known.Until.Sub(now)
	if left <= 0 {
		delete(s.suspects, fingerprint)
		return 0, 0
	}
	return len(known.Crashes), left
}

// IsRefused reports whether a request with so many crashes is refused.
func IsRefused(crashes int) bool { return crashes >= crashesToRefuse }

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

// Encode writes the requests with the latest crashes for another proxy.
func (s *Suspects) Encode(now time.Time) string {
	latest := make([]*Suspect, 0, len(s.suspects))
	for _, known := range s.suspects {
		if known.Until.After(now) {
			latest = append(latest, known)
		}
	}
	slices.SortFunc(latest, func(a, b *Suspect) int { return b.Until.Compare(a.Until) })
	var text strings.Builder
	for i, known := range latest[:min(len(latest), maxSpread)] {
		if i > 0 {
			text.WriteByte(';')
		}
		text.WriteString(strconv.FormatUint(uint64(known.Fingerprint), 16))
		text.WriteByte(',')
		text.WriteString(strconv.FormatInt(known.Until.Sub(now).Milliseconds(), 10))
		for _, crash := range known.Crashes {
			text.WriteByte(',')
			text.WriteString(strconv.FormatUint(uint64(crash), 16))
		}
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
	if len(fields) < 3 || len(fields) > 2+crashesToRefuse {
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
	suspect := Suspect{
		Fingerprint: Fingerprint(fingerprint),
		Until:       now.Add(time.Duration(millis) * time.Millisecond),
	}
	for _, field := range fields[2:] {
		crash, err := strconv.ParseUint(field, 16, 64)
		if err != nil {
			return Suspect{}, false
		}
		suspect.Crashes = append(suspect.Crashes, CrashID(crash))
	}
	return suspect, true
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
