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

// memoryLog is a log of one member that applies commands at once.
type memoryLog struct {
	catalog *catalog.Catalog

	mu      sync.Mutex
	index   uint64
	largest int
	// before runs before the next command is applied, and then no more.
	before func()
	// loseAnswer makes the next answer an ErrUnknownOutcome.
	loseAnswer bool
	leaderless bool
}

func (l *memoryLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	if before := l.before; before != nil {
		l.before = nil
		before()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	l.largest = max(l.largest, len(command))
	answer := l.catalog.Apply(l.index, command)
	if l.loseAnswer {
		l.loseAnswer = false
		return nil, hornbeamwell.ErrUnknownOutcome
	}
	return answer, nil
}

func (l *memoryLog) ReadBarrier(context.Context) error { return nil }

func (l *memoryLog) Status() hornbeamwell.LedgerStatus {
	return hornbeamwell.LedgerStatus{HoldsLease: !l.leaderless, Leader: "control-a"}
}

func (l *memoryLog) AddMember(context.Context, hornbeamwell.LedgerMember) error { return nil }

func (l *memoryLog) RemoveMember(context.Context, string) error { return nil }

func newService() (*Service, *memoryLog) {
	c := catalog.New(func(_ catalog.Command, m hornbeamwell.Move) (hornbeamwell.Move, error) { return m, nil })
	log := &memoryLog{catalog: c}
	return New(Options{Instance: "control-a", Log: log, Catalog: c, Now: time.Now}), log
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

func TestResendAfterALostAnswerRunsOnce(t *testing.T) {
	s, log := newService()
	log.loseAnswer = true
	request := applyRequest("a", "parts")
	if _, err := s.Apply(t.Context(), request); connect.CodeOf(err) != connect.CodeUnknown {
		t.Fatalf("got %v, want an unknown outcome", err)
	}
	if version := mustApply(t, s, request); version != 1 || log.index != 1 {
		t.Fatalf("the resend got version %d after %d entries, want the first answer", version, log.index)
	}
}

func TestResendOfAWinnerWithAnExpectedVersion(t *testing.T) {
	s, _ := newService()
	request := applyRequest("a", "parts")
	request.Msg.ExpectedVersion = new(uint64)
	first := mustApply(t, s, request)
	if again := mustApply(t, s, request); again != first {
		t.Fatalf("the resend got version %d, the first answer was %d", again, first)
	}
	late := applyRequest("b", "orders")
	late.Msg.ExpectedVersion = new(uint64)
	for range 2 {
		_, err := s.Apply(t.Context(), late)
		var connectErr *connect.Error
		if !errors.As(err, &connectErr) || connectErr.Code() != connect.CodeAborted || len(connectErr.Details()) != 1 {
			t.Fatalf("got %v, want a conflict with its detail", err)
		}
	}
}

func TestApplyThatLosesARaceIsComputedAgain(t *testing.T) {
	s, log := newService()
	mustApply(t, s, applyRequest("a", "parts"))
	log.before = func() { mustApply(t, s, applyRequest("b", "orders")) }
	mustApply(t, s, applyRequest("c", "parts", "manuals"))
	got := s.Catalog.Configuration()
	if len(got.Services) != 2 || got.Services[0].Name != "manuals" || got.Services[1].Name != "parts" {
		t.Fatalf("services are %+v, want manuals and parts", got.Services)
	}
}

func TestRefusalStaysTheAnswer(t *testing.T) {
	s, _ := newService()
	bad := applyRequest("a", "parts")
	bad.Msg.Routes[0].Service = "orders"
	for range 2 {
		if _, err := s.Apply(t.Context(), bad); connect.CodeOf(err) != connect.CodeInvalidArgument {
			t.Fatalf("got %v, want an invalid argument", err)
		}
		mustApply(t, s, applyRequest("b", "parts"))
	}
}

func TestChangeLeavesTheOthersAsTheyAre(t *testing.T) {
	s, log := newService()
	names := make([]string, 0, 500)
	for i := range 500 {
		names = append(names, "service-"+string(rune('a'+i%26))+string(rune('a'+i/26)))
	}
	mustApply(t, s, applyRequest("a", names...))
	log.largest = 0
	wanted := applyRequest("b", names...)
	wanted.Msg.Routes[7].MaxAttempts = 5
	mustApply(t, s, wanted)
	if log.largest > 1000 {
		t.Errorf("a change of one route of 500 took an entry of %d bytes", log.largest)
	}
	change := &schema.ChangeRequest{RequestId: "c", RemovedRoutes: []string{names[0]}, RemovedServices: []string{names[0]}}
	if _, err := s.Change(t.Context(), connect.NewRequest(change)); err != nil {
		t.Fatal(err)
	}
	if got := len(s.Catalog.Configuration().Services); got != 499 {
		t.Errorf("%d services are left, want 499", got)
	}
}

func TestCallWithoutALeaderIsNotRun(t *testing.T) {
	s, log := newService()
	log.leaderless = true
	if _, err := s.Apply(t.Context(), applyRequest("a", "parts")); connect.CodeOf(err) != connect.CodeUnavailable {
		t.Fatalf("got %v, want unavailable", err)
	}
}
