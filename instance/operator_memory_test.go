package instance

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamwell/hornbeamwell/connection"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// memoryOperator answers Get with a document of the given size.
type memoryOperator struct {
	schema.UnimplementedOperatorServiceHandler
	document []byte
}

func (o *memoryOperator) Get(context.Context, *connect.Request[schema.GetRequest]) (*connect.Response[schema.GetResponse], error) {
	return connect.NewResponse(&schema.GetResponse{Configuration: &schema.Configuration{Document: o.document}}), nil
}

func (o *memoryOperator) Apply(context.Context, *connect.Request[schema.ApplyRequest]) (*connect.Response[schema.ApplyResponse], error) {
	return connect.NewResponse(&schema.ApplyResponse{Version: 1}), nil
}

func zipped(t *testing.T, data []byte) string {
	t.Helper()
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(data); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// TestOperatorMessagesDrawTheirMemory guards against requests that take many times their size once
// they are decoded, and against a budget that is not whole again after refused and accepted ones.
func TestOperatorMessagesDrawTheirMemory(t *testing.T) {
	t.Parallel()
	const budget = 8 << 20
	table := connection.NewTable(connection.Limits{MemoryBytes: budget, Connections: 10}, log.NewNopLogger())
	_, handler := newOperatorHandler(&memoryOperator{document: make([]byte, 1<<20)}, table)
	route, err := proto.Marshal(&schema.ApplyRequest{Routes: []*schema.Route{{Name: "a", Host: "a.example"}}})
	if err != nil {
		t.Fatal(err)
	}
	empty, err := proto.Marshal(&schema.ApplyRequest{Routes: []*schema.Route{{}}})
	if err != nil {
		t.Fatal(err)
	}
	const path = "/hornbeamwell.v1.OperatorService/"
	for _, c := range []struct {
		name, call, contentType, encoding, body string
		want                                    int
	}{
		{"a route", "Apply", "application/proto", "", string(route), http.StatusOK},
		{"a route in JSON", "Apply", "application/json", "", `{"routes":[{"name":"a","unknown":1}]}`, http.StatusOK},
		{"a compressed route", "Apply", "application/proto", "gzip", zipped(t, route), http.StatusOK},
		{"empty routes", "Apply", "application/proto", "", strings.Repeat(string(empty), 100_000), http.StatusBadRequest},
		{"empty routes in JSON", "Apply", "application/json", "", `{"routes":[` + strings.Repeat("{},", 100_000) + "{}]}", http.StatusBadRequest},
		{"compressed zeros", "Apply", "application/proto", "gzip", zipped(t, make([]byte, 30<<20)), http.StatusTooManyRequests},
		{"a document that is answered", "Get", "application/proto", "", "", http.StatusOK},
	} {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path+c.call, strings.NewReader(c.body))
		r.Header.Set("Content-Type", c.contentType)
		if c.encoding != "" {
			r.Header.Set("Content-Encoding", c.encoding)
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code != c.want {
			t.Errorf("%s: got %d, want %d: %.200s", c.name, w.Code, c.want, w.Body)
		}
		if release, err := table.Retain(budget); err != nil {
			t.Errorf("%s: the budget is not whole afterwards: %v", c.name, err)
		} else {
			release()
		}
	}
}

// TestRequestWithoutCallReleasesItsMemory guards against memory that stays drawn for a message that
// is decoded and never gets to a call: the first of two where only one is allowed.
func TestRequestWithoutCallReleasesItsMemory(t *testing.T) {
	t.Parallel()
	const budget = 1 << 20
	table := connection.NewTable(connection.Limits{MemoryBytes: budget, Connections: 10}, log.NewNopLogger())
	memory := newRequestMemory(table)
	release, err := table.Retain(budget)
	if err != nil {
		t.Fatal(err)
	}
	memory.addDecoded(&schema.ApplyRequest{Services: make([]*schema.Service, 100)}, release)
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		runtime.GC()
		if again, err := table.Retain(budget); err == nil {
			again()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the memory is not released within 10 s")
}
