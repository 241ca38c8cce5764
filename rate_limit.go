package hornbeamwell

import (
	"math"
	"strconv"
	"strings"
)

// RateLimit is the rate of calls that a target accepts from all proxies together.
// The zero value is no limit.
type RateLimit struct {
	// IsLimited is false where the target accepts any rate.
	IsLimited bool
	// PerSecond is the accepted number of calls per second. It is finite and not
	// negative, and 0 unless IsLimited is true.
	PerSecond float64
}

// ParseRateLimit parses a decimal number of calls per second. It returns false if
// the text is not a finite number or is negative.
func ParseRateLimit(text string) (RateLimit, bool) {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return RateLimit{}, false
	}
	return RateLimit{IsLimited: true, PerSecond: perSecond}, true
}

// String returns the number of calls per second, "none" where there is no limit.
func (l RateLimit) String() string {
	if !l.IsLimited {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'f', -1, 64)
}
