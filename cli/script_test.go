package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rogpeppe/go-internal/testscript"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/hornbeamwell/hornbeamwell/schema"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"hornbeamwell": func() { os.Exit(Run(context.Background(), os.Args, os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scripts in testdata/script against a scriptedOperator.
func TestScripts(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(schema.NewOperatorServiceHandler(scriptedOperator{}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("HORNBEAMWELL_OPERATOR", server.Listener.Addr().String())
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
	})
}

// exits runs the command line and checks its exit code: exits CODE ARGUMENT...
func exits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	var stdout, stderr bytes.Buffer
	arguments := append([]string{"hornbeamwell", "--operator", ts.Getenv("HORNBEAMWELL_OPERATOR")}, args[1:]...)
	for i, argument := range arguments {
		if strings.HasSuffix(argument, ".json") {
			arguments[i] = ts.MkAbs(argument)
		}
	}
	got := Run(context.Background(), arguments, &stdout, &stderr)
	_, _ = ts.Stdout().Write(stdout.Bytes())
	_, _ = ts.Stderr().Write(stderr.Bytes())
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// scriptedOperator is an operator service whose replies are fixed or depend on values
// in the requests.
type scriptedOperator struct {
	schema.UnimplementedOperatorServiceHandler
}

func (scriptedOperator) Apply(_ context.Context, req *connect.Request[schema.ApplyRequest]) (*connect.Response[schema.ApplyResponse], error) {
	if expected := req.Msg.GetExpectedVersion(); expected != 0 && expected != 4 {
		return nil, withDetail(connect.CodeAborted, &schema.ConflictDetail{ExpectedVersion: expected, CurrentVersion: 4})
	}
	if len(req.Msg.GetServices()) == 0 {
		return nil, withDetail(connect.CodeInvalidArgument, &schema.InvalidDetail{
			Faults: []*schema.Fault{{Field: "services", Problem: "is empty"}},
		})
	}
	return connect.NewResponse(&schema.ApplyResponse{Version: 5}), nil
}

func (scriptedOperator) Get(context.Context, *connect.Request[schema.GetRequest]) (*connect.Response[schema.GetResponse], error) {
	hash := func(first byte) []byte { return append([]byte{first}, make([]byte, 31)...) }
	return connect.NewResponse(&schema.GetResponse{Configuration: &schema.Configuration{
		Version: 4,
		Services: []*schema.Service{
			{Name: "orders", Open: true},
			{Name: "parts", Versions: []*schema.TargetVersion{{Name: "v1", Share: 10000}, {Name: "v2"}}, ColdRate: 2},
		},
		Routes: []*schema.Route{{
			Name: "parts", PathPrefix: "/parts", Service: "parts", Timeout: durationpb.New(3 * time.Second),
			LatencyObjective: durationpb.New(2 * time.Second), MaxAttempts: 2,
		}},
		Teams: []*schema.Team{{Name: "team-a", KeyHashes: [][]byte{hash(0), hash(1)}, CallsPerSecond: 10, Burst: 75}},
		Moves: []*schema.Move{{Id: "parts-1", Service: "parts", From: "v1", To: "v2", Phase: "waiting"}},
	}}), nil
}

func (scriptedOperator) ListTargets(context.Context, *connect.Request[schema.ListTargetsRequest]) (*connect.Response[schema.ListTargetsResponse], error) {
	return connect.NewResponse(&schema.ListTargetsResponse{Targets: []*schema.Target{
		{Id: "t1", Service: "parts", State: "ready"},
		{Id: "t2", Service: "parts", State: "ready"},
		{Id: "t3", Service: "parts", State: "draining"},
	}}), nil
}

func (scriptedOperator) GetMove(_ context.Context, req *connect.Request[schema.GetMoveRequest]) (*connect.Response[schema.GetMoveResponse], error) {
	phase := req.Msg.GetId()
	if phase == "absent" {
		return nil, connect.NewError(connect.CodeNotFound, scriptedError{})
	}
	move := &schema.Move{Id: "m1", Service: "parts", From: "v1", To: "v2", Phase: phase, Share: 250, Prefer: "safety", Reason: "because"}
	return connect.NewResponse(&schema.GetMoveResponse{Move: move}), nil
}

func (scriptedOperator) ControlMove(context.Context, *connect.Request[schema.ControlMoveRequest]) (*connect.Response[schema.ControlMoveResponse], error) {
	return nil, connect.NewError(connect.CodeUnknown, scriptedError{})
}

func (scriptedOperator) StartMove(context.Context, *connect.Request[schema.StartMoveRequest]) (*connect.Response[schema.StartMoveResponse], error) {
	return nil, connect.NewError(connect.CodeUnavailable, scriptedError{})
}

func (scriptedOperator) GetStatus(context.Context, *connect.Request[schema.GetStatusRequest]) (*connect.Response[schema.GetStatusResponse], error) {
	return connect.NewResponse(&schema.GetStatusResponse{
		Instance: "c1", Leader: "c2", Term: 3, Version: 4, Watermark: 4, LiveProxies: 2, SilentProxies: 1,
		Silent:          []*schema.Proxy{{Id: "p3", Zone: "zc", Address: "10.3.0.5:7401", InForce: 3, Silent: true}},
		ToleratedLosses: 1,
		Evacuations:     []*schema.Evacuation{{Zone: "zb", StartedAt: timestamppb.New(time.Unix(1_700_000_000, 0))}},
		Members:         []*schema.Member{{Id: "c1", Zone: "za", Address: "10.1.0.4:7400", Role: "voter", State: "in_sync"}},
	}), nil
}

func (scriptedOperator) StartEvacuation(_ context.Context, req *connect.Request[schema.StartEvacuationRequest]) (*connect.Response[schema.StartEvacuationResponse], error) {
	if req.Msg.GetZone() != "zb" {
		return nil, connect.NewError(connect.CodeUnknown, scriptedError{})
	}
	return connect.NewResponse(&schema.StartEvacuationResponse{Version: 5}), nil
}

func (scriptedOperator) EndEvacuation(context.Context, *connect.Request[schema.EndEvacuationRequest]) (*connect.Response[schema.EndEvacuationResponse], error) {
	return connect.NewResponse(&schema.EndEvacuationResponse{Version: 6}), nil
}

// scriptedError is the error of scripted refusals.
type scriptedError struct{}

// Error implements error.
func (scriptedError) Error() string { return "scripted refusal" }

func withDetail(code connect.Code, message proto.Message) error {
	err := connect.NewError(code, scriptedError{})
	if detail, detailErr := connect.NewErrorDetail(message); detailErr == nil {
		err.AddDetail(detail)
	}
	return err
}
