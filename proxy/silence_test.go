package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// newDownloadMesh returns an entry proxy and the proxy of the only target, which responds
// with the body and counts its runs.
func newDownloadMesh(t *testing.T, body string, runs *atomic.Int64) (entry, exit *node) {
	t.Helper()
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	exit = m.add("exit", "v1", "north", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	}))
	entry = m.add("entry", "v1", "north", http.NotFoundHandler())
	entry.target.Service = "none"
	m.update()
	return entry, exit
}

// TestResponseWaitingForTheLinkIsNotLost guards against calls that are given up and run
// again although their responses are ready and wait for the link of the exit proxy.
func TestResponseWaitingForTheLinkIsNotLost(t *testing.T) {
	t.Parallel()
	const (
		calls    = 4
		linkRate = 4e6
	)
	// Each body takes 0.55 s on the link, so that the last one waits for 1.7 s.
	body := strings.Repeat("p", 250_000)
	var runs atomic.Int64
	entry, exit := newDownloadMesh(t, body, &runs)
	exit.proxy.link = route.NewLink(linkRate)
	var wait sync.WaitGroup
	for range calls {
		wait.Go(func() {
			got := call(context.Background(), http.MethodGet, entry.entry+"/packs/1", "", "")
			if got.err != nil || got.status != http.StatusOK || got.body != body {
				t.Errorf("status %d, reason %s, %d bytes, error %v, want 200 with %d bytes", got.status, got.header.Get(headerReason), len(got.body), got.err, len(body))
			}
		})
	}
	wait.Wait()
	if runs.Load() != calls {
		t.Errorf("the target ran %d calls of %d", runs.Load(), calls)
	}
}

// serveTCP serves each connection with the function until the test ends.
func serveTCP(t *testing.T, serve func(net.Conn)) netip.AddrPort {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				serve(connection)
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func newTestPeer(address netip.AddrPort) *peer {
	return &peer{address: address, pool: newPool(address, peerDialTimeout, maxPeerHeaderBytes)}
}

// readBody sends a call to the peer and reads the body of its response. A lost call has
// the error errNoResponse, a response that can't be read any other one.
func (p *peer) readBody(t *testing.T, policy abandonPolicy) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.pool.address+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := p.roundTrip(t.Context(), time.Now, request, policy)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errNoResponse, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

var errNoResponse = errors.New("no response")

// TestResponseAtTheEndOfSilenceIsWholeOrLost guards against a response whose header
// arrives while its silent connection is closed: the caller would get the status, and then
// the connection would end in the body. Such a call must count as lost, since it can still
// be sent again.
func TestResponseAtTheEndOfSilenceIsWholeOrLost(t *testing.T) {
	t.Parallel()
	const calls = 400
	body := strings.Repeat("b", 100_000)
	var index atomic.Int64
	address := serveTCP(t, func(connection net.Conn) {
		_, _ = connection.Read(make([]byte, 4096))
		offset := time.Duration(index.Add(1)%100-50) * 20 * time.Microsecond
		time.Sleep(silenceTimeout + offset)
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(connection, body)
	})
	p := newTestPeer(address)
	var cut atomic.Int64
	var wait sync.WaitGroup
	for range calls {
		wait.Go(func() {
			if got, err := p.readBody(t, abandonPolicy{}); err != nil && !errors.Is(err, errNoResponse) {
				cut.Add(1)
				t.Logf("%d bytes of %d, error %v", len(got), len(body), err)
			}
		})
	}
	wait.Wait()
	if cut.Load() > 0 {
		t.Errorf("%d of %d responses were cut by this end", cut.Load(), calls)
	}
}

// gatedConn is a connection whose received bytes are not read before the gate opens, as in
// a process that gets no processor time.
type gatedConn struct {
	*net.TCPConn
	gate <-chan struct{}
}

// Read implements net.Conn.
func (c gatedConn) Read(b []byte) (int, error) {
	<-c.gate
	return c.TCPConn.Read(b)
}

// TestUnreadResponseIsNotSilence guards against a process without processor time that
// takes the connections to its peers for silent, although their responses have arrived.
func TestUnreadResponseIsNotSilence(t *testing.T) {
	t.Parallel()
	address := serveTCP(t, func(connection net.Conn) {
		_, _ = connection.Read(make([]byte, 4096))
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
		_, _ = connection.Read(make([]byte, 1))
	})
	p := newTestPeer(address)
	gate := make(chan struct{})
	p.pool.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		socket, _ := c.(*net.TCPConn)
		sealed := newSealedConn(gatedConn{TCPConn: socket, gate: gate})
		if slot, found := ctx.Value(sealedConnKey{}).(**sealedConn); found {
			*slot = sealed
		}
		return sealed, nil
	}
	time.AfterFunc(silenceTimeout+100*time.Millisecond, func() { close(gate) })
	if got, err := p.readBody(t, abandonPolicy{}); err != nil || got != "body" {
		t.Errorf("got body %q, error %v", got, err)
	}
}

// TestLateBodyIsNotSilence guards against calls that are given up and run again because
// their target sends the header of its response long before the body.
func TestLateBodyIsNotSilence(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	n := newSingleNode(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(silenceTimeout + 400*time.Millisecond)
		_, _ = io.WriteString(w, "late")
	})
	got := call(t.Context(), http.MethodGet, n.entry+"/profiles/1", "", "")
	if got.err != nil || got.status != http.StatusOK || got.body != "late" || runs.Load() != 1 {
		t.Errorf("status %d, reason %s, body %q, error %v after %d runs", got.status, got.header.Get(headerReason), got.body, got.err, runs.Load())
	}
}

// TestResponseThatMissesTheLinkIsRefused guards against a connection that is closed in the
// middle of a response because the deadline passes while the response waits for the link of
// the entry proxy: nothing has been written yet, so that the caller can be told.
func TestResponseThatMissesTheLinkIsRefused(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	entry, _ := newDownloadMesh(t, strings.Repeat("p", 100_000), &runs)
	entry.proxy.link = route.NewLink(4e6)
	entry.proxy.link.Reserve(time.Now(), 10_000_000)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, entry.entry+"/packs/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(headerTimeout, formatDuration(500*time.Millisecond))
	got := do(request)
	if got.err != nil || got.status != http.StatusGatewayTimeout || runs.Load() != 1 {
		t.Errorf("status %d, reason %s, error %v after %d runs, want 504 after one", got.status, got.header.Get(headerReason), got.err, runs.Load())
	}
}

// TestWatchdogOfEndedCallClosesNothing guards against a watchdog whose check ran while its
// call ended, and which then watches the connection of the next call: that call would be
// cut after 800 ms.
func TestWatchdogOfEndedCallClosesNothing(t *testing.T) {
	t.Parallel()
	address := serveTCP(t, func(connection net.Conn) { _, _ = connection.Read(make([]byte, 1)) })
	connection, err := newTestPeer(address).pool.open(t.Context(), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	w := startWatchdog(connection, abandonPolicy{})
	w.stop()
	w.check()
	time.Sleep(2*silenceTimeout + 100*time.Millisecond)
	if err := connection.client.Err(); err != nil {
		t.Errorf("the connection was closed: %v", err)
	}
}

// TestConnectionIsClosedBeforeItIsLogged guards against a response that is discarded
// because it arrives while a slow log takes the line about its silent connection.
func TestConnectionIsClosedBeforeItIsLogged(t *testing.T) {
	t.Parallel()
	address := serveTCP(t, func(connection net.Conn) {
		_, _ = connection.Read(make([]byte, 4096))
		time.Sleep(silenceTimeout + 50*time.Millisecond)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
		_, _ = connection.Read(make([]byte, 1))
	})
	p := newTestPeer(address)
	policy := abandonPolicy{onClose: func(watchdogDecision) { time.Sleep(300 * time.Millisecond) }}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.pool.address+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	watch := watchPauses(t)
	began := time.Now()
	response, err := p.roundTrip(t.Context(), time.Now, request, policy)
	if err == nil {
		_ = response.Body.Close()
		t.Fatal("the silent connection was kept")
	}
	if took := time.Since(began) - watch.paused(); took > silenceTimeout+150*time.Millisecond {
		t.Errorf("the call was lost after %s although its response had come after 850 ms", took)
	}
}

// TestLateDecisionKeepsConnection guards against a connection that is closed because it was
// silent when the decision began, although the response arrives while the exit proxy is
// asked about the call.
func TestLateDecisionKeepsConnection(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("b", 100_000)
	address := serveTCP(t, func(connection net.Conn) {
		_, _ = connection.Read(make([]byte, 4096))
		time.Sleep(silenceTimeout + 50*time.Millisecond)
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:50_000])
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(connection, body[50_000:])
		_, _ = connection.Read(make([]byte, 1))
	})
	policy := abandonPolicy{keepsSilent: func() bool {
		time.Sleep(100 * time.Millisecond)
		return false
	}}
	if got, err := newTestPeer(address).readBody(t, policy); err != nil || got != body {
		t.Errorf("got %d bytes of %d, error %v", len(got), len(body), err)
	}
}
