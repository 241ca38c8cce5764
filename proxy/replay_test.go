package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hornbeamwell/hornbeamwell"
)

// replayCalls are calls that must not run twice. The pool of net/http would
// resend some of them when a reused connection breaks.
var replayCalls = []struct {
	name, method, path, key, body string
}{
	{"POST with a key", http.MethodPost, "/pairings", "key", ""},
	{"GET on a route that is not idempotent", http.MethodGet, "/pairings", "", ""},
	{"DELETE with a body and a key", http.MethodDelete, "/pairings", "key", "body"},
	{"POST without a key", http.MethodPost, "/pairings", "", "body"},
}

// runCounter counts the runs of each call by its number.
type runCounter struct {
	runs [100_000]atomic.Int32
}

func (c *runCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var number int
	if _, err := fmt.Sscanf(r.Header.Get("X-Number"), "%d", &number); err == nil {
		c.runs[number].Add(1)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = fmt.Fprintf(w, "answer %d", number)
}

// TestNoSilentReplay guards against a call that runs twice because a reused
// connection breaks and the call is sent again. It cuts the connection at every
// byte position, in each direction and on each hop.
func TestNoSilentReplay(t *testing.T) {
	for _, hop := range []string{"exit to target", "entry to exit"} {
		for _, c := range replayCalls {
			t.Run(hop+", "+c.name, func(t *testing.T) {
				counter := &runCounter{}
				entry, fault := faultProxyMesh(t, hop, counter)
				number := 0
				send := func() (int, callResult) {
					number++
					request, err := http.NewRequestWithContext(context.Background(), c.method, entry+c.path, strings.NewReader(c.body))
					if err != nil {
						t.Fatal(err)
					}
					request.Header.Set("X-Number", fmt.Sprint(number))
					if c.key != "" {
						request.Header.Set("Idempotency-Key", fmt.Sprint(c.key, number))
					}
					return number, do(request)
				}
				for range 2 {
					fault.reset()
					if _, got := send(); got.status != http.StatusOK {
						t.Fatalf("status %d, error %v, outcome %s", got.status, got.err, got.header.Get(headerOutcome))
					}
				}
				sizes := fault.reset()
				for side, size := range sizes {
					for position := 0; position <= size; position++ {
						if _, got := send(); got.status != http.StatusOK {
							t.Fatalf("before position %d: status %d, reason %s", position, got.status, got.header.Get(headerReason))
						}
						fault.cutAfter(position, side == 1)
						n, got := send()
						fault.reset()
						checkCut(t, counter, n, position, got)
					}
				}
			})
		}
	}
}

// checkCut checks the result of a call whose connection was cut.
func checkCut(t *testing.T, counter *runCounter, number, position int, got callResult) {
	t.Helper()
	runs := counter.runs[number].Load()
	outcome := got.header.Get(headerOutcome)
	switch {
	case got.err != nil:
		t.Errorf("position %d: no response: %v", position, got.err)
	case runs > 1:
		t.Errorf("position %d: ran %d times", position, runs)
	case outcome == "not-run" && runs != 0:
		t.Errorf("position %d: outcome is not-run, but the call ran %d times", position, runs)
	case outcome == "" && (got.status != http.StatusOK || got.body != fmt.Sprintf("answer %d", number)):
		t.Errorf("position %d: status %d, body %q", position, got.status, got.body)
	}
}

// faultProxyMesh returns a mesh with one target and a fault proxy on the hop.
func faultProxyMesh(t *testing.T, hop string, app http.Handler) (entry string, fault *faultProxy) {
	t.Helper()
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	address := serve(t, &http.Server{Handler: app})
	if hop == "exit to target" {
		fault = newFaultProxy(t, address)
		address = fault.address
	}
	n := m.addAt("a", "v1", "north", 10, address)
	if hop == "entry to exit" {
		fault = newFaultProxy(t, n.target.Exit)
		n.target.Exit = fault.address
	}
	m.update()
	return n.entry, fault
}
