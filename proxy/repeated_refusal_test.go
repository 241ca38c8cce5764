package proxy

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// refusingCodec is a header codec for targets that refuse calls with 503.
type refusingCodec struct{ echoCodec }

// ReadResponse implements hornbeamwell.HeaderCodec.
func (refusingCodec) ReadResponse(status int, h http.Header) hornbeamwell.ResponseMetadata {
	metadata := plainHeaderCodec{}.ReadResponse(status, h)
	metadata.CallID = headerValue(h, headerRequestID)
	metadata.NotRun = status == http.StatusServiceUnavailable
	return metadata
}

// listenRaw serves each connection and returns the address.
func listenRaw(t *testing.T, serveConnection func(c net.Conn)) netip.AddrPort {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serveConnection(c)
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestRefusalOfEarlierCallChangesNothing guards against a refusal without an id, on a
// connection that carried an earlier call, that changes what the proxy knows: that the call
// was handed over, and that the target takes calls without a limit.
func TestRefusalOfEarlierCallChangesNothing(t *testing.T) {
	address := listenRaw(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		response := "HTTP/1.1 200 OK\r\nRequest-Id: c1\r\nContent-Length: 0\r\n\r\n"
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = fmt.Fprint(c, response)
			response = "HTTP/1.1 503 x\r\nHornbeamwell-Leaving: 1\r\nHornbeamwell-Rate-Limit: 1\r\nContent-Length: 0\r\n\r\n"
		}
	})
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	n := m.addAt("a", "v1", "north", 1, address)
	n.proxy.options.HeaderCodec = refusingCodec{}
	m.update()
	var refused *refusal
	last := ""
	for _, id := range []string{"c1", "c2"} {
		last = n.proxy.nextAttemptID()
		attempt := testAttempt(t, n, last)
		attempt.request.Header[headerRequestID] = []string{id}
		_, refused = n.proxy.run(attempt)
	}
	if refused == nil || refused.outcome != route.OutcomeUnknown || refused.reason != ReasonForeignResponse {
		t.Errorf("the second call ended with %+v, want an unknown outcome", refused)
	}
	if d := n.proxy.attemptRecords.withdraw(time.Now(), last); d.result != withdrawalStarted {
		t.Errorf("the withdrawal of the second call returned %q, want %q", d.result, withdrawalStarted)
	}
	local := n.proxy.local.Load()
	if local.isLeaving.Load() || local.gate.rateLimit().IsLimited {
		t.Errorf("the target counts as leaving: %v, its rate limit is %v", local.isLeaving.Load(), local.gate.rateLimit())
	}
}

// TestReplyToOtherAttemptEndsConnection guards against a connection to an exit proxy that is
// used again after a reply to another attempt, so that each reply on it is for the attempt
// before.
func TestReplyToOtherAttemptEndsConnection(t *testing.T) {
	hornbeamwell.PanicOnViolation.Store(false)
	defer hornbeamwell.PanicOnViolation.Store(true)
	for name, header := range map[string]string{
		"refusal of another attempt":  headerCall + ": " + formatReply("1-1", route.OutcomeNotRun, 0, 0) + "\r\n",
		"response to another attempt": headerCall + ": " + formatReply("1-1", route.OutcomeRan, 0, 0) + "\r\n",
		"no attempt":                  "",
	} {
		var reused atomic.Int64
		exit := listenRaw(t, func(c net.Conn) {
			reader := bufio.NewReader(c)
			for number := 1; ; number++ {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				if number > 1 {
					reused.Add(1)
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 503 x\r\n%sContent-Length: 0\r\n\r\n", header)
			}
		})
		n := newSingleNode(t, func(http.ResponseWriter, *http.Request) {})
		for range 3 {
			attempt := testAttempt(t, n, n.proxy.nextAttemptID())
			attempt.upstream.peer = n.proxy.peers.get(exit)
			if _, refused := n.proxy.run(attempt); refused == nil || refused.outcome != route.OutcomeUnknown {
				t.Errorf("%s: the attempt ended with %+v, want an unknown outcome", name, refused)
			}
		}
		if reused.Load() > 0 {
			t.Errorf("%s: %d attempts used the connection again", name, reused.Load())
		}
	}
}

// TestSwitchOfProtocolsIsNoResponse guards against a 101, which no call asks for, that ends
// a call: its caller got it as the response.
func TestSwitchOfProtocolsIsNoResponse(t *testing.T) {
	address := listenRaw(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = fmt.Fprint(c, "HTTP/1.1 101 Switching Protocols\r\n\r\n")
			time.Sleep(5 * time.Millisecond)
			_, _ = fmt.Fprint(c, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	})
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	n := m.addAt("a", "v1", "north", 1, address)
	m.update()
	for _, path := range []string{"/profiles/1", "/pairings/1"} {
		got := call(t.Context(), http.MethodGet, n.entry+path, "", "")
		if got.status != http.StatusBadGateway || got.header.Get(headerOutcome) != string(route.OutcomeUnknown) {
			t.Errorf("%s: status %d, outcome %q, error %v, want an unknown outcome", path, got.status, got.header.Get(headerOutcome), got.err)
		}
	}
}

// TestHealthRequestGetsNoEarlierResponse guards against a refusal written once more that is
// taken for the response to a health request: no connection carries two of them.
func TestHealthRequestGetsNoEarlierResponse(t *testing.T) {
	address := listenRaw(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for last := ""; ; last = "HTTP/1.1 503 x\r\nHornbeamwell-Cold-Ms: 9000\r\nContent-Length: 0\r\n\r\n" {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = fmt.Fprint(c, last+"HTTP/1.1 200 OK\r\nHornbeamwell-Cold-Ms: 0\r\nContent-Length: 0\r\n\r\n")
		}
	})
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	n := m.addAt("a", "v1", "north", 1, address)
	for range 5 {
		metadata, status, err := n.proxy.requestHealth(plainHeaderCodec{}, n.proxy.local.Load(), "/health")
		if err != nil || status != http.StatusOK || metadata.ColdRemaining != 0 {
			t.Errorf("status %d, %v cold, error %v, want 200 and none", status, metadata.ColdRemaining, err)
		}
	}
}

// TestWithdrawalGetsNoEarlierReply guards against a reply "withdrawn" written once more that
// is taken for the reply to a withdrawal of an attempt that runs: each has a new connection.
func TestWithdrawalGetsNoEarlierReply(t *testing.T) {
	reply := func(result withdrawalResult) string {
		return "HTTP/1.1 204 No Content\r\n" + headerWithdraw + ": " + string(result) + "\r\n" + headerMemory + ": 60000000\r\n\r\n"
	}
	exit := listenRaw(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for last := ""; ; last = reply(withdrawalWithdrawn) {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = fmt.Fprint(c, last+reply(withdrawalStarted))
		}
	})
	n := newSingleNode(t, func(http.ResponseWriter, *http.Request) {})
	for range 5 {
		attempt := testAttempt(t, n, n.proxy.nextAttemptID())
		attempt.upstream.peer = n.proxy.peers.get(exit)
		if got := n.proxy.withdraw(t.Context(), attempt); got != withdrawalStarted {
			t.Errorf("the withdrawal returned %q, want %q", got, withdrawalStarted)
		}
	}
}

// TestHoldGetsNoEarlierReply guards against a reply "held" for another key, written once more
// on a kept connection, that counts as a promise for this key: the call could run twice.
func TestHoldGetsNoEarlierReply(t *testing.T) {
	for name, isIdle := range map[string]bool{"before the reply": false, "without a number": false, "on the idle connection": true} {
		// crossed holds the keys that met the reply to an earlier request.
		var crossed sync.Map
		exit := listenRaw(t, func(c net.Conn) {
			reader := bufio.NewReader(c)
			reply := func(number, result string) string {
				return fmt.Sprintf("HTTP/1.1 204 No Content\r\n%s%s: %s\r\n%s: 60000000\r\n\r\n", number, headerHold, result, headerMemory)
			}
			for last := ""; ; {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				number := headerNumber + ": " + request.Header.Get(headerNumber) + "\r\n"
				if last == "" {
					last = reply(number, holdHeld)
					_, _ = fmt.Fprint(c, last)
					if isIdle {
						_, _ = fmt.Fprint(c, last)
					}
					if name == "without a number" {
						last = reply("", holdHeld)
					}
					continue
				}
				crossed.Store(request.Header.Get(headerKey), true)
				_, _ = fmt.Fprint(c, last+reply(number, holdTaken))
			}
		})
		n := newSingleNode(t, func(http.ResponseWriter, *http.Request) {})
		statuses := map[string]route.HoldStatus{}
		for i := range 6 {
			id := route.RecordID{Route: "pairings", Key: fmt.Sprint(i)}
			statuses[id.Key] = n.proxy.requestHold(t.Context(), id, "a", hornbeamwell.Target{ID: "b", Exit: exit}).Status
		}
		isCrossed := false
		crossed.Range(func(key, _ any) bool {
			isCrossed = true
			if status := statuses[key.(string)]; status != route.HoldNoReply {
				t.Errorf("%s: the status of key %s is %v, want none", name, key, status)
			}
			return true
		})
		if !isIdle && !isCrossed {
			t.Errorf("%s: no request met an earlier reply", name)
		}
	}
}

// TestExchangeTakesReplyOfEarlierVersion guards against proxies of an earlier version, which
// return no number, whose replies would be lost.
func TestExchangeTakesReplyOfEarlierVersion(t *testing.T) {
	exit := listenRaw(t, func(c net.Conn) {
		for reader := bufio.NewReader(c); ; {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 204 No Content\r\n%s: %s\r\n%s: 60000000\r\n\r\n", headerHold, holdHeld, headerMemory)
		}
	})
	n := newSingleNode(t, func(http.ResponseWriter, *http.Request) {})
	for range 3 {
		if reply := n.proxy.requestHold(t.Context(), route.RecordID{}, "a", hornbeamwell.Target{ID: "b", Exit: exit}); reply.Status != route.HoldAccepted {
			t.Errorf("the status is %v, want %v", reply.Status, route.HoldAccepted)
		}
	}
}
