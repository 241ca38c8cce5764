package proxy

import "testing"

// TestHeadScanFindsSplitHeader guards against a transfer encoding of an HTTP/1.0 response
// that goes unnoticed because the head comes in pieces, and against a refusal of responses
// that have none in their head.
func TestHeadScanFindsSplitHeader(t *testing.T) {
	for response, want := range map[string]bool{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":           true,
		"HTTP/1.0 200 OK\nX-A: b\ntransfer-encoding : chunked\n\n":        true,
		"HTTP/1.0 200 OK\r\n\r\nx\nTransfer-Encoding: chunked\r\n\r\n":    false,
		"HTTP/1.0 200 OK\n\nx\r\nTransfer-Encoding: chunked\r\n\r\n":      false,
		"HTTP/1.0 200 OK\r\nX-A: Transfer-Encoding\r\n\r\n":               false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":           false,
		"HTTP/1.1 200 OK\r\n\r\nHTTP/1.0\r\nTransfer-Encoding: x\r\n\r\n": false,
	} {
		for size := 1; size <= len(response); size++ {
			var scan headScan
			for rest := response; rest != ""; {
				n := min(size, len(rest))
				scan.add([]byte(rest[:n]))
				rest = rest[n:]
			}
			if scan.isEncoded != want {
				t.Errorf("%q in pieces of %d: %v", response, size, scan.isEncoded)
			}
		}
	}
}
