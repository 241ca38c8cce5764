package route

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
)

func newRoute(name, host, prefix string, methods ...string) hornbeamwell.Route {
	return hornbeamwell.Route{
		Name: name, Host: host, PathPrefix: prefix, Methods: methods, Service: "s",
		Class: hornbeamwell.ClassInteractive, Timeout: time.Second, MaxBodyBytes: 1, MaxAttempts: 1,
	}
}

func matchConfiguration() *hornbeamwell.Configuration {
	return &hornbeamwell.Configuration{
		Version: 7,
		Services: []hornbeamwell.Service{{
			Name: "s", Versions: []hornbeamwell.TargetVersion{{Name: "v1", Share: hornbeamwell.FullShare}},
		}},
		Routes: []hornbeamwell.Route{
			newRoute("all", "", "/"),
			newRoute("host", "parts.example", "/"),
			newRoute("orders", "", "/orders"),
			newRoute("orders-post", "", "/orders/", "POST"),
			newRoute("orders-archive", "", "/orders/archive"),
		},
	}
}

// TestPrefixWithSlashMatchesOnlyBelowIt guards against a call that takes the route of a
// longer prefix, and with it the right to run again, although its path lacks the slash at
// the end of that prefix.
func TestPrefixWithSlashMatchesOnlyBelowIt(t *testing.T) {
	book, status := newRoute("book", "x", "/bookings/"), newRoute("status", "x", "/bookings/status/")
	plain := newRoute("plain", "x", "/bookings/status/plain")
	status.Idempotent, plain.Idempotent = true, true
	configuration := matchConfiguration()
	configuration.Routes = []hornbeamwell.Route{book, status, plain}
	table, err := NewTable(configuration)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		path, want string
		idempotent bool
	}{
		{"/bookings", "", false},
		{"/bookings/", "book", false},
		{"/bookings/status", "book", false},
		{"/bookings/status/", "status", true},
		{"/bookings/status//", "status", true},
		{"/bookings//status/", "book", false},
		{"/bookings/status/7", "status", true},
		{"/bookings/status7/", "book", false},
		{"/bookings/status/plain", "plain", true},
		{"/bookings/status/plain/", "plain", true},
		{"/bookings/status/plainer", "status", true},
	} {
		name, idempotent := "", false
		if rule := table.Match("x", "POST", c.path); rule != nil {
			name, idempotent = rule.Name, rule.Idempotent
		}
		if name != c.want || idempotent != c.idempotent {
			t.Errorf("%s: route %q, idempotent %v, want %q, %v", c.path, name, idempotent, c.want, c.idempotent)
		}
	}
}

func TestMatch(t *testing.T) {
	table, err := NewTable(matchConfiguration())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ host, method, path, want string }{
		{"x", "GET", "/", "all"},
		{"x", "GET", "/orders", "orders"},
		{"x", "POST", "/orders", "orders"},
		{"x", "POST", "/orders/", "orders-post"},
		{"x", "POST", "/orders/7", "orders-post"},
		{"x", "GET", "/orders/7", "orders"},
		{"x", "GET", "/orders-archive", "all"},
		{"x", "POST", "/orders/archive/7", "orders-archive"},
		{"Parts.Example:80", "GET", "/orders", "host"},
		{"parts.example.", "GET", "/", "host"},
		{"x", "GET", "orders", ""},
	} {
		got := ""
		if rule := table.Match(c.host, c.method, c.path); rule != nil {
			got = rule.Name
		}
		if got != c.want {
			t.Errorf("%s %s %s: route %q, want %q", c.host, c.method, c.path, got, c.want)
		}
	}
}

func TestNewTableListsEveryFault(t *testing.T) {
	configuration := matchConfiguration()
	configuration.Services[0].Versions[0].Share = 1
	configuration.Routes[0].Timeout = 0
	_, err := NewTable(configuration)
	var invalid *hornbeamwell.InvalidError
	if !errors.As(err, &invalid) || len(invalid.Faults) != 7 {
		t.Fatalf("got error %v, want an InvalidError with 7 faults", err)
	}
}

// FuzzMatch compares Match with a linear search for the longest prefix.
func FuzzMatch(f *testing.F) {
	table, err := NewTable(matchConfiguration())
	if err != nil {
		f.Fatal(err)
	}
	f.Add("parts.example:80", "POST", "/orders/archive")
	f.Add("[::1]:80", "GET", "/orders-archive")
	f.Fuzz(func(t *testing.T, host, method, path string) {
		rule := table.Match(host, method, path)
		exact, anyHost := longestPrefix(table, normalizeHost(host), method, path), longestPrefix(table, "", method, path)
		want := exact
		if want < 0 {
			want = anyHost
		}
		got := -1
		if rule != nil {
			got = len(rule.PathPrefix)
		}
		if got != want {
			t.Fatalf("%q %q %q matched %d bytes, want %d", host, method, path, got, want)
		}
	})
}

// longestPrefix returns the length of the longest matching prefix among the
// rules of the host, -1 if none matches.
func longestPrefix(table *Table, host, method, path string) int {
	longest := -1
	for _, r := range table.Rules {
		isUnder := path == r.PathPrefix || strings.HasPrefix(path, strings.TrimSuffix(r.PathPrefix, "/")+"/")
		isMethod := len(r.Methods) == 0 || slices.Contains(r.Methods, method)
		if r.Host == host && isUnder && isMethod && strings.HasPrefix(path, "/") {
			longest = max(longest, len(r.PathPrefix))
		}
	}
	return longest
}
