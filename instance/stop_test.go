package instance

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell/settings"
)

// TestStopEndsWithinGracePeriod guards against a process that is killed at the end of its
// grace period although it serves no call: http.Server.Shutdown waits up to 5 s for a
// connection on which no request has arrived, one server after the other.
func TestStopEndsWithinGracePeriod(t *testing.T) {
	t.Parallel()
	const grace = 3 * time.Second
	s := settings.Settings{
		Instance: "proxy-0", Zone: "zone-0",
		Proxy:   settings.Proxy{Callers: freeAddress(t), Exit: freeAddress(t), Announce: freeAddress(t)},
		Sources: []netip.AddrPort{freeAddress(t)},
		Stop:    settings.Stop{Grace: grace},
	}
	process, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- process.Run(ctx) }()
	for _, address := range []netip.AddrPort{s.Proxy.Callers, s.Proxy.Exit, s.Proxy.Announce} {
		connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
	}
	// The servers have accepted the connections by then; one that they accept later
	// delays the stop no less.
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the process ended with %v", err)
		}
	case <-time.After(grace):
		t.Errorf("the process still runs %s after the signal", time.Since(began))
		<-ended
	}
}

// TestStopAnswersCallsThatOutlastIt guards against a process that is killed with a call of
// 10 s under way, and whose caller gets no answer: as the entry of the call and as the
// proxy beside its target.
func TestStopAnswersCallsThatOutlastIt(t *testing.T) {
	t.Parallel()
	const grace = 3 * time.Second
	d := newDeployment(t, "proxy-0", "proxy-1")
	for _, id := range []string{"proxy-0", "proxy-1"} {
		s := d.settings[id]
		s.Stop.Grace = grace
		d.settings[id] = s
	}
	d.startAll()
	d.startSlowTarget("proxy-0", "v1", 10*time.Second)
	d.awaitInForce("control-0", d.applyTimeout("control-0", 20*time.Second))
	for _, c := range []struct{ entry, stopped string }{{"proxy-1", "proxy-1"}, {"control-1", "proxy-0"}} {
		d.eventually(5*time.Second, func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			defer cancel()
			if _, err := d.call(ctx, c.entry); !errors.Is(err, context.DeadlineExceeded) {
				return fmt.Errorf("call through %s does not run: %w", c.entry, err)
			}
			return nil
		})
		result := make(chan error, 1)
		go func() {
			_, err := d.call(t.Context(), c.entry)
			result <- err
		}()
		time.Sleep(200 * time.Millisecond)
		began := time.Now()
		d.stop(c.stopped)
		if took := time.Since(began); took > grace {
			t.Errorf("%s ended %s after the signal, want at most %s", c.stopped, took, grace)
		}
		if err := <-result; err == nil || !strings.Contains(err.Error(), "abandoned") {
			t.Errorf("the call through %s ended with %v, want an answer that says it was abandoned", c.entry, err)
		}
	}
}

// TestStopLeavesComponentsThatDoNotEnd guards against a process that is killed because a
// component waits for another machine, such as the goodbye to a control instance.
func TestStopLeavesComponentsThatDoNotEnd(t *testing.T) {
	t.Parallel()
	const grace = 500 * time.Millisecond
	i := &Instance{settings: settings.Settings{Stop: settings.Stop{Grace: grace}}, logger: log.NewNopLogger(), now: time.Now, exitDue: make(chan struct{})}
	var group run.Group
	release := make(chan struct{})
	defer close(release)
	group.Add(func() error { <-release; return nil }, func(error) {})
	returned := make(chan error, 1)
	i.beginStop(time.Now())
	go func() { returned <- i.runComponents(&group) }()
	select {
	case err := <-returned:
		if err != nil {
			t.Errorf("the stop ended with %v", err)
		}
	case <-time.After(10 * grace):
		t.Error("the stop waits for the component")
	}
}
