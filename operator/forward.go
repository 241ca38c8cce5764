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
	// leaderTimeout bounds the wait for a leader while none is known or reached.
	leaderTimeout = 4 * time.Second
	// leaderPollInterval is the time between two checks for a leader.
	leaderPollInterval = 50 * time.Millisecond
)

var (
	forwardedCalls = metrics.NewCounter("hornbeamwell_operator_forwarded_total")
	localCalls     = metrics.NewCounter("hornbeamwell_operator_local_total")
)

// mutatingProcedures are the calls that write to the ledger.
var mutatingProcedures = map[string]bool{
	schema.OperatorServiceApplyProcedure:        true,
	schema.OperatorServiceChangeProcedure:       true,
	schema.OperatorServiceReplaceProcedure:      true,
	schema.OperatorServiceStartMoveProcedure:    true,
	schema.OperatorServiceControlMoveProcedure:  true,
	schema.OperatorServiceChangeMemberProcedure: true,

	schema.OperatorServiceStartEvacuationProcedure: true,
	schema.OperatorServiceEndEvacuationProcedure:   true,
}

// dispatch runs a call on this instance if it is the leader and forwards it to
// the leader otherwise. A call that did not run because no leader was reached,
// or because the leadership was lost, is retried until leaderTimeout has passed.
func (s *Service) dispatch(ctx context.Context, path string, body []byte) ([]byte, error) {
	deadline := s.Now().Add(leaderTimeout)
	for {
		response, err := s.attempt(ctx, path, body)
		if !isNotLeader(err) || s.Now().After(deadline) {
			return response, err
		}
		select {
		case <-time.After(leaderPollInterval):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// isNotLeader reports whether a call did not run because no leader was known or
// reached, or because the instance that received it no longer leads.
func isNotLeader(err error) bool {
	var notLeader *hornbeamwell.NotLeaderError
	return errors.As(err, &notLeader)
}

func (s *Service) attempt(ctx context.Context, path string, body []byte) ([]byte, error) {
	end, err := s.begin(ctx)
	if err != nil {
		return nil, err
	}
	defer end()
	status := s.Ledger.Status()
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

// forward sends a call to the leader. If there is no response, only a failed
// dial proves that the call did not run. A call that changes nothing may be sent
// again anyway, so its error counts as not run.
func (s *Service) forward(ctx context.Context, status hornbeamwell.LedgerStatus, request wire.ForwardRequest) ([]byte, error) {
	peer, err := wire.Dial(ctx, status.LeaderAddress, wire.NewMux())
	if err != nil {
		return nil, &hornbeamwell.NotLeaderError{Leader: status.Leader}
	}
	defer func() { _ = peer.Close() }()
	response, err := wire.Call[wire.ForwardRequest, wire.ForwardResponse](ctx, peer, wire.MethodOperatorForward, request)
	if err != nil {
		if mutatingProcedures[request.Procedure] {
			return nil, fmt.Errorf("leader %s did not reply: %w", status.Leader, hornbeamwell.ErrUnknownOutcome)
		}
		return nil, fmt.Errorf("leader %s did not reply: %w", status.Leader, hornbeamwell.ErrNotRun)
	}
	if response.Code != 0 {
		return nil, fromForwardError(response)
	}
	return response.Body, nil
}

// Register adds the handler of forwarded calls to the mux of a control
// instance.
func (s *Service) Register(mux *wire.Mux) {
	wire.HandleConcurrent(mux, wire.MethodOperatorForward, s.handleForward)
}

func (s *Service) handleForward(ctx context.Context, _ *wire.Peer, request wire.ForwardRequest) (wire.ForwardResponse, error) {
	run, found := s.procedures[request.Procedure]
	if !found {
		return toForwardError(connect.NewError(connect.CodeUnimplemented, errors.New("unknown procedure "+request.Procedure))), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	end, err := s.begin(ctx)
	if err != nil {
		return toForwardError(err), nil
	}
	defer end()
	body, err := run(ctx, request.Body)
	if err != nil {
		return toForwardError(err), nil
	}
	return wire.ForwardResponse{Body: body}, nil
}

// notLeaderCode marks a NotLeaderError in a ForwardResponse, so that the
// forwarding instance looks up the leader again. It is not a Connect code.
const notLeaderCode = 1000

func toForwardError(err error) wire.ForwardResponse {
	if isNotLeader(err) {
		return wire.ForwardResponse{Code: notLeaderCode, Message: err.Error()}
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
	if response.Code == notLeaderCode {
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
		return nil, fmt.Errorf("find error detail type %s: %w", d.Type, err)
	}
	detail := messageType.New().Interface()
	if err := proto.Unmarshal(d.Body, detail); err != nil {
		return nil, fmt.Errorf("decode error detail %s: %w", d.Type, err)
	}
	return connect.NewErrorDetail(detail)
}
