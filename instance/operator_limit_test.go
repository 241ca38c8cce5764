package instance

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

// TestOddOperatorRequestsAreRefused sends requests that are deeply nested, damaged or grow to
// many times their size. None may reach the operator service, exhaust the stack or make
// the process read more than its limit.
func TestOddOperatorRequestsAreRefused(t *testing.T) {
	var large bytes.Buffer
	writer := gzip.NewWriter(&large)
	// An unknown field of this length, which a decoder skips.
	const chunks = maxOperatorBytes>>20 + 1
	if _, err := writer.Write(binary.AppendUvarint([]byte{0xa2, 0x06}, chunks<<20)); err != nil {
		t.Fatal(err)
	}
	for range chunks {
		if _, err := writer.Write(make([]byte, 1<<20)); err != nil {
			t.Fatal(err)
		}
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	_, handler := newOperatorHandler(schema.UnimplementedOperatorServiceHandler{}, nil)
	nested := strings.Repeat(`{"x":`, 100_000) + "0" + strings.Repeat("}", 100_000)
	for name, odd := range map[string]struct {
		kind, encoding, body string
	}{
		"grows":               {"application/proto", "gzip", large.String()},
		"nested":              {"application/json", "", nested},
		"nested lists":        {"application/json", "", `{"x":` + strings.Repeat("[", 1_000_000)},
		"nested groups":       {"application/proto", "", strings.Repeat("\x0b", 1_000_000)},
		"length of 2^63":      {"application/proto", "", "\x0a\xff\xff\xff\xff\xff\xff\xff\xff\x7f"},
		"revision of 2^64":    {"application/json", "", `{"revision":"18446744073709551616"}`},
		"revision of 1e400":   {"application/json", "", `{"revision":1e400}`},
		"trailing bytes":      {"application/json", "", `{}{}`},
		"bytes without UTF-8": {"application/json", "", "{\"request_id\":\"\xff\"}"},
	} {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, schema.OperatorServiceReplaceProcedure, strings.NewReader(odd.body))
		request.Header.Set("Content-Type", odd.kind)
		if odd.encoding != "" {
			request.Header.Set("Content-Encoding", odd.encoding)
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if recorder.Code < 400 || recorder.Code == http.StatusNotImplemented {
			t.Errorf("%s: status %d, %.100s", name, recorder.Code, recorder.Body)
		}
	}
}
