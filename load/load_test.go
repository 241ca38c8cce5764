package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamwell/hornbeamwell/standin"
)

var (
	read  = Call{Weight: 3, Method: http.MethodGet, Path: "/read", Idempotent: true, ResponseBytes: 4096}
	write = Call{Weight: 1, Method: http.MethodPost, Path: "/write", Keyed: true}
)

// runLoad sends calls to an address for 250 ms.
func runLoad(t *testing.T, entry netip.AddrPort, options Options) Report {
	t.Helper()
	options.Entries = []netip.AddrPort{entry}
	options.Rate = 200
	options.Duration = 250 * time.Millisecond
	if options.Timeout == 0 {
		options.Timeout = 2 * time.Second
	}
	l, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	report, err := l.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func startTarget(t *testing.T, options standin.Options) *standin.Target {
	t.Helper()
	target, err := standin.New(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = target.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return target
}

// serveHandler serves a handler in place of an entry proxy and returns its
// address.
func serveHandler(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func TestLoadOnHealthyTarget(t *testing.T) {
	target := startTarget(t, standin.Options{Service: "s", Version: "v1", Delay: time.Millisecond, DrainGrace: time.Millisecond})
	count := RunCounter([]netip.AddrPort{target.Address()})
	report := runLoad(t, target.Address(), Options{Calls: []Call{read, write}, CountRuns: count})
	Convey("Every call is answered and no guarantee is violated", t, func() {
		So(report.Sent, ShouldBeGreaterThan, 30)
		So(report.Verdicts, ShouldResemble, map[Verdict]uint64{VerdictAnswered: report.Sent})
		So(report.Versions, ShouldResemble, map[string]uint64{"v1": report.Sent})
		So(report.RunsChecked && report.Passed(), ShouldBeTrue)
		So(report.Latency.P50, ShouldBeGreaterThanOrEqualTo, time.Millisecond)
	})
}

func TestLoadDetectsViolations(t *testing.T) {
	respond := func(w http.ResponseWriter, id string) {
		w.Header().Set(standin.HeaderRequestID, id)
		_, _ = w.Write(standin.ResponseBody(id, nil, 0))
	}
	twice := func(_ context.Context, prefix string) (RunCounts, error) {
		counts := map[string]int{}
		for i := range 200 {
			counts[fmt.Sprint(prefix, i)] = 2
		}
		return RunCounts{Counts: counts}, nil
	}
	never := func(context.Context, string) (RunCounts, error) { return RunCounts{}, nil }

	Convey("The response to another request is mismatched", t, func() {
		entry := serveHandler(t, func(w http.ResponseWriter, _ *http.Request) { respond(w, "other") })
		report := runLoad(t, entry, Options{Calls: []Call{write}})
		So(report.Verdicts[VerdictMismatched], ShouldEqual, report.Sent)
		So(report.Passed(), ShouldBeFalse)
	})
	Convey("A partial response is truncated", t, func() {
		entry := serveHandler(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("half"))
		})
		report := runLoad(t, entry, Options{Calls: []Call{write}})
		So(report.Verdicts[VerdictTruncated], ShouldEqual, report.Sent)
	})
	Convey("A connection that closes without a response is lost, and the request is not sent again", t, func() {
		requests := make(chan string, 1000)
		entry := serveHandler(t, func(w http.ResponseWriter, r *http.Request) {
			requests <- r.Header.Get(standin.HeaderRequestID)
			hijackAndClose(w)
		})
		report := runLoad(t, entry, Options{Calls: []Call{write}})
		So(report.Verdicts[VerdictLost], ShouldEqual, report.Sent)
		So(len(requests), ShouldEqual, report.Sent)
	})
	Convey("The counted runs reveal duplicate runs, calls that never ran and false refusals", t, func() {
		good := serveHandler(t, func(w http.ResponseWriter, r *http.Request) { respond(w, r.Header.Get(standin.HeaderRequestID)) })
		report := runLoad(t, good, Options{Calls: []Call{write}, CountRuns: twice})
		So(report.Duplicated, ShouldEqual, report.Sent)
		report = runLoad(t, good, Options{Calls: []Call{write}, CountRuns: never})
		So(report.NeverRun, ShouldEqual, report.Sent)
		refusing := serveHandler(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerOutcome, outcomeNotRun)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		report = runLoad(t, refusing, Options{Calls: []Call{write}, CountRuns: twice})
		So(report.FalseRefusals, ShouldEqual, report.Sent)
	})
}

func hijackAndClose(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	_ = conn.Close()
}
