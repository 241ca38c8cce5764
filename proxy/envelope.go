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

// envelope is the metadata of a call that an entry proxy sends to the exit
// proxy. It is encoded in one header, because over HTTP/2 each header that
// differs from call to call would take an entry of the header compression table
// on both sides. The connections between proxies currently use HTTP/1.1.
type envelope struct {
	// id identifies the attempt.
	id string
	// target and version identify the target that the call is addressed to.
	target, version string
	route           string
	class           hornbeamwell.Class
	idempotent      bool
	// rank is the admission rank of the route, or the priority of the caller's team.
	// Lower ranks are admitted first.
	rank int
	// objective is the remaining latency objective: 0 if the route has none, at
	// least a microsecond otherwise.
	objective time.Duration
	// caller identifies the caller for fair queueing: the address of the caller, or
	// the text of teamCaller.
	caller string
	// timeout is the remaining time of the call.
	timeout     time.Duration
	fingerprint route.Fingerprint
}

// envelopeFields is the number of fields of an envelope.
const envelopeFields = 10

// targetPart returns the fields of an envelope that are constant for a target.
func targetPart(target hornbeamwell.Target) string {
	return url.PathEscape(target.ID) + ";" + url.PathEscape(target.Version)
}

// rulePart returns the fields of an envelope that are constant for a rule and a rank.
func rulePart(rule *route.Rule, rank int) string {
	return url.PathEscape(rule.Name) + ";" + formatClass(rule.Class, rule.Idempotent) + ";" + strconv.Itoa(rank)
}

// envelopePart returns the fields of an envelope that are constant for the rule and the
// team of the call.
func (c *entryCall) envelopePart() string {
	if c.team == nil {
		return c.state.envelopePart
	}
	return rulePart(c.rule, c.team.Priority)
}

// teamPrefix distinguishes the name of a team from the address of a caller.
const teamPrefix = "team:"

// teamCaller returns the text of an envelope for a caller of the team.
func teamCaller(name string) string { return teamPrefix + url.PathEscape(name) }

// team returns the text of teamCaller for the caller's team, empty for a caller without
// a team.
func (e *envelope) team() string {
	if !strings.HasPrefix(e.caller, teamPrefix) {
		return ""
	}
	return e.caller
}

func formatEnvelope(id, target, rule, caller string, objective, timeout time.Duration, fingerprint route.Fingerprint) string {
	return id + ";" + target + ";" + rule + ";" + formatDuration(objective) + ";" + caller + ";" + formatDuration(timeout) + ";" +
		strconv.FormatUint(uint64(fingerprint), 16)
}

// parseEnvelope decodes an envelope. It returns false if the text is not valid.
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
	objective, isObjective := parseDuration(fields[6])
	timeout, isTimeout := parseDuration(fields[8])
	fingerprint, err := strconv.ParseUint(fields[9], 16, 64)
	if !isTimeout || !isObjective || err != nil || rankErr != nil || e.id == "" || !areNames(fields[:]...) {
		return envelope{}, false
	}
	e.rank, e.objective = rank, objective
	e.timeout, e.fingerprint = timeout, route.Fingerprint(fingerprint)
	var valid bool
	if e.target, valid = unescape(fields[1]); !valid {
		return envelope{}, false
	}
	if e.version, valid = unescape(fields[2]); !valid {
		return envelope{}, false
	}
	if e.route, valid = unescape(fields[3]); !valid {
		return envelope{}, false
	}
	return e, true
}

// maxNameLength bounds the names in requests of other proxies, which outlive their requests
// in records and means. Escaped names of configurations and ids of proxies are shorter.
const maxNameLength = 1 << 10

// areNames reports whether no text is longer than a name.
func areNames(texts ...string) bool {
	for _, text := range texts {
		if len(text) > maxNameLength {
			return false
		}
	}
	return true
}

func unescape(text string) (string, bool) {
	plain, err := url.PathUnescape(text)
	return plain, err == nil
}

// replyEnvelope is the metadata of a response that an exit proxy sends to the
// entry proxy.
type replyEnvelope struct {
	id      string
	outcome route.Outcome
	// load is the number of calls that run or wait at the target.
	load int
	// duration is the mean duration of a call at the target.
	duration time.Duration
}

func formatReply(id string, outcome route.Outcome, load int, duration time.Duration) string {
	return id + ";" + string(outcome) + ";" + strconv.Itoa(load) + ";" + formatDuration(duration)
}

// parseReply decodes a reply envelope. It returns false if the text is not
// valid.
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
	duration, valid := parseDuration(durationText)
	if !found || !valid {
		return replyEnvelope{}, false
	}
	load, err := strconv.Atoi(loadText)
	if err != nil || load < 0 {
		return replyEnvelope{}, false
	}
	return replyEnvelope{id: id, outcome: route.Outcome(outcome), load: load, duration: duration}, true
}

// The codes for the class and the idempotence of a route.
const (
	classInteractive           = "i"
	classInteractiveIdempotent = "ii"
	classBulk                  = "b"
	classBulkIdempotent        = "bi"
)

// formatClass encodes the class and the idempotence of a route.
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

// parseClass decodes the class and the idempotence of a route. An unknown code
// means interactive and not idempotent.
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

// headerValue returns the value of the header, or an empty string unless it has
// exactly one. The name must be in canonical form.
func headerValue(h http.Header, name string) string {
	if values := h[name]; len(values) == 1 {
		return values[0]
	}
	return ""
}
