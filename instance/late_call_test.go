package instance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// recordingTarget is a target that records the calls that it runs.
type recordingTarget struct {
	mu   sync.Mutex
	runs map[string]int
}

// start announces the target to a proxy until the test ends.
func (r *recordingTarget) start(d *deployment, proxy string, work time.Duration) {
	r.runs = map[string]int{}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.mu.Lock()
		r.runs[request.Header.Get("Call")]++
		r.mu.Unlock()
		time.Sleep(work)
		_, _ = io.WriteString(w, "whole")
	})}
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	d.t.Cleanup(func() { cancel(); _ = server.Close() })
	body := fmt.Sprintf(`{"service":"credit","version":"v1","address":%q,"slots":50,"connections":100,"cold_start":"0s","incarnation":1}`, listener.Addr())
	go func() {
		for ctx.Err() == nil {
			request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+d.settings[proxy].Proxy.Announce.String()+"/v1/target", strings.NewReader(body))
			if err != nil {
				return
			}
			if response, err := http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
			}
			time.Sleep(500 * time.Millisecond)
		}
	}()
}

func (r *recordingTarget) count(call string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[call]
}

// TestLateCallsOfAStopAreAnswered guards against calls that come late in the grace period of
// an entry, are passed on to their target and cut with no answer as the process ends. Callers
// open new connections, and use idle ones, until the process is gone. A call that may not be
// repeated has its response, or one that says it was not run, and then it was not.
func TestLateCallsOfAStopAreAnswered(t *testing.T) {
	t.Parallel()
	const grace, callers, idle = 3 * time.Second, 12, 60
	d := newDeployment(t, "proxy-0", "proxy-1")
	for _, id := range []string{"proxy-0", "proxy-1"} {
		s := d.settings[id]
		s.Stop.Grace = grace
		d.settings[id] = s
	}
	d.startAll()
	target := &recordingTarget{}
	target.start(d, "proxy-0", 200*time.Millisecond)
	d.awaitInForce("control-0", d.applyTimeout("control-0", 10*time.Second))
	d.eventually(10*time.Second, func(ctx context.Context) error {
		_, err := d.call(ctx, "proxy-1")
		return err
	})
	var wait sync.WaitGroup
	var mu sync.Mutex
	answered, refused := 0, 0
	ended := make(chan struct{})
	address := d.settings["proxy-1"].Proxy.Callers.String()
	for i := range idle {
		wait.Go(func() {
			connection, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			time.Sleep(time.Duration(i) * (grace + 300*time.Millisecond) / idle)
			a, r := callUntilClosed(t, connection, fmt.Sprint("idle-", i), target)
			mu.Lock()
			defer mu.Unlock()
			answered, refused = answered+a, refused+r
		})
	}
	for c := range callers {
		wait.Go(func() {
			for n := 0; ; n++ {
				if connection, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", address); err == nil {
					a, r := callUntilClosed(t, connection, fmt.Sprintf("%d-%d", c, n), target)
					mu.Lock()
					answered, refused = answered+a, refused+r
					mu.Unlock()
				}
				select {
				case <-ended:
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	d.stop("proxy-1")
	close(ended)
	wait.Wait()
	if answered < callers || refused == 0 {
		t.Errorf("%d calls were answered and %d refused, want some of both", answered, refused)
	}
}

// callUntilClosed sends calls on one connection until it is closed, and returns the numbers of
// responses of the target and of refusals.
func callUntilClosed(t *testing.T, connection net.Conn, id string, target *recordingTarget) (answered, refused int) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for n := 0; ; n++ {
		call := fmt.Sprintf("%s-%d", id, n)
		if _, err := fmt.Fprintf(connection, "POST /credits/1 HTTP/1.1\r\nHost: x\r\nCall: %s\r\nContent-Length: 0\r\n\r\n", call); err != nil {
			return answered, refused
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			if target.count(call) > 0 {
				t.Errorf("call %s ran and its connection was closed without a response: %v", call, err)
			}
			return answered, refused
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		switch {
		case err != nil:
			t.Errorf("call %s: response %d is cut: %v", call, response.StatusCode, err)
		case response.StatusCode == http.StatusOK && string(body) == "whole":
			answered++
		case response.StatusCode == http.StatusServiceUnavailable && target.count(call) == 0:
			refused++
		default:
			t.Errorf("call %s got %d after %d runs: %s", call, response.StatusCode, target.count(call), body)
		}
		if response.Close {
			return answered, refused
		}
	}
}
