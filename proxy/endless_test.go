package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// minPause is the least time between two pieces, so that tests in parallel leave each
// other processor time.
const minPause = 100 * time.Microsecond

// endlessTarget is a target that sends a beginning and then repeats a piece until its
// connection is closed. A call of /profiles/whole gets a whole response.
type endlessTarget struct {
	address          netip.AddrPort
	beginning, piece string
	pause            time.Duration
	// open counts the connections that still get bytes without end, sent the bytes.
	open, sent atomic.Int64
}

func newEndlessTarget(t *testing.T, beginning, piece string, pause time.Duration) *endlessTarget {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &endlessTarget{
		address: netip.MustParseAddrPort(listener.Addr().String()), beginning: beginning, piece: piece, pause: pause,
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(connection)
		}
	}()
	return e
}

func (e *endlessTarget) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if strings.HasSuffix(request.URL.Path, "/whole") {
			if _, err := connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")); err != nil {
				return
			}
			continue
		}
		e.open.Add(1)
		e.sendWithoutEnd(connection)
		e.open.Add(-1)
		return
	}
}

func (e *endlessTarget) sendWithoutEnd(connection net.Conn) {
	if _, err := connection.Write([]byte(e.beginning)); err != nil {
		return
	}
	for {
		n, err := connection.Write([]byte(e.piece))
		e.sent.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(max(e.pause, minPause))
	}
}

// closeDelimitedCodec is a header codec for targets whose responses may end with the
// connection.
type closeDelimitedCodec struct{ plainHeaderCodec }

// ReadResponse implements hornbeamwell.HeaderCodec.
func (closeDelimitedCodec) ReadResponse(int, http.Header) hornbeamwell.ResponseMetadata {
	return hornbeamwell.ResponseMetadata{AllowsCloseDelimited: true}
}

// callAndDiscard sends the call and reads the response to its end without keeping it.
func callAndDiscard(request *http.Request) (status int, err error) {
	response, err := callerClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// TestResponsesWithoutEnd guards against a target in trouble that sends bytes without
// end, in place of a response, in its headers or in its body. The caller must get the
// end of its call by its deadline, and the connection to the target must be closed soon
// after. Bytes that can't be a response must not be read until the deadline.
func TestResponsesWithoutEnd(t *testing.T) {
	t.Parallel()
	const (
		callTimeout = time.Second
		grace       = 500 * time.Millisecond
		// maxUnread is what a target may send before its connection is closed, for
		// the most part the buffers of the connection.
		maxUnread = 32 << 20
	)
	long := strings.Repeat("x", 4<<10)
	many := strings.Repeat("X-Many: 1\r\n", 400)
	for name, c := range map[string]struct {
		beginning, piece string
		pause            time.Duration
		// isBody is true if the bytes may be a response until the deadline.
		isBody bool
	}{
		"no response":              {piece: long},
		"status line":              {beginning: "HTTP/1.1 200 ", piece: long},
		"header":                   {beginning: "HTTP/1.1 200 OK\r\nX-Long: ", piece: long},
		"headers":                  {beginning: "HTTP/1.1 200 OK\r\n", piece: many},
		"interim responses":        {piece: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)},
		"slow headers":             {beginning: "HTTP/1.1 200 OK\r\n", piece: "X-Many: 1\r\n", pause: 10 * time.Millisecond, isBody: true},
		"chunk size":               {beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", piece: strings.Repeat("0", 4<<10)},
		"chunk extension":          {beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", piece: long},
		"chunks":                   {beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", piece: "400\r\n" + long[:1024] + "\r\n", isBody: true},
		"slow chunks":              {beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", piece: "1\r\nx\r\n", pause: 10 * time.Millisecond, isBody: true},
		"trailers":                 {beginning: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", piece: many},
		"body of no length":        {beginning: "HTTP/1.1 200 OK\r\n\r\n", piece: long, isBody: true},
		"body of a failure":        {beginning: "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n", piece: "400\r\n" + long[:1024] + "\r\n", isBody: true},
		"body of enormous length":  {beginning: "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", piece: long, isBody: true},
		"short body sent too slow": {beginning: "HTTP/1.1 200 OK\r\nContent-Length: 30000\r\n\r\n", piece: "x", pause: 10 * time.Millisecond, isBody: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := newEndlessTarget(t, c.beginning, c.piece, c.pause)
			m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
			n := m.addAt("a", "v1", "north", 10, target.address)
			n.proxy.options.HeaderCodec = closeDelimitedCodec{}
			m.update()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, n.entry+"/profiles/1", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set(headerTimeout, formatDuration(callTimeout))
			watch := watchPauses(t)
			started := time.Now()
			status, err := callAndDiscard(request)
			took := time.Since(started) - watch.paused()
			if err == nil && status == http.StatusOK {
				t.Error("the caller got a complete success")
			}
			if took > callTimeout+grace {
				t.Errorf("the call ended after %s, want %s", took, callTimeout)
			}
			for target.open.Load() > 0 && time.Since(started)-watch.paused() < took+grace {
				time.Sleep(time.Millisecond)
			}
			if open := target.open.Load(); open > 0 {
				t.Errorf("%d connections to the target are still open %s after the call", open, grace)
			}
			if sent := target.sent.Load(); !c.isBody && sent > maxUnread {
				t.Errorf("%d bytes were read from the target", sent)
			}
			if !c.isBody && took > grace {
				t.Errorf("bytes that are no response were read for %s", took)
			}
			whole := call(t.Context(), http.MethodGet, n.entry+"/profiles/whole", "", "")
			if whole.status != http.StatusOK || whole.body != "whole" {
				t.Errorf("the next call got status %d, body %q, error %v", whole.status, whole.body, whole.err)
			}
		})
	}
}

// TestBytesAfterResponseWithoutEnd guards against a target that sends bytes without end
// after a whole response. The caller gets the response, and nobody the bytes.
func TestBytesAfterResponseWithoutEnd(t *testing.T) {
	t.Parallel()
	target := newEndlessTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", strings.Repeat("x", 4<<10), 0)
	m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
	n := m.addAt("a", "v1", "north", 10, target.address)
	m.update()
	for range 3 {
		if got := call(t.Context(), http.MethodGet, n.entry+"/profiles/1", "", ""); got.status != http.StatusOK || got.body != "ok" {
			t.Errorf("status %d, body of %d bytes, error %v", got.status, len(got.body), got.err)
		}
		if got := call(t.Context(), http.MethodGet, n.entry+"/profiles/whole", "", ""); got.body != "whole" {
			t.Errorf("status %d, body of %d bytes, error %v", got.status, len(got.body), got.err)
		}
	}
	for range 500 {
		if target.open.Load() == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("%d connections to the target are still open", target.open.Load())
}
