package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// maxKeyLength bounds an idempotency key.
const maxKeyLength = 255

// protectedHeaders may not be named by a Connection header, because dropping
// them would change the meaning of the call on the next hop.
var protectedHeaders = []string{headerKey, "Host", "Content-Length", "Content-Type", "Authorization", "Cookie"}

// isUnambiguous reports whether every hop parses the request in the same way.
// net/http itself refuses several lengths, several hosts and invalid field
// names.
func isUnambiguous(r *http.Request) bool {
	return hasSafeRequestTarget(r) && hasSafeConnection(r.Header) && hasSafeKey(r.Header)
}

// hasSafeRequestTarget refuses CONNECT requests, requests without a host, paths
// without a leading slash, and paths that another parser may resolve to a
// different route: dot segments, encoded slashes, backslashes and zero bytes.
func hasSafeRequestTarget(r *http.Request) bool {
	if r.Method == http.MethodConnect || r.Host == "" || !strings.HasPrefix(r.URL.Path, "/") {
		return false
	}
	if strings.ContainsAny(r.URL.Path, "\\\x00") {
		return false
	}
	if r.URL.RawPath != "" && strings.Contains(strings.ToLower(r.URL.RawPath), "%2f") {
		return false
	}
	return !strings.Contains(r.URL.Path, "/.") || !hasDotSegment(r.URL.Path)
}

func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func hasSafeConnection(h http.Header) bool {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			for _, protected := range protectedHeaders {
				if strings.EqualFold(textproto.TrimString(name), protected) {
					return false
				}
			}
		}
	}
	return true
}

func hasSafeKey(h http.Header) bool {
	keys, found := h[headerKey]
	if !found {
		return true
	}
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxKeyLength {
		return false
	}
	for i := range len(keys[0]) {
		if c := keys[0][i]; c < 0x20 || c > 0x7e {
			return false
		}
	}
	return true
}
