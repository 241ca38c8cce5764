package operator

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/schema"
	"github.com/hornbeamwell/hornbeamwell/wire"
)

const (
	// leaderWait bounds the wait for a leader while none is known.
	leaderWait = 4 * time.Second
	// leaderPoll is the time between two looks for a leader.
	leaderPoll = 50 * time.Millisecond
)

var (
	forwardedCalls = metrics.NewCounter("hornbeamwell_operator_forwarded_total")
	localCalls     = metrics.NewCounter("hornbeamwell_operator_local_total")
)

// changing names the calls that propose a command.
var changing = map[string]bool{
	schema.OperatorServiceApplyProcedure:        true,
	schema.OperatorServiceChangeProcedure:       true,
	schema.OperatorServiceReplaceProcedure:      true,
	schema.OperatorServiceStartMoveProcedure:    true,
	schema.OperatorServiceControlMoveProcedure:  true,
	schema.OperatorServiceChangeMemberProcedure: true,
}

// dispatch runs a call on this instance while it leads and at the leader
// otherwise. A call that provably did not run is tried again until a leader
// is found or leaderWait has passed.
func (s *Service) dispatch(ctx context.Context, path string, body []byte) ([]byte, error) {
	giveUp := s.Now().Add(leaderWait)
	for {
		answer, err := s.attempt(ctx, path, body)
		if !isLeaderless(err) || s.Now().After(giveUp) {
			return answer, err
		}
		select {
		case <-time.After(leaderPoll):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// isLeaderless reports whether the call did not run for want of a leader.
func isLeaderless(err error) bool {
	var notLeader *hornbeamwell.NotLeaderError
	return errors.As(err, &notLeader)
}

func (s *Service) attempt(ctx context.Context, path string, body []byte) ([]byte, error) {
	status := s.Log.Status()
	if status.HoldsLease {
		localCalls.Inc()
		return s.procedures[path](ctx, body)
	}
	if !status.LeaderAddress.IsValid() || status.Leader == s.Instance {
		return nil, &hornbeamwell.NotLeaderError{}
	}
	forwardedCalls.Inc()
	return s.forward(ctx, status, wire.ForwardRequest{Procedure: path, Body: body})
}

// forward hands a call to the leader. Only a dial that failed proves that the
// call did not run.
func (s *Service) forward(ctx context.Context, status hornbeamwell.LedgerStatus, request wire.ForwardRequest) ([]byte, error) {
	peer, err := wire.Dial(ctx, status.LeaderAddress, wire.NewMux())
	if err != nil {
		return nil, &hornbeamwell.NotLeaderError{Leader: status.Leader}
	}
	defer func() { _ = peer.Close() }()
	response, err := wire.Call[wire.ForwardRequest, wire.ForwardResponse](ctx, peer, wire.MethodOperatorForward, request)
	if err != nil {
		if changing[request.Procedure] {
			return nil, fmt.Errorf("the leader %s did not answer: %w", status.Leader, hornbeamwell.ErrUnknownOutcome)
		}
		return nil, fmt.Errorf("the leader %s did not answer: %w", status.Leader, hornbeamwell.ErrNotRun)
	}
	if response.Code != 0 {
		return nil, fromForwardError(response)
	}
	return response.Body, nil
}

// Register accepts forwarded calls on the listener of a control instance.
func (s *Service) Register(mux *wire.Mux) {
	wire.HandleConcurrent(mux, wire.MethodOperatorForward, s.handleForward)
}

func (s *Service) handleForward(ctx context.Context, _ *wire.Peer, request wire.ForwardRequest) (wire.ForwardResponse, error) {
	run, found := s.procedures[request.Procedure]
	if !found {
		return toForwardError(connect.NewError(connect.CodeUnimplemented, errors.New("no call "+request.Procedure))), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := run(ctx, request.Body)
	if err != nil {
		return toForwardError(err), nil
	}
	return wire.ForwardResponse{Body: body}, nil
}

// leaderlessCode marks a NotLeaderError in a ForwardResponse, so that the
// instance that forwarded looks for the leader again.
const leaderlessCode = 1000

func toForwardError(err error) wire.ForwardResponse {
	if isLeaderless(err) {
		return wire.ForwardResponse{Code: leaderlessCode, Message: err.Error()}
	}
	var connectErr *connect.Error
	errors.As(toConnectError(err), &connectErr)
	response := wire.ForwardResponse{Code: uint32(connectErr.Code()), Message: connectErr.Message()}
	for _, d := range connectErr.Details() {
		response.Details = append(response.Details, wire.ForwardDetail{Type: d.Type(), Body: d.Bytes()})
	}
	return response
}

func fromForwardError(response wire.ForwardResponse) error {
	if response.Code == leaderlessCode {
		return &hornbeamwell.NotLeaderError{}
	}
	connectErr := connect.NewError(connect.Code(response.Code), errors.New(response.Message))
	for _, d := range response.Details {
		if detail, err := decodeDetail(d); err == nil {
			connectErr.AddDetail(detail)
		}
	}
	return connectErr
}

func decodeDetail(d wire.ForwardDetail) (*connect.ErrorDetail, error) {
	messageType, err := protoregistry.GlobalTypes.FindMessageByName(protoreflect.FullName(d.Type))
	if err != nil {
		return nil, fmt.Errorf("find detail type %s: %w", d.Type, err)
	}
	detail := messageType.New().Interface()
	if err := proto.Unmarshal(d.Body, detail); err != nil {
		return nil, fmt.Errorf("decode detail %s: %w", d.Type, err)
	}
	return connect.NewErrorDetail(detail)
}
