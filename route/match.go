package route

import (
	"net"
	"slices"
	"strings"
)

// Match returns the rule for a call, or nil if there is none. Rules for the
// exact host take precedence over rules for every host. Among the rules for one
// host, the longest prefix takes precedence. A prefix without a slash at its end
// matches whole segments, so that /orders does not match /orders-archive. One with
// a slash matches only below it: /orders/ does not match /orders.
func (t *Table) Match(host, method, path string) *Rule {
	if !strings.HasPrefix(path, "/") {
		return nil
	}
	if rules := t.byHost[normalizeHost(host)]; len(rules) > 0 {
		if rule := firstMatch(rules, method, path); rule != nil {
			return rule
		}
	}
	return firstMatch(t.byHost[""], method, path)
}

func firstMatch(rules []*Rule, method, path string) *Rule {
	for _, rule := range rules {
		if rule.matchesPath(path) && rule.matchesMethod(method) {
			return rule
		}
	}
	return nil
}

func (r *Rule) matchesPath(path string) bool {
	rest, found := strings.CutPrefix(path, r.PathPrefix)
	if !found {
		return false
	}
	return rest == "" || rest[0] == '/' || strings.HasSuffix(r.PathPrefix, "/")
}

func (r *Rule) matchesMethod(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// normalizeHost returns the host in lower case, without its port and without a
// dot at its end.
func normalizeHost(host string) string {
	if strings.LastIndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
