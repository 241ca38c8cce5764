package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// FuzzEnvelope checks that an envelope with arbitrary names is decoded
// unchanged.
func FuzzEnvelope(f *testing.F) {
	f.Add("a", "v1", "browse", "10.0.0.1", int64(5), uint64(7))
	f.Add("a;b", "%3b", "é\n", "::1", int64(0), uint64(0))
	f.Fuzz(func(t *testing.T, target, version, name, caller string, micros int64, fingerprint uint64) {
		if strings.Contains(caller, ";") || micros < 0 || micros > maxDuration.Microseconds() {
			return
		}
		rule := &route.Rule{Route: hornbeamwell.Route{Name: name, Class: hornbeamwell.ClassBulk, Idempotent: true}, Rank: int(fingerprint%5) - 1}
		timeout := time.Duration(micros) * time.Microsecond
		text := formatEnvelope("id", targetPart(hornbeamwell.Target{ID: target, Version: version}), rulePart(rule, rule.Rank), caller, timeout/2, timeout, route.Fingerprint(fingerprint))
		got, valid := parseEnvelope(text)
		want := envelope{
			id: "id", target: target, version: version, route: name, class: hornbeamwell.ClassBulk, idempotent: true,
			rank: rule.Rank, objective: (timeout / 2).Truncate(time.Microsecond),
			caller: caller, timeout: timeout, fingerprint: route.Fingerprint(fingerprint),
		}
		if !valid || got != want {
			t.Fatalf("encoded %q, decoded %+v, want %+v", text, got, want)
		}
	})
}

// FuzzHeaders checks that arbitrary header values cause no panic, that paths
// with dot segments or backslashes are refused, and that hop-by-hop and internal
// headers are removed.
func FuzzHeaders(f *testing.F) {
	f.Add("id;a;v;r;i;1;9;c;5;7", "id;ran;4;6", "1,1000,2;3,4", "close, x-a", "/a/../b")
	f.Fuzz(func(t *testing.T, call, reply, suspects, connection, path string) {
		parseEnvelope(call)
		parseReply(reply)
		route.DecodeSuspects(time.Unix(0, 0), suspects)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://x/", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		request.URL.Path = path
		if hasSafeRequestTarget(request) && (hasDotSegment(path) || strings.Contains(path, "\\")) {
			t.Fatalf("unsafe path %q was accepted", path)
		}
		h := http.Header{"Connection": {connection}, "X-A": {"1"}, "Hornbeamwell-Call": {call}, "Te": {"trailers"}}
		dropHopHeaders(h)
		dropOwnHeaders(h)
		if len(h["Connection"])+len(h["Te"])+len(h["Hornbeamwell-Call"]) != 0 {
			t.Fatalf("headers not removed: %v", h)
		}
	})
}
