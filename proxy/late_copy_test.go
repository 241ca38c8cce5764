package proxy

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
)

// echoCodec is a header codec for targets that echo the id of a call.
type echoCodec struct{ plainHeaderCodec }

// ReadResponse implements hornbeamwell.HeaderCodec.
func (echoCodec) ReadResponse(_ int, h http.Header) hornbeamwell.ResponseMetadata {
	return hornbeamwell.ResponseMetadata{CallID: headerValue(h, headerRequestID)}
}

// serveLateCopies serves a connection of a target that sends each response twice: the
// copy comes after the pause, or as soon as the next request has arrived.
func serveLateCopies(connection net.Conn, pause time.Duration) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	last := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(headerRequestID)
		body := "response to " + id
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		if _, err := fmt.Fprint(connection, last+response); err != nil {
			return
		}
		last = response
		if pause > 0 {
			time.Sleep(pause)
			if _, err := fmt.Fprint(connection, last); err != nil {
				return
			}
			last = ""
		}
	}
}

// TestLateCopyOfResponseReachesNobody lets a target send a second copy of each
// response late, on a connection that may be in use again. No caller may get the
// response to another call.
func TestLateCopyOfResponseReachesNobody(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				go serveLateCopies(connection, pause)
			}
		}()
		m := newMesh(t, standardConfiguration(hornbeamwell.TargetVersion{Name: "v1", Share: hornbeamwell.FullShare}))
		n := m.addAt("a", "v1", "north", 1, netip.MustParseAddrPort(listener.Addr().String()))
		n.proxy.options.HeaderCodec = echoCodec{}
		m.update()
		right := 0
		for i := range 60 {
			id := "call-" + strconv.Itoa(i)
			request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, n.entry+"/profiles/1", nil)
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set(headerRequestID, id)
			got := do(request)
			if got.status == http.StatusOK && got.body != "response to "+id {
				t.Fatalf("pause %v: call %s got %q", pause, id, got.body)
			}
			if got.status == http.StatusOK {
				right++
			}
			// The pauses between calls meet the copies before, at and after them.
			time.Sleep(time.Duration(i%4) * pause / 2)
		}
		if right == 0 {
			t.Errorf("pause %v: no call got its response", pause)
		}
		t.Logf("pause %v: %d of 60 calls got their response", pause, right)
		_ = listener.Close()
	}
}
