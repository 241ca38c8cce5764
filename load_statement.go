package hornbeamwell

import (
	"math"
	"strconv"
	"strings"
)

// LoadStatement is what a target states in a response about its own load. Calls from
// elsewhere than the proxies count too. The zero value states nothing.
type LoadStatement struct {
	// IsStated is true where the target states its load. The other fields are
	// meaningless otherwise.
	IsStated bool
	// Running, Waiting and Slots count calls. They are not negative.
	Running, Waiting, Slots int
	// Pace is the duration of a call at present relative to the usual one, 0 where the
	// target states none. It is finite and not negative.
	Pace float64
}

// usualPace is the number by which targets state the usual pace.
const usualPace = 100

// ParseLoadStatement parses the running calls, the waiting calls, the slots and
// optionally the pace in percent, separated by commas. It returns false if the text is
// anything else.
func ParseLoadStatement(text string) (LoadStatement, bool) {
	var counts [3]int
	for i := range counts {
		field, rest, found := strings.Cut(text, ",")
		if isLast := i == len(counts)-1; !found && !isLast || found && isLast && rest == "" {
			return LoadStatement{}, false
		}
		count, err := strconv.ParseInt(strings.TrimSpace(field), 10, 32)
		if err != nil || count < 0 {
			return LoadStatement{}, false
		}
		counts[i], text = int(count), rest
	}
	statement := LoadStatement{IsStated: true, Running: counts[0], Waiting: counts[1], Slots: counts[2]}
	if text == "" {
		return statement, true
	}
	pace, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(pace) || math.IsInf(pace, 0) || pace <= 0 {
		return LoadStatement{}, false
	}
	statement.Pace = pace / usualPace
	return statement, true
}
