package proxy

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// envelope is what an entry proxy says of a call to the exit proxy. It travels
// in one header: each header that differs from call to call costs both sides
// an entry in the table of HTTP/2's header compression.
type envelope struct {
	// id names the attempt.
	id string
	// target and version are those that the call is for.
	target, version string
	route           string
	class           hornbeamwell.Class
	idempotent      bool
	// rank is that of the route's calls.
	rank int
	// objective is what is left of the route's latency objective, 0 where the
	// route has none, and at least a microsecond where it has one.
	objective time.Duration
	caller    string
	// timeout is the remaining time of the call.
	timeout     time.Duration
	fingerprint route.Fingerprint
}

// envelopeFields is the number of fields of an envelope.
const envelopeFields = 10

// targetPart returns the constant part of the envelopes to a target.
func targetPart(target hornbeamwell.Target) string {
	return url.PathEscape(target.ID) + ";" + url.PathEscape(target.Version)
}

// rulePart returns the constant part of the envelopes of a rule.
func rulePart(rule *route.Rule) string {
	return url.PathEscape(rule.Name) + ";" + formatClass(rule.Class, rule.Idempotent) + ";" + strconv.Itoa(rule.Rank)
}

// formatEnvelope writes an envelope.
func formatEnvelope(id, target, rule, caller string, objective, timeout time.Duration, fingerprint route.Fingerprint) string {
	return id + ";" + target + ";" + rule + ";" + formatTimeout(objective) + ";" + caller + ";" + formatTimeout(timeout) + ";" +
		strconv.FormatUint(uint64(fingerprint), 16)
}

// parseEnvelope reads an envelope. It returns false for anything else.
func parseEnvelope(text string) (envelope, bool) {
	var fields [envelopeFields]string
	for i := range envelopeFields - 1 {
		field, rest, found := strings.Cut(text, ";")
		if !found {
			return envelope{}, false
		}
		fields[i], text = field, rest
	}
	fields[envelopeFields-1] = text
	e := envelope{id: fields[0], caller: fields[7]}
	e.class, e.idempotent = parseClass(fields[4])
	rank, rankErr := strconv.Atoi(fields[5])
	objective, isObjective := parseTimeout(fields[6])
	timeout, isTimeout := parseTimeout(fields[8])
	fingerprint, err := strconv.ParseUint(fields[9], 16, 64)
	if !isTimeout || !isObjective || err != nil || rankErr != nil || e.id == "" {
		return envelope{}, false
	}
	e.rank, e.objective = rank, objective
	e.timeout, e.fingerprint = timeout, route.Fingerprint(fingerprint)
	var isEscaped bool
	if e.target, isEscaped = unescape(fields[1]); !isEscaped {
		return envelope{}, false
	}
	if e.version, isEscaped = unescape(fields[2]); !isEscaped {
		return envelope{}, false
	}
	if e.route, isEscaped = unescape(fields[3]); !isEscaped {
		return envelope{}, false
	}
	return e, true
}

func unescape(text string) (string, bool) {
	plain, err := url.PathUnescape(text)
	return plain, err == nil
}

// replyEnvelope is what an exit proxy says of a call to the entry proxy.
type replyEnvelope struct {
	id      string
	outcome route.Outcome
	// load is the number of calls that run or wait at the target.
	load int
	// duration is the mean duration of a call there.
	duration time.Duration
}

// formatReply writes a reply envelope.
func formatReply(id string, outcome route.Outcome, load int, duration time.Duration) string {
	return id + ";" + string(outcome) + ";" + strconv.Itoa(load) + ";" + formatTimeout(duration)
}

// parseReply reads a reply envelope. It returns false for anything else.
func parseReply(text string) (replyEnvelope, bool) {
	id, rest, found := strings.Cut(text, ";")
	if !found {
		return replyEnvelope{}, false
	}
	outcome, rest, found := strings.Cut(rest, ";")
	if !found {
		return replyEnvelope{}, false
	}
	loadText, durationText, found := strings.Cut(rest, ";")
	duration, valid := parseTimeout(durationText)
	if !found || !valid {
		return replyEnvelope{}, false
	}
	load, err := strconv.Atoi(loadText)
	if err != nil || load < 0 {
		return replyEnvelope{}, false
	}
	return replyEnvelope{id: id, outcome: route.Outcome(outcome), load: load, duration: duration}, true
}

// The words for the class and the idempotence of a route.
const (
	classInteractive           = "i"
	classInteractiveIdempotent = "ii"
	classBulk                  = "b"
	classBulkIdempotent        = "bi"
)

// formatClass writes the class and the idempotence of a route.
func formatClass(class hornbeamwell.Class, idempotent bool) string {
	isBulk := class == hornbeamwell.ClassBulk
	switch {
	case isBulk && idempotent:
		return classBulkIdempotent
	case isBulk:
		return classBulk
	case idempotent:
		return classInteractiveIdempotent
	default:
		return classInteractive
	}
}

// parseClass reads what formatClass wrote. Whatever it does not know is
// interactive and not idempotent.
func parseClass(text string) (class hornbeamwell.Class, idempotent bool) {
	switch text {
	case classBulk:
		return hornbeamwell.ClassBulk, false
	case classBulkIdempotent:
		return hornbeamwell.ClassBulk, true
	case classInteractiveIdempotent:
		return hornbeamwell.ClassInteractive, true
	default:
		return hornbeamwell.ClassInteractive, false
	}
}

// headerValue returns the only value of a header with a canonical name, empty
// without one.
func headerValue(h http.Header, name string) string {
	if values := h[name]; len(values) == 1 {
		return values[0]
	}
	return ""
}
