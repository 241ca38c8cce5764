package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"github.com/hornbeamwell/hornbeamwell/schema"
	"github.com/hornbeamwell/hornbeamwell/soak"
)

// TestSecondLossAfterRepairLosesNothing takes the disk of one control instance
// and, once it is a voter again, that of the next one.
func TestSecondLossAfterRepairLosesNothing(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := newSite(t)
	s.start()
	for i := range 2 * controlCount {
		lost := i % controlCount
		name := fmt.Sprintf("accepted-%d", i)
		s.applyNamed(i, name)
		s.loseDisk(lost)
		s.awaitLosses(func(tolerated int32) bool { return tolerated > 0 })
		if got := s.versionName(lost + 1); got != name {
			t.Fatalf("after the loss of %s the configuration is %q, accepted was %q", soak.ControlID(lost), got, name)
		}
	}
}

// loseDisk kills a control instance and starts it with an empty folder.
func (s *site) loseDisk(i int) {
	p := s.Controls[i]
	s.kill(p)
	s.awaitLosses(func(tolerated int32) bool { return tolerated == 0 })
	s.emptyFolder(p)
	s.startAgain(p)
}

// awaitLosses waits until the leader tolerates as many losses as wanted.
func (s *site) awaitLosses(isWanted func(tolerated int32) bool) {
	s.eventually(40*time.Second, func(ctx context.Context, attempt int) error {
		response, err := s.OperatorClient(attempt).GetStatus(ctx, connect.NewRequest(&schema.GetStatusRequest{}))
		if err != nil {
			return err
		}
		if tolerated := response.Msg.GetToleratedLosses(); !isWanted(tolerated) {
			return fmt.Errorf("%d losses are tolerated: %v", tolerated, response.Msg.GetMembers())
		}
		return nil
	})
}

// applyNamed applies a configuration that a version's name tells apart.
func (s *site) applyNamed(at int, name string) uint64 {
	request := namedRequest(name, nil)
	var version uint64
	s.eventually(30*time.Second, func(ctx context.Context, attempt int) error {
		response, err := s.OperatorClient(at+attempt).Apply(ctx, connect.NewRequest(request))
		if err == nil {
			version = response.Msg.GetVersion()
		}
		return err
	})
	return version
}

func namedRequest(name string, expected *uint64) *schema.ApplyRequest {
	return &schema.ApplyRequest{
		RequestId:       uuid.NewString(),
		ExpectedVersion: expected,
		Services: []*schema.Service{{Name: "credit", Versions: []*schema.TargetVersion{
			{Name: "v1", Share: 10_000}, {Name: name},
		}}},
	}
}

// versionName returns the name that the last applied configuration carries.
func (s *site) versionName(at int) string {
	var name string
	s.eventually(20*time.Second, func(ctx context.Context, attempt int) error {
		response, err := s.OperatorClient(at+attempt).Get(ctx, connect.NewRequest(&schema.GetRequest{}))
		if err != nil {
			return err
		}
		for _, v := range response.Msg.GetConfiguration().GetServices()[0].GetVersions() {
			if v.GetName() != "v1" {
				name = v.GetName()
			}
		}
		return nil
	})
	return name
}

// win is a change that an operator was told to have won.
type win struct {
	expected, version uint64
}

// TestRacingOperatorsGetOneWinnerEach lets operators race through different
// control instances while these are killed.
func TestRacingOperatorsGetOneWinnerEach(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	seed := environmentSeed(t)
	s := newSite(t)
	s.start()
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	var mu sync.Mutex
	var wins []win
	var operators sync.WaitGroup
	for operator := range 6 {
		operators.Go(func() {
			for sequence := 0; ctx.Err() == nil; sequence++ {
				if won, ok := s.race(ctx, operator, sequence); ok {
					mu.Lock()
					wins = append(wins, won)
					mu.Unlock()
				}
			}
		})
	}
	random := rand.New(rand.NewPCG(seed, seed))
	for ctx.Err() == nil {
		time.Sleep(2 * time.Second)
		t.Log(s.killed(pick(random, s.Controls)))
	}
	operators.Wait()
	s.awaitLosses(func(tolerated int32) bool { return tolerated > 0 })
	checkWins(t, wins)
}

// race reads the current version and tries to replace it. It resends with the
// same request id until the answer is known.
func (s *site) race(ctx context.Context, operator, sequence int) (win, bool) {
	client := s.OperatorClient(operator)
	current, err := client.Get(ctx, connect.NewRequest(&schema.GetRequest{}))
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return win{}, false
	}
	expected := current.Msg.GetConfiguration().GetVersion()
	request := namedRequest(fmt.Sprintf("o%d-%d", operator, sequence), &expected)
	for attempt := 0; ; attempt++ {
		response, err := s.OperatorClient(operator+attempt).Apply(context.WithoutCancel(ctx), connect.NewRequest(request))
		switch connect.CodeOf(err) {
		case connect.CodeAborted, connect.CodeInvalidArgument:
			return win{}, false
		default:
		}
		if err == nil {
			return win{expected: expected, version: response.Msg.GetVersion()}, true
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkWins checks that each version was replaced by one winner alone.
func checkWins(t *testing.T, wins []win) {
	t.Helper()
	byExpected, byVersion := map[uint64]uint64{}, map[uint64]bool{}
	for _, w := range wins {
		if other, taken := byExpected[w.expected]; taken {
			t.Errorf("version %d was replaced by both %d and %d", w.expected, other, w.version)
		}
		byExpected[w.expected] = w.version
		if byVersion[w.version] {
			t.Errorf("version %d was won twice", w.version)
		}
		byVersion[w.version] = true
		if w.version <= w.expected {
			t.Errorf("version %d follows %d", w.version, w.expected)
		}
	}
	t.Logf("%d changes won", len(wins))
	if len(wins) == 0 {
		t.Error("no change was won")
	}
}

// TestProxyReturnsAfterHundredsOfChanges stops a proxy while many
// configurations pass it by.
func TestProxyReturnsAfterHundredsOfChanges(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const changes = 300
	s := newSite(t)
	s.start()
	s.kill(s.Entries[0])
	var version uint64
	for i := range changes {
		version = s.applyNamed(i, fmt.Sprintf("change-%d", i))
	}
	status, err := s.OperatorClient(0).GetStatus(t.Context(), connect.NewRequest(&schema.GetStatusRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	if status.Msg.GetInForceEverywhere() {
		t.Error("in force everywhere was said while a killed proxy was never heard to have it")
	}
	started := time.Now()
	s.startAgain(s.Entries[0])
	s.awaitInForce(version, 13*time.Second)
	t.Logf("in force everywhere %s after the start of the proxy", time.Since(started).Round(time.Millisecond))
}
