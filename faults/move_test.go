package faults

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/hornbeamwell/hornbeamwell/load"
	"github.com/hornbeamwell/hornbeamwell/schema"
)

const (
	// moveTime is the time from the start of a move to its deadline.
	moveTime = 50 * time.Second
	// moveRate is the number of calls per second during a move.
	moveRate = 400
)

// TestMoveUnderFaults moves a service to a new version while the control
// instances, including the leader, are killed in turn.
func TestMoveUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	tests := []struct {
		name         string
		failureShare float64
		phase        string
	}{
		{name: "good version is done", phase: "done"},
		{name: "failing version is taken back", failureShare: 0.2, phase: "taken_back"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.newVersionFailureShare = test.failureShare
			s.start()
			s.startNewVersion()
			stopCalls, ended := s.startCalls()
			id := s.startMove()
			stopFaults := s.killControlInTurn()
			m := s.awaitMoveEnd(id)
			stopFaults()
			stopCalls()
			report := <-ended
			t.Logf("%s: %s; verdicts %v, versions %v", m.GetPhase(), m.GetReason(), report.Verdicts, report.Versions)
			if m.GetPhase() != test.phase {
				t.Errorf("the move ended as %s, want %s", m.GetPhase(), test.phase)
			}
			if test.phase == "done" && m.GetEndedAt().AsTime().After(m.GetDeadline().AsTime().Add(m.GetHold().AsDuration())) {
				t.Errorf("the move was done at %s, later than the hold time after the deadline %s", m.GetEndedAt().AsTime(), m.GetDeadline().AsTime())
			}
			if report.Duplicated != 0 || report.FalseRefusals != 0 {
				t.Errorf("%d calls that are not idempotent ran more than once, %d had run but were refused as not run", report.Duplicated, report.FalseRefusals)
			}
			if found := s.Violations(); found != "" {
				t.Errorf("invariants were violated:\n%s", found)
			}
		})
	}
}

// startNewVersion replaces half of the targets by targets of the new version.
func (s *site) startNewVersion() {
	for _, target := range s.Targets[targetCount/2:] {
		target.Drain()
		target.Version, target.FailureShare = "v2", s.newVersionFailureShare
		s.must(target.Start())
	}
	s.must(s.AwaitTargets(20 * time.Second))
}

// startCalls sends calls until the returned function is called. The channel then
// receives the report.
func (s *site) startCalls() (context.CancelFunc, <-chan load.Report) {
	entries := make([]netip.AddrPort, 0, len(s.Entries))
	for _, p := range s.Entries {
		entries = append(entries, p.Callers)
	}
	calls, err := load.New(load.Options{
		Entries: entries,
		Calls: []load.Call{
			{Weight: 1, Method: "POST", Path: "/credits/plain", BodyBytes: 200, ResponseBytes: 400},
			{Weight: 1, Method: "GET", Path: "/profiles", Idempotent: true, ResponseBytes: 2000},
		},
		Rate: moveRate,
		CountRuns: func(_ context.Context, prefix string) (load.RunCounts, error) {
			return load.RunCounts{Counts: s.Runs.WithPrefix(prefix)}, nil
		},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	reports := make(chan load.Report, 1)
	go func() {
		report, err := calls.Run(ctx)
		if err != nil {
			s.t.Error(err)
		}
		reports <- report
	}()
	return cancel, reports
}

func (s *site) startMove() string {
	request := &schema.StartMoveRequest{
		RequestId: uuid.NewString(), Service: "credit", To: "v2",
		Deadline: timestamppb.New(time.Now().Add(moveTime)), Hold: durationpb.New(2 * time.Second),
	}
	var id string
	s.eventually(20*time.Second, func(ctx context.Context, attempt int) error {
		response, err := s.OperatorClient(attempt).StartMove(ctx, connect.NewRequest(request))
		if err == nil {
			id = response.Msg.GetMove().GetId()
		}
		return err
	})
	return id
}

// killControlInTurn kills and restarts the control instances in turn until the
// returned function is called.
func (s *site) killControlInTurn() func() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-time.After(15 * time.Second):
			}
			s.t.Log(s.killAndRestart(s.Controls[i%controlCount]))
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

// awaitMoveEnd waits until the move is done or taken back and returns it.
func (s *site) awaitMoveEnd(id string) *schema.Move {
	var final *schema.Move
	s.eventually(moveTime+60*time.Second, func(ctx context.Context, attempt int) error {
		response, err := s.OperatorClient(attempt).GetMove(ctx, connect.NewRequest(&schema.GetMoveRequest{Id: id}))
		if err != nil {
			return err
		}
		final = response.Msg.GetMove()
		if final.GetEndedAt() == nil {
			return fmt.Errorf("the move is in phase %s: %s", final.GetPhase(), final.GetReason())
		}
		return nil
	})
	return final
}
