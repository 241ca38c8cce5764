package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/connection"
	"github.com/hornbeamwell/hornbeamwell/route"
)

// The ways in which a target ends a connection after a part of its response.
const (
	endClose     = "close"
	endReset     = "reset"
	endHalfClose = "half_close"
	endSilence   = "silence"
)

// cutTarget is a target that sends the first bytes of a response and ends the connection.
// The path of a call ends with the number of bytes and the way of the end.
type cutTarget struct {
	address  netip.AddrPort
	response string
	// calls counts the received calls.
	calls atomic.Int64
	// done ends the silent connections.
	done <-chan struct{}
}

func newCutTarget(t *testing.T, response string) *cutTarget {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	c := &cutTarget{address: netip.MustParseAddrPort(listener.Addr().String()), response: response, done: t.Context().Done()}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(connection)
		}
	}()
	return c
}

func (c *cutTarget) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	tcp, _ := connection.(*net.TCPConn)
	reader := bufio.NewReader(connection)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	c.calls.Add(1)
	parts := strings.Split(request.URL.Path, "/")
	var position int
	if _, err := fmt.Sscan(parts[2], &position); err != nil {
		return
	}
	if _, err := connection.Write([]byte(c.response[:position])); err != nil {
		return
	}
	switch parts[3] {
	case endReset:
		_ = tcp.SetLinger(0)
	case endHalfClose:
		_ = tcp.CloseWrite()
		_, _ = reader.ReadByte()
	case endSilence:
		<-c.done
	}
}

const (
	ok       = "HTTP/1.1 200 OK\r\n"
	okBody   = "whole body"
	okLength = "Content-Length: 10\r\n"
	chunked  = "Transfer-Encoding: chunked\r\n"
	// okChunks holds a chunk extension and a trailer.
	okChunks = "5;x=y\r\nwhole\r\n5\r\n body\r\n0\r\nX-Sum: 1\r\n\r\n"
)

// cutCases are the responses that are cut.
var cutCases = map[string]struct {
	method, response string
	// isEndDelimited is true if the body ends with the connection.
	isEndDelimited bool
	// isInvalid is true if the response must not be a success.
	isInvalid bool
	// body is the body of the whole response.
	body string
}{
	"length":                       {response: ok + "X-A: b\r\n" + okLength + "X-C: d\r\n\r\n" + okBody, body: okBody},
	"length of many digits":        {response: ok + "X-A: b\r\nContent-Length: 000000010\r\n\r\n" + okBody, body: okBody},
	"chunks":                       {response: ok + chunked + "Trailer: X-Sum\r\n\r\n" + okChunks, body: okBody},
	"end of connection":            {response: ok + "X-A: b\r\n\r\n" + okBody, body: okBody, isEndDelimited: true},
	"end of connection, HTTP/1.0":  {response: "HTTP/1.0 200 OK\r\nX-A: b\r\n\r\n" + okBody, body: okBody, isEndDelimited: true},
	"length, HTTP/1.0":             {response: "HTTP/1.0 200 OK\r\n" + okLength + "\r\n" + okBody, body: okBody},
	"chunks, HTTP/1.0":             {response: "HTTP/1.0 200 OK\r\n" + chunked + "\r\n" + okChunks, isInvalid: true},
	"chunks and length, HTTP/1.0":  {response: "HTTP/1.0 200 OK\r\n" + okLength + chunked + "\r\n" + okChunks, isInvalid: true},
	"no content":                   {response: "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n"},
	"not modified":                 {response: "HTTP/1.1 304 Not Modified\r\nX-A: b\r\n" + okLength + "\r\n"},
	"head":                         {method: http.MethodHead, response: ok + "X-A: b\r\n" + okLength + "\r\n"},
	"after interim responses":      {response: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok + okLength + "\r\n" + okBody, body: okBody},
	"interim, end of connection":   {response: "HTTP/1.1 100 Continue\r\n\r\n" + ok + "\r\n" + okBody, body: okBody, isEndDelimited: true},
	"switch of protocols":          {response: "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + okBody, isInvalid: true},
	"bare line feeds":              {response: "HTTP/1.1 200 OK\nContent-Length: 10\n\n" + okBody, body: okBody},
	"bare line feeds, no length":   {response: "HTTP/1.1 200 OK\nX-A: b\n\n" + okBody, body: okBody, isEndDelimited: true},
	"same length twice":            {response: ok + okLength + okLength + "\r\n" + okBody, body: okBody},
	"conflicting lengths":          {response: ok + okLength + "Content-Length: 5\r\n\r\n" + okBody, isInvalid: true},
	"list of lengths":              {response: ok + "Content-Length: 10, 5\r\n\r\n" + okBody, isInvalid: true},
	"empty length":                 {response: ok + "Content-Length:\r\n\r\n" + okBody, isInvalid: true},
	"folded length":                {response: ok + "Content-Length: 1\r\n 0\r\n\r\n" + okBody, isInvalid: true},
	"signed length":                {response: ok + "Content-Length: +5\r\n\r\n" + okBody, isInvalid: true},
	"space after name of length":   {response: ok + "Content-Length : 10\r\n\r\n" + okBody, isInvalid: true},
	"space after name of encoding": {response: ok + "Transfer-Encoding : chunked\r\n\r\n" + okChunks, isInvalid: true},
	"length and chunks":            {response: ok + okLength + chunked + "\r\n" + okChunks, body: okBody},
	"chunks twice":                 {response: ok + chunked + chunked + "\r\n" + okChunks, isInvalid: true},
	"other transfer encoding":      {response: ok + "Transfer-Encoding: identity\r\n\r\n" + okBody, isInvalid: true},
	"NUL in a header":              {response: ok + "X-A: b\x00\r\n\r\n" + okBody, isInvalid: true},
	"NUL after the headers":        {response: ok + "X-A: b\r\n\x00\r\n\r\n" + okBody, isInvalid: true},
	"invalid line":                 {response: ok + "X-A: b\r\nno colon\r\n\r\n" + okBody, isInvalid: true},
	"folded into another header":   {response: ok + "X-A: b\r\n Content-Length: 10\r\n\r\n" + okBody, isInvalid: true},
	"folded encoding":              {response: ok + "X-A: b\r\n\tTransfer-Encoding: chunked\r\n\r\n" + okChunks, isInvalid: true},
	"lost end of a line":           {response: ok + "X-A: bcontent-length: 10\r\n\r\n" + okBody, isInvalid: true},
	"lost end of the status":       {response: "HTTP/1.1 200 OK Content-Length: 10\r\n\r\n" + okBody, isInvalid: true},
	"chunks, HTTP/0.9":             {response: "HTTP/0.9 200 OK\r\n" + chunked + "\r\n" + okChunks, isInvalid: true},
	"chunks and length, HTTP/0.9":  {response: "HTTP/0.9 200 OK\r\n" + okLength + chunked + "\r\n" + okChunks, isInvalid: true},
	"folded encoding, HTTP/1.0":    {response: "HTTP/1.0 200 OK\r\nX-A: b\r\n Transfer-Encoding: chunked\r\n\r\n" + okChunks, isInvalid: true},
	"bare carriage returns":        {response: "HTTP/1.1 200 OK\rX-A: b\r\r" + okBody, isInvalid: true},
}

// forEachCut sends a call for each position and end, some at a time.
func forEachCut(length int, ends []string, send func(position int, end string)) {
	const concurrency = 8
	slots := make(chan struct{}, concurrency)
	var all sync.WaitGroup
	for _, end := range ends {
		for position := range length + 1 {
			slots <- struct{}{}
			all.Go(func() {
				send(position, end)
				<-slots
			})
		}
	}
	all.Wait()
}

// TestCutResponsesNeverLookWhole guards against a response of a target that ends early, in
// its head or its body, and reaches the caller as a success framed as whole. The response
// is cut at each byte. A body without a length is whole if its connection ends in order.
func TestCutResponsesNeverLookWhole(t *testing.T) {
	t.Parallel()
	for name, c := range cutCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if c.method == "" {
				c.method = http.MethodGet
			}
			target := newCutTarget(t, c.response)
			configuration := standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare})
			for i := range configuration.Routes {
				configuration.Routes[i].MaxAttempts = 1
			}
			m := newMesh(t, configuration)
			n := m.addAt("a", "v1", "north", 50, target.address)
			n.proxy.options.HeaderCodec = closeDelimitedCodec{}
			m.update()
			length := len(c.response)
			head := length - len(c.body)
			ends := []string{endClose, endReset, endHalfClose}
			check := func(position int, end string) {
				before := target.calls.Load()
				got := call(t.Context(), c.method, fmt.Sprintf("%s/profiles/%d/%s", n.entry, position, end), "", "")
				if position == length && target.calls.Load() == before {
					// The call was sent on the connection that the target was closing
					// after the whole response before.
					got = call(t.Context(), c.method, fmt.Sprintf("%s/profiles/%d/%s", n.entry, position, end), "", "")
				}
				isWhole := position == length && (!c.isEndDelimited || end != endReset)
				body := c.body
				if c.isEndDelimited && end != endReset && position >= head {
					isWhole, body = true, c.response[head:position]
				}
				isSuccess := got.err == nil && got.status < 400
				switch {
				case isSuccess && (c.isInvalid || !isWhole || got.body != body):
					t.Errorf("%s at %d of %d: looks whole: status %d, body %q", end, position, length, got.status, got.body)
				case !isSuccess && isWhole && !c.isInvalid && end != endReset:
					t.Errorf("%s at %d of %d: status %d, error %v, reason %s", end, position, length, got.status, got.err, got.header.Get(headerReason))
				}
			}
			forEachCut(length-1, ends, check)
			if got, want := target.calls.Load(), int64(len(ends)*length); got < want {
				t.Errorf("the target got %d calls of %d", got, want)
			}
			for _, end := range ends {
				check(length, end)
			}
		})
	}
}

// TestSilenceInResponseIsNoEnd guards against a target that goes silent within a response
// and whose part of it reaches the caller as a success framed as whole.
func TestSilenceInResponseIsNoEnd(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"length", "chunks", "end of connection"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := cutCases[name]
			target := newCutTarget(t, c.response)
			m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
			n := m.addAt("a", "v1", "north", 50, target.address)
			n.proxy.options.HeaderCodec = closeDelimitedCodec{}
			m.update()
			forEachCut(len(c.response)-1, []string{endSilence}, func(position int, end string) {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, fmt.Sprintf("%s/profiles/%d/%s", n.entry, position, end), http.NoBody)
				if err != nil {
					t.Error(err)
					return
				}
				request.Header.Set(headerTimeout, formatDuration(50*time.Millisecond))
				if got := do(request); got.err == nil && got.status < 400 {
					t.Errorf("silence at %d of %d: looks whole: status %d, body %q", position, len(c.response), got.status, got.body)
				}
			})
		})
	}
}

// TestCutResponseIsReplacedByAnotherTarget guards against a call that may be repeated and
// fails although another target has the whole response.
func TestCutResponseIsReplacedByAnotherTarget(t *testing.T) {
	t.Parallel()
	c := cutCases["length"]
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	cut := newCutTarget(t, c.response)
	m.addAt("a", "v1", "north", 50, cut.address)
	m.add("b", "v1", "north", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(okBody)) }))
	m.update()
	for position := range c.response {
		got := call(context.Background(), http.MethodGet, fmt.Sprintf("%s/profiles/%d/%s", m.nodes[0].entry, position, endClose), "", "")
		if got.err != nil || got.status != http.StatusOK || got.body != okBody {
			t.Errorf("cut at %d: status %d, body %q, error %v, reason %s", position, got.status, got.body, got.err, got.header.Get(headerReason))
		}
	}
	if cut.calls.Load() == 0 {
		t.Error("no call reached the target that cuts its responses")
	}
}

// TestCutHopNeverLooksWhole guards against a response that ends early between two proxies,
// as of an exit proxy that is killed, and reaches the caller as a success framed as whole.
func TestCutHopNeverLooksWhole(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"length", "chunks", "end of connection", "no content", "not modified", "head"} {
		for _, resets := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, resets), func(t *testing.T) {
				t.Parallel()
				c := cutCases[name]
				if c.method == "" {
					c.method = http.MethodGet
				}
				configuration := standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare})
				configuration.Routes[0].MaxAttempts = 1
				m := newMesh(t, configuration)
				n := m.addAt("a", "v1", "north", 10, newCutTarget(t, c.response).address)
				n.proxy.options.HeaderCodec = closeDelimitedCodec{}
				fault := newFaultProxy(t, n.target.Exit)
				fault.resets = resets
				n.target.Exit = fault.address
				m.update()
				send := func() callResult {
					return call(t.Context(), c.method, fmt.Sprintf("%s/profiles/%d/%s", n.entry, len(c.response), endClose), "", "")
				}
				whole := send()
				size := fault.reset()[0]
				if whole.err != nil || whole.body != c.body || size == 0 {
					t.Fatalf("whole response: status %d, body %q, error %v, %d bytes", whole.status, whole.body, whole.err, size)
				}
				for position := range size {
					fault.cutAfter(position, false)
					got := send()
					fault.reset()
					if got.err == nil && got.status < 400 && (got.status != whole.status || got.body != c.body) {
						t.Errorf("cut at %d of %d: looks whole: status %d, body %q", position, size, got.status, got.body)
					}
				}
			})
		}
	}
}

// TestResetBesideWriteIsNoEndOfBody guards against a reset that a write of the request
// notices first, so that a body without a length looks as if it had ended in order.
func TestResetBesideWriteIsNoEndOfBody(t *testing.T) {
	t.Parallel()
	const resets = 100
	handler := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, 100<<10)
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = connection.Write([]byte(ok + "\r\npart"))
		// The first part is read before the connection is reset.
		time.Sleep(2 * time.Millisecond)
		if tcp, isTCP := connection.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
	pool := newPool(serve(t, &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: time.Second}), time.Second, maxHeaderBytes)
	responses, whole := 0, 0
	for range resets {
		connection, err := pool.get(t.Context(), time.Now(), -1, false)
		if err != nil {
			t.Fatal(err)
		}
		body := io.LimitReader(zeros{}, 32<<20)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://x/", body)
		if err != nil {
			t.Fatal(err)
		}
		response, err := connection.client.RoundTrip(request)
		if err == nil {
			responses++
			if _, err = io.Copy(io.Discard, response.Body); err == nil {
				whole++
			}
			_ = response.Body.Close()
		}
		connection.discard()
	}
	if responses == 0 || whole > 0 {
		t.Errorf("%d of %d responses that were reset look whole", whole, responses)
	}
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// TestCutResponseToHTTP10CallerIsReset guards against a response that ends early and looks
// whole to an HTTP/1.0 caller, to which the end of the connection is that of the body.
func TestCutResponseToHTTP10CallerIsReset(t *testing.T) {
	t.Parallel()
	n := newSingleNode(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(make([]byte, 2*maxBufferedResponse))
		if strings.HasSuffix(r.URL.Path, "/cut") {
			panic(http.ErrAbortHandler)
		}
	})
	checkHTTP10Caller(t, strings.TrimPrefix(n.entry, "http://"))
	// In a process the connections of callers are those of the budget for clients.
	checkHTTP10Caller(t, serveBounded(t, n.proxy.EntryServer()))
}

// serveBounded serves connections that a table bounds, and returns the address.
func serveBounded(t *testing.T, server *http.Server) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table := connection.NewTable(connection.Limits{MemoryBytes: 64 << 20, Connections: 100}, log.NewNopLogger())
	connection.Serve(server, connection.Refuse)
	go func() { _ = server.Serve(table.Listen(listener, connection.Options{Name: t.Name()})) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func checkHTTP10Caller(t *testing.T, entry string) {
	t.Helper()
	for path, isWhole := range map[string]bool{"/packs/whole": true, "/packs/cut": false} {
		connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", entry)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(connection, "GET "+path+" HTTP/1.0\r\nHost: a.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		sent, err := io.Copy(io.Discard, connection)
		if isWhole != (err == nil) {
			t.Errorf("%s at %s: %d bytes, error %v", path, entry, sent, err)
		}
		_ = connection.Close()
	}
}

// TestReplyWithoutLengthIsNotWhole guards against a reply of an exit proxy that lost the line
// with its length, and whose part of the body reaches the caller framed as whole.
func TestReplyWithoutLengthIsNotWhole(t *testing.T) {
	exit := listenRaw(t, func(c net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		id, _, _ := strings.Cut(request.Header.Get(headerCall), ";")
		_, _ = fmt.Fprintf(c, ok+"%s: %s\r\n\r\npart", headerCall, formatReply(id, route.OutcomeRan, 0, 0))
	})
	n := newSingleNode(t, func(http.ResponseWriter, *http.Request) {})
	attempt := testAttempt(t, n, n.proxy.nextAttemptID())
	attempt.upstream.peer = n.proxy.peers.get(exit)
	response, refused := n.proxy.run(attempt)
	if refused == nil || refused.outcome != route.OutcomeUnknown || refused.reason != ReasonTruncated {
		t.Errorf("the attempt ended with %+v, %+v, want an unknown outcome", response, refused)
	}
}

// TestStopWithinResponseToHTTP10CallerIsReset guards against a stop of the entry proxy within
// a response without a length, which looks whole to an HTTP/1.0 caller.
func TestStopWithinResponseToHTTP10CallerIsReset(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	n := newSingleNode(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(make([]byte, 2*maxBufferedResponse))
		_ = http.NewResponseController(w).Flush()
		if strings.HasSuffix(r.URL.Path, "/cut") {
			<-release
		}
	})
	defer close(release)
	for path, isWhole := range map[string]bool{"/packs/whole": true, "/packs/cut": false} {
		server := n.proxy.EntryServer()
		connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", serve(t, server).String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(connection, "GET "+path+" HTTP/1.0\r\nHost: a.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(connection, make([]byte, maxBufferedResponse)); err != nil {
			t.Fatal(err)
		}
		if !isWhole {
			_ = server.Close()
		}
		if sent, err := io.Copy(io.Discard, connection); isWhole != (err == nil) {
			t.Errorf("%s: %d bytes, error %v", path, sent, err)
		}
		_ = connection.Close()
	}
}
