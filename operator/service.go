package operator

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/blackboard"
	"github.com/hornbeamwell/hornbeamwell/catalog"
	"github.com/hornbeamwell/hornbeamwell/move"
	"github.com/hornbeamwell/hornbeamwell/schema"
	"github.com/hornbeamwell/hornbeamwell/settings"
)

// callTimeout bounds a call that has no earlier deadline.
const callTimeout = 15 * time.Second

// Options configures a Service. All fields but Logger, which is not used, are
// required.
type Options struct {
	// Instance is the id of this control instance.
	Instance string
	Ledger   hornbeamwell.Ledger
	Catalog  *catalog.Catalog
	Loop     *blackboard.Loop
	Moves    *move.Controller
	// Defaults holds the values of fields that a StartMove request leaves
	// unset.
	Defaults settings.Move
	Now      func() time.Time
	Logger   log.Logger
}

// Service implements the operator API on a control instance. The leader runs
// the calls; the other instances forward them to the leader, except that Get
// returns the configuration of the instance itself. A Service is safe for
// concurrent use.
type Service struct {
	Options
	// procedures holds the implementation of each call by its path in the
	// schema.
	procedures map[string]procedure
	// running holds a token for each call that runs.
	running chan struct{}
}

// maxRunningCalls bounds the calls that run at once in one process. Each of them may copy the
// whole configuration several times.
const maxRunningCalls = 8

var errTooManyCalls = errors.New("too many calls run")

// begin waits until a call may run. The returned function ends it.
func (s *Service) begin(ctx context.Context) (end func(), err error) {
	select {
	case s.running <- struct{}{}:
		return func() { <-s.running }, nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeUnavailable, errTooManyCalls)
	}
}

// procedure decodes a request, runs the call on this instance and encodes the
// response.
type procedure func(ctx context.Context, body []byte) ([]byte, error)

var _ schema.OperatorServiceHandler = (*Service)(nil)

// New returns a Service. Register adds the handler of calls that other
// instances forward.
func New(options Options) *Service {
	s := &Service{Options: options, procedures: map[string]procedure{}, running: make(chan struct{}, maxRunningCalls)}
	register(s, schema.OperatorServiceApplyProcedure, s.apply)
	register(s, schema.OperatorServiceChangeProcedure, s.changeConfiguration)
	register(s, schema.OperatorServiceReplaceProcedure, s.replace)
	register(s, schema.OperatorServiceGetProcedure, s.get)
	register(s, schema.OperatorServiceStartMoveProcedure, s.startMove)
	register(s, schema.OperatorServiceControlMoveProcedure, s.controlMove)
	register(s, schema.OperatorServiceGetMoveProcedure, s.getMove)
	register(s, schema.OperatorServiceListMovesProcedure, s.listMoves)
	register(s, schema.OperatorServiceListTargetsProcedure, s.listTargets)
	register(s, schema.OperatorServiceListProxiesProcedure, s.listProxies)
	register(s, schema.OperatorServiceGetStatusProcedure, s.getStatus)
	register(s, schema.OperatorServiceChangeMemberProcedure, s.changeMember)
	register(s, schema.OperatorServiceStartEvacuationProcedure, s.startEvacuation)
	register(s, schema.OperatorServiceEndEvacuationProcedure, s.endEvacuation)
	return s
}

// message is a pointer to a protobuf message of type T.
type message[T any] interface {
	*T
	proto.Message
}

// register adds the implementation of a call.
func register[Req, Resp any, ReqPtr message[Req], RespPtr message[Resp]](s *Service, path string, run func(context.Context, ReqPtr) (RespPtr, error)) {
	s.procedures[path] = func(ctx context.Context, body []byte) ([]byte, error) {
		request := ReqPtr(new(Req))
		if err := proto.Unmarshal(body, request); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		response, err := run(ctx, request)
		if err != nil {
			return nil, err
		}
		return proto.Marshal(response)
	}
}

// serve runs a call on this instance or on the leader.
func serve[Req, Resp any, ReqPtr message[Req], RespPtr message[Resp]](ctx context.Context, s *Service, path string, request *connect.Request[Req]) (*connect.Response[Resp], error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := proto.Marshal(ReqPtr(request.Msg))
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	encoded, err := s.dispatch(ctx, path, body)
	if err != nil {
		return nil, toConnectError(err)
	}
	response := RespPtr(new(Resp))
	if err := proto.Unmarshal(encoded, response); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse((*Resp)(response)), nil
}

// Apply implements schema.OperatorServiceHandler.
func (s *Service) Apply(ctx context.Context, req *connect.Request[schema.ApplyRequest]) (*connect.Response[schema.ApplyResponse], error) {
	return serve[schema.ApplyRequest, schema.ApplyResponse](ctx, s, schema.OperatorServiceApplyProcedure, req)
}

// Change implements schema.OperatorServiceHandler.
func (s *Service) Change(ctx context.Context, req *connect.Request[schema.ChangeRequest]) (*connect.Response[schema.ChangeResponse], error) {
	return serve[schema.ChangeRequest, schema.ChangeResponse](ctx, s, schema.OperatorServiceChangeProcedure, req)
}

// ChangeMember implements schema.OperatorServiceHandler.
func (s *Service) ChangeMember(ctx context.Context, req *connect.Request[schema.ChangeMemberRequest]) (*connect.Response[schema.ChangeMemberResponse], error) {
	return serve[schema.ChangeMemberRequest, schema.ChangeMemberResponse](ctx, s, schema.OperatorServiceChangeMemberProcedure, req)
}

// ControlMove implements schema.OperatorServiceHandler.
func (s *Service) ControlMove(ctx context.Context, req *connect.Request[schema.ControlMoveRequest]) (*connect.Response[schema.ControlMoveResponse], error) {
	return serve[schema.ControlMoveRequest, schema.ControlMoveResponse](ctx, s, schema.OperatorServiceControlMoveProcedure, req)
}

// StartEvacuation implements schema.OperatorServiceHandler.
func (s *Service) StartEvacuation(ctx context.Context, req *connect.Request[schema.StartEvacuationRequest]) (*connect.Response[schema.StartEvacuationResponse], error) {
	return serve[schema.StartEvacuationRequest, schema.StartEvacuationResponse](ctx, s, schema.OperatorServiceStartEvacuationProcedure, req)
}

// EndEvacuation implements schema.OperatorServiceHandler.
func (s *Service) EndEvacuation(ctx context.Context, req *connect.Request[schema.EndEvacuationRequest]) (*connect.Response[schema.EndEvacuationResponse], error) {
	return serve[schema.EndEvacuationRequest, schema.EndEvacuationResponse](ctx, s, schema.OperatorServiceEndEvacuationProcedure, req)
}

// Get implements schema.OperatorServiceHandler.
func (s *Service) Get(ctx context.Context, req *connect.Request[schema.GetRequest]) (*connect.Response[schema.GetResponse], error) {
	if req.Msg.GetVersionOnly() {
		return serve[schema.GetRequest, schema.GetResponse](ctx, s, schema.OperatorServiceGetProcedure, req)
	}
	configuration, err := s.getLocal(ctx)
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&schema.GetResponse{Configuration: configuration}), nil
}

// GetMove implements schema.OperatorServiceHandler.
func (s *Service) GetMove(ctx context.Context, req *connect.Request[schema.GetMoveRequest]) (*connect.Response[schema.GetMoveResponse], error) {
	return serve[schema.GetMoveRequest, schema.GetMoveResponse](ctx, s, schema.OperatorServiceGetMoveProcedure, req)
}

// GetStatus implements schema.OperatorServiceHandler.
func (s *Service) GetStatus(ctx context.Context, req *connect.Request[schema.GetStatusRequest]) (*connect.Response[schema.GetStatusResponse], error) {
	return serve[schema.GetStatusRequest, schema.GetStatusResponse](ctx, s, schema.OperatorServiceGetStatusProcedure, req)
}

// ListMoves implements schema.OperatorServiceHandler.
func (s *Service) ListMoves(ctx context.Context, req *connect.Request[schema.ListMovesRequest]) (*connect.Response[schema.ListMovesResponse], error) {
	return serve[schema.ListMovesRequest, schema.ListMovesResponse](ctx, s, schema.OperatorServiceListMovesProcedure, req)
}

// ListProxies implements schema.OperatorServiceHandler.
func (s *Service) ListProxies(ctx context.Context, req *connect.Request[schema.ListProxiesRequest]) (*connect.Response[schema.ListProxiesResponse], error) {
	return serve[schema.ListProxiesRequest, schema.ListProxiesResponse](ctx, s, schema.OperatorServiceListProxiesProcedure, req)
}

// ListTargets implements schema.OperatorServiceHandler.
func (s *Service) ListTargets(ctx context.Context, req *connect.Request[schema.ListTargetsRequest]) (*connect.Response[schema.ListTargetsResponse], error) {
	return serve[schema.ListTargetsRequest, schema.ListTargetsResponse](ctx, s, schema.OperatorServiceListTargetsProcedure, req)
}

// Replace implements schema.OperatorServiceHandler.
func (s *Service) Replace(ctx context.Context, req *connect.Request[schema.ReplaceRequest]) (*connect.Response[schema.ReplaceResponse], error) {
	return serve[schema.ReplaceRequest, schema.ReplaceResponse](ctx, s, schema.OperatorServiceReplaceProcedure, req)
}

// StartMove implements schema.OperatorServiceHandler.
func (s *Service) StartMove(ctx context.Context, req *connect.Request[schema.StartMoveRequest]) (*connect.Response[schema.StartMoveResponse], error) {
	return serve[schema.StartMoveRequest, schema.StartMoveResponse](ctx, s, schema.OperatorServiceStartMoveProcedure, req)
}
