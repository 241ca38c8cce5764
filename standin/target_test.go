package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// fakeProxy records the announcements that it receives.
type fakeProxy struct {
	mu       sync.Mutex
	requests []string
	last     announcement
}

func (f *fakeProxy) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, r.Method+" "+r.URL.Path)
	if r.Method == http.MethodPut {
		_ = json.NewDecoder(r.Body).Decode(&f.last)
	}
}

func (f *fakeProxy) seen() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.requests...)
}

// run starts a target and returns it with a function that stops it and the
// result of Run.
func run(t *testing.T, options Options) (target *Target, stop context.CancelFunc, ended <-chan error) {
	t.Helper()
	target, err := New(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- target.Run(ctx) }()
	return target, cancel, result
}

func get(t *testing.T, target *Target, path string, header ...string) (body string, err error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+target.Address().String()+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

func TestTargetFinishesCallsBeforeStop(t *testing.T) {
	proxy := &fakeProxy{}
	server := httptest.NewServer(proxy)
	defer server.Close()
	target, stop, ended := run(t, Options{
		Service: "parts", Version: "v2", Delay: 300 * time.Millisecond, DrainGrace: time.Millisecond,
		Announce: netip.MustParseAddrPort(server.Listener.Addr().String()),
	})
	inFlight := make(chan string, 1)
	go func() {
		body, _ := get(t, target, "/x", HeaderRequestID, "r1")
		inFlight <- body
	}()
	Convey("A call in flight at the stop receives its complete response, and the proxy receives the withdrawal last", t, func() {
		time.Sleep(100 * time.Millisecond)
		stop()
		So(<-inFlight, ShouldEqual, string(ResponseBody("r1", nil, 0)))
		So(<-ended, ShouldBeNil)
		seen := proxy.seen()
		So(seen[0], ShouldEqual, "PUT /v1/target")
		So(seen[len(seen)-1], ShouldEqual, "DELETE /v1/target")
		So(proxy.last.Service, ShouldEqual, "parts")
		So(proxy.last.Address, ShouldEqual, target.Address().String())
	})
}

func TestTargetCrashesOnRequest(t *testing.T) {
	runs := NewRuns()
	target, stop, ended := run(t, Options{Runs: runs})
	defer stop()
	Convey("A request with the crash header ends the target without a response, and its run is counted", t, func() {
		_, err := get(t, target, "/x", HeaderRequestID, "poison", HeaderCrash, "1")
		So(err, ShouldNotBeNil)
		So(errors.Is(<-ended, ErrCrashed), ShouldBeTrue)
		So(runs.WithPrefix("poison")["poison"], ShouldBeGreaterThanOrEqualTo, 1)
	})
}

// TestCrashIsReportedAfterEndOfServer guards against a crash that is reported as a
// failure of the server: the crash ends the server too, so both may have happened before
// Run waits for either.
func TestCrashIsReportedAfterEndOfServer(t *testing.T) {
	target, err := New(t.Context(), Options{})
	if err != nil {
		t.Fatal(err)
	}
	target.Crash()
	// select chooses at random between two cases that are ready.
	for range 100 {
		served := make(chan error, 1)
		served <- http.ErrServerClosed
		if err := target.awaitStop(t.Context(), served); !errors.Is(err, ErrCrashed) {
			t.Fatalf("a crashed target whose server has ended reports %v", err)
		}
	}
}

// TestCrashDuringDrainIsReported guards against a target that reports a complete drain
// although it crashed while it waited for its calls.
func TestCrashDuringDrainIsReported(t *testing.T) {
	target, stop, ended := run(t, Options{Delay: time.Minute, DrainGrace: time.Nanosecond})
	answered := make(chan error, 1)
	go func() {
		_, err := get(t, target, "/x")
		answered <- err
	}()
	for target.running.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	stop()
	// Shutdown closes the listener before it waits for the call.
	for isListening(t, target) {
		time.Sleep(time.Millisecond)
	}
	target.Crash()
	if err := <-ended; !errors.Is(err, ErrCrashed) {
		t.Errorf("the target that crashed during its drain reports %v", err)
	}
	if err := <-answered; err == nil {
		t.Error("the call at the crashed target received a response")
	}
}

func isListening(t *testing.T, target *Target) bool {
	t.Helper()
	var dialer net.Dialer
	connection, err := dialer.DialContext(t.Context(), "tcp", target.Address().String())
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

func TestFaultsFollowOptions(t *testing.T) {
	start := time.Now()
	Convey("Faults occur on their paths, after FaultsAfter and above FaultsAbove", t, func() {
		f := newFaults(Options{
			Delay: time.Millisecond, FaultsAfter: time.Second, FaultsAbove: 2, ShedAbove: 9, ColdStart: 100 * time.Millisecond, ColdDelay: time.Second,
			Paths: []PathFault{{Prefix: "/pay", FailureShare: 1, Delay: time.Minute}},
		}, start)
		late := start.Add(2 * time.Second)
		So(f.plan(start, "/pay", 5), ShouldResemble, callBehavior{delay: time.Second + time.Millisecond})
		So(f.plan(late, "/pay", 2), ShouldResemble, callBehavior{delay: time.Millisecond})
		So(f.plan(late, "/pay", 3), ShouldResemble, callBehavior{delay: time.Minute + time.Millisecond, fails: true})
		So(f.plan(late, "/list", 3), ShouldResemble, callBehavior{delay: time.Millisecond})
		So(f.plan(late, "/list", 10), ShouldResemble, callBehavior{sheds: true})
	})
}
