package proxy

import "bytes"

// headScan looks for a transfer encoding in the head of an HTTP/1.0 response. net/http
// removes and ignores it, although such a response has no length that can be trusted
// (RFC 9112, section 6.1).
type headScan struct {
	// head holds what was read of the head of an HTTP/1.0 response.
	head []byte
	// isDone is true once the head was read or is not of HTTP/1.0.
	isDone, isEncoded bool
}

var (
	http10Prefix     = []byte("HTTP/1.0")
	transferEncoding = []byte("\ntransfer-encoding")
)

// add scans the next bytes of the response.
func (s *headScan) add(b []byte) {
	if s.isDone || len(b) == 0 {
		return
	}
	if len(s.head) == 0 && len(b) >= len(http10Prefix) && !bytes.HasPrefix(b, http10Prefix) {
		// This is the case of nearly each response, which needs no copy.
		s.isDone = true
		return
	}
	s.head = append(s.head, b...)
	n := min(len(s.head), len(http10Prefix))
	if !bytes.Equal(s.head[:n], http10Prefix[:n]) {
		s.isDone, s.head = true, nil
		return
	}
	end := headEnd(s.head)
	if end < 0 {
		return
	}
	s.isEncoded = bytes.Contains(bytes.ToLower(s.head[:end]), transferEncoding)
	s.isDone, s.head = true, nil
}

// headEnd returns the position of the empty line that ends the head, negative if there is
// none.
func headEnd(b []byte) int {
	end := bytes.Index(b, []byte("\n\r\n"))
	if bare := bytes.Index(b, []byte("\n\n")); end < 0 || bare >= 0 && bare < end {
		return bare
	}
	return end
}
