package operator

import (
	"context"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/catalog"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

// memoryLedger is a ledger with one member that applies commands immediately.
type memoryLedger struct {
	catalog *catalog.Catalog

	mu           sync.Mutex
	index        uint64
	largestEntry int
	// beforeApply runs once, before the next command is applied.
	beforeApply func()
	// loseResponse makes the next Propose return ErrUnknownOutcome after the
	// command was applied.
	loseResponse bool
	hasNoLease   bool
}

func (l *memoryLedger) Propose(_ context.Context, command []byte) ([]byte, error) {
	if beforeApply := l.beforeApply; beforeApply != nil {
		l.beforeApply = nil
		beforeApply()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	l.largestEntry = max(l.largestEntry, len(command))
	response := l.catalog.Apply(l.index, command)
	if l.loseResponse {
		l.loseResponse = false
		return nil, hornbeamwell.ErrUnknownOutcome
	}
	return response, nil
}

func (l *memoryLedger) ReadBarrier(context.Context) error { return nil }

func (l *memoryLedger) Status() hornbeamwell.LedgerStatus {
	return hornbeamwell.LedgerStatus{HoldsLease: !l.hasNoLease, Leader: "control-a"}
}

func (l *memoryLedger) AddMember(context.Context, hornbeamwell.LedgerMember) error { return nil }

func (l *memoryLedger) RemoveMember(context.Context, string) error { return nil }

func newService() (*Service, *memoryLedger) {
	c := catalog.New(func(_ catalog.Command, m hornbeamwell.Move) (hornbeamwell.Move, error) { return m, nil })
	ledger := &memoryLedger{catalog: c}
	return New(Options{Instance: "control-a", Ledger: ledger, Catalog: c, Now: time.Now}), ledger
}

func applyRequest(id string, services ...string) *connect.Request[schema.ApplyRequest] {
	request := &schema.ApplyRequest{RequestId: id}
	for _, name := range services {
		request.Services = append(request.Services, &schema.Service{Name: name, Versions: []*schema.TargetVersion{{Name: "v1", Share: 10_000}}})
		request.Routes = append(request.Routes, &schema.Route{Name: name, PathPrefix: "/" + name, Service: name})
	}
	return connect.NewRequest(request)
}

func mustApply(t *testing.T, s *Service, request *connect.Request[schema.ApplyRequest]) uint64 {
	t.Helper()
	response, err := s.Apply(t.Context(), request)
	if err != nil {
		t.Fatalf("apply: %v", err)
	}
	return response.Msg.GetVersion()
}

func TestResendAfterLostResponseRunsOnce(t *testing.T) {
	s, ledger := newService()
	ledger.loseResponse = true
	request := applyRequest("a", "parts")
	if _, err := s.Apply(t.Context(), request); connect.CodeOf(err) != connect.CodeUnknown {
		t.Fatalf("Apply returned the error %v, want the code unknown", err)
	}
	if version := mustApply(t, s, request); version != 1 || ledger.index != 1 {
		t.Fatalf("resend got version %d after %d entries, want version 1 after 1 entry", version, ledger.index)
	}
}

func TestResendWithExpectedVersion(t *testing.T) {
	s, _ := newService()
	request := applyRequest("a", "parts")
	request.Msg.ExpectedVersion = new(uint64)
	first := mustApply(t, s, request)
	// The expected version is no longer the current one when the request is resent.
	if again := mustApply(t, s, request); again != first {
		t.Fatalf("resend got version %d, want %d as in the first response", again, first)
	}
	// A refused request gets the same conflict when it is resent.
	late := applyRequest("b", "orders")
	late.Msg.ExpectedVersion = new(uint64)
	for range 2 {
		_, err := s.Apply(t.Context(), late)
		var connectErr *connect.Error
		if !errors.As(err, &connectErr) || connectErr.Code() != connect.CodeAborted || len(connectErr.Details()) != 1 {
			t.Fatalf("Apply returned the error %v, want an aborted error with a conflict detail", err)
		}
	}
}

func TestApplyIsRebuiltAfterConcurrentChange(t *testing.T) {
	s, ledger := newService()
	mustApply(t, s, applyRequest("a", "parts"))
	ledger.beforeApply = func() { mustApply(t, s, applyRequest("b", "orders")) }
	mustApply(t, s, applyRequest("c", "parts", "manuals"))
	got := s.Catalog.Configuration()
	if len(got.Services) != 2 || got.Services[0].Name != "manuals" || got.Services[1].Name != "parts" {
		t.Fatalf("services are %+v, want manuals and parts", got.Services)
	}
}

func TestResendOfRefusedRequestIsRefused(t *testing.T) {
	s, _ := newService()
	bad := applyRequest("a", "parts")
	bad.Msg.Routes[0].Service = "orders"
	for range 2 {
		if _, err := s.Apply(t.Context(), bad); connect.CodeOf(err) != connect.CodeInvalidArgument {
			t.Fatalf("Apply returned the error %v, want an invalid argument", err)
		}
		mustApply(t, s, applyRequest("b", "parts"))
	}
}

func TestChangeProposesOnlyTheDifference(t *testing.T) {
	s, ledger := newService()
	names := make([]string, 0, 500)
	for i := range 500 {
		names = append(names, "service-"+string(rune('a'+i%26))+string(rune('a'+i/26)))
	}
	mustApply(t, s, applyRequest("a", names...))
	ledger.largestEntry = 0
	wanted := applyRequest("b", names...)
	wanted.Msg.Routes[7].MaxAttempts = 5
	mustApply(t, s, wanted)
	if ledger.largestEntry > 1000 {
		t.Errorf("changing one of 500 routes took an entry of %d bytes, want at most 1000", ledger.largestEntry)
	}
	change := &schema.ChangeRequest{RequestId: "c", RemovedRoutes: []string{names[0]}, RemovedServices: []string{names[0]}}
	if _, err := s.Change(t.Context(), connect.NewRequest(change)); err != nil {
		t.Fatal(err)
	}
	if got := len(s.Catalog.Configuration().Services); got != 499 {
		t.Errorf("%d services are left, want 499", got)
	}
}

func TestCallWithoutLeaderIsUnavailable(t *testing.T) {
	s, ledger := newService()
	ledger.hasNoLease = true
	if _, err := s.Apply(t.Context(), applyRequest("a", "parts")); connect.CodeOf(err) != connect.CodeUnavailable {
		t.Fatalf("Apply returned the error %v, want unavailable", err)
	}
}

// TestResendOfEvacuationChangesNothing guards against an order that a resend repeats
// after the first response was lost, and against a status without the order.
func TestResendOfEvacuationChangesNothing(t *testing.T) {
	s, ledger := newService()
	order := &schema.StartEvacuationRequest{Zone: "north"}
	ledger.loseResponse = true
	if _, err := s.StartEvacuation(t.Context(), connect.NewRequest(order)); connect.CodeOf(err) != connect.CodeUnknown {
		t.Fatalf("the order with a lost response returned %v, want the code unknown", err)
	}
	for range 2 {
		if response, err := s.StartEvacuation(t.Context(), connect.NewRequest(order)); err != nil || response.Msg.GetVersion() != 1 {
			t.Errorf("the resend returned %v, %v, want version 1", response, err)
		}
	}
	response, err := s.Get(t.Context(), connect.NewRequest(&schema.GetRequest{}))
	if err != nil || len(response.Msg.GetConfiguration().GetEvacuations()) != 1 {
		t.Errorf("Get returned %v, %v, want one evacuation", response, err)
	}
	end, err := s.EndEvacuation(t.Context(), connect.NewRequest(&schema.EndEvacuationRequest{Zone: "north"}))
	if err != nil || end.Msg.GetVersion() <= 1 || len(s.Catalog.Configuration().Evacuations) != 0 {
		t.Errorf("the end returned %v, %v", end, err)
	}
	ledger.hasNoLease = true
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := s.EndEvacuation(ctx, connect.NewRequest(&schema.EndEvacuationRequest{Zone: "north"})); connect.CodeOf(err) != connect.CodeUnavailable {
		t.Errorf("without a leader the end returned %v, want the code unavailable", err)
	}
}
