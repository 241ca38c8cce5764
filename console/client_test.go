package console

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// fakeOperator implements Apply with a function and records the request ids.
type fakeOperator struct {
	schema.UnimplementedOperatorServiceHandler
	apply func(attempt int) error

	mu  sync.Mutex
	ids []string
}

func (f *fakeOperator) Apply(_ context.Context, req *connect.Request[schema.ApplyRequest]) (*connect.Response[schema.ApplyResponse], error) {
	f.mu.Lock()
	f.ids = append(f.ids, req.Msg.GetRequestId())
	attempt := len(f.ids)
	f.mu.Unlock()
	if err := f.apply(attempt); err != nil {
		return nil, err
	}
	return connect.NewResponse(&schema.ApplyResponse{Version: 7}), nil
}

func serveFake(t *testing.T, f *fakeOperator) netip.AddrPort {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(schema.NewOperatorServiceHandler(f))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func callApply(t *testing.T, timeout time.Duration, addresses ...netip.AddrPort) (*schema.ApplyResponse, error) {
	t.Helper()
	client, err := New(addresses)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return Call(ctx, client, schema.OperatorServiceClient.Apply, &schema.ApplyRequest{RequestId: "r1"})
}

func TestCall(t *testing.T) {
	Convey("A command is sent to the next instance until one accepts it", t, func() {
		notLeader := &fakeOperator{apply: func(int) error {
			return connect.NewError(connect.CodeUnavailable, &hornbeamwell.NotLeaderError{})
		}}
		leader := &fakeOperator{apply: func(int) error { return nil }}
		resp, err := callApply(t, 5*time.Second, closedAddress(t), serveFake(t, notLeader), serveFake(t, leader))
		So(err, ShouldBeNil)
		So(resp.GetVersion(), ShouldEqual, 7)
		So(notLeader.ids, ShouldResemble, []string{"r1"})
	})
	Convey("A command whose response is lost is sent again with the same request id", t, func() {
		f := &fakeOperator{apply: func(attempt int) error {
			if attempt == 1 {
				panic(http.ErrAbortHandler)
			}
			return nil
		}}
		_, err := callApply(t, 5*time.Second, serveFake(t, f))
		So(err, ShouldBeNil)
		So(f.ids, ShouldResemble, []string{"r1", "r1"})
	})
	Convey("A conflict is not retried", t, func() {
		f := &fakeOperator{apply: func(int) error {
			return connect.NewError(connect.CodeAborted, &hornbeamwell.ConflictError{Expected: 3, Current: 4})
		}}
		_, err := callApply(t, 5*time.Second, serveFake(t, f))
		So(connect.CodeOf(err), ShouldEqual, connect.CodeAborted)
		So(f.ids, ShouldHaveLength, 1)
	})
	Convey("The client returns ErrUnavailable if no instance is reachable", t, func() {
		_, err := callApply(t, 300*time.Millisecond, closedAddress(t))
		So(errors.Is(err, ErrUnavailable), ShouldBeTrue)
	})
	Convey("The outcome is unknown after a lost response even if other instances are unreachable", t, func() {
		lost := &fakeOperator{apply: func(int) error { panic(http.ErrAbortHandler) }}
		_, err := callApply(t, 300*time.Millisecond, serveFake(t, lost), closedAddress(t))
		So(errors.Is(err, hornbeamwell.ErrUnknownOutcome), ShouldBeTrue)
	})
}
