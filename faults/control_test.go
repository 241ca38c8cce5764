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

// TestSecondDiskLossAfterRecovery removes the data folder of one control
// instance and, once this is a voter again, that of the next one. No accepted
// configuration may be lost.
func TestSecondDiskLossAfterRecovery(t *testing.T) {
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
		s.awaitToleratedLosses(func(tolerated int32) bool { return tolerated > 0 })
		if got := s.versionName(lost + 1); got != name {
			t.Fatalf("after the disk loss of %s the configuration is %q, want the accepted %q", soak.ControlID(lost), got, name)
		}
	}
}

// loseDisk kills a control instance and restarts it with an empty data folder.
func (s *site) loseDisk(i int) {
	p := s.Controls[i]
	s.kill(p)
	s.awaitToleratedLosses(func(tolerated int32) bool { return tolerated == 0 })
	s.clearDataFolder(p)
	s.restart(p)
}

// awaitToleratedLosses waits until the number of member losses that the leader
// tolerates is as wanted.
func (s *site) awaitToleratedLosses(isWanted func(tolerated int32) bool) {
	s.eventually(40*time.Second, func(ctx context.Context, attempt int) error {
		response, err := s.OperatorClient(attempt).GetStatus(ctx, connect.NewRequest(&schema.GetStatusRequest{}))
		if err != nil {
			return err
		}
		if tolerated := response.Msg.GetToleratedLosses(); !isWanted(tolerated) {
			return fmt.Errorf("%d losses are tolerated, members %v", tolerated, response.Msg.GetMembers())
		}
		return nil
	})
}

// applyNamed applies a configuration that has a service version with the name,
// and returns the version of the configuration.
func (s *site) applyNamed(controlIndex int, name string) uint64 {
	request := namedRequest(name, nil)
	var version uint64
	s.eventually(30*time.Second, func(ctx context.Context, attempt int) error {
		response, err := s.OperatorClient(controlIndex+attempt).Apply(ctx, connect.NewRequest(request))
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

// versionName returns the name that applyNamed gave the current configuration.
func (s *site) versionName(controlIndex int) string {
	var name string
	s.eventually(20*time.Second, func(ctx context.Context, attempt int) error {
		response, err := s.OperatorClient(controlIndex+attempt).Get(ctx, connect.NewRequest(&schema.GetRequest{}))
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

// acceptedChange is a change that was reported to an operator as accepted.
type acceptedChange struct {
	expected, version uint64
}

// TestConcurrentAppliesHaveOneWinner lets operators replace the same version
// concurrently through different control instances while these are killed. It
// guards against two accepted changes of one version.
func TestConcurrentAppliesHaveOneWinner(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	seed := seedFromEnvironment(t)
	s := newSite(t)
	s.start()
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	var mu sync.Mutex
	var changes []acceptedChange
	var operators sync.WaitGroup
	for operator := range 6 {
		operators.Go(func() {
			for sequence := 0; ctx.Err() == nil; sequence++ {
				if change, ok := s.applyOnCurrent(ctx, operator, sequence); ok {
					mu.Lock()
					changes = append(changes, change)
					mu.Unlock()
				}
			}
		})
	}
	random := rand.New(rand.NewPCG(seed, seed))
	for ctx.Err() == nil {
		time.Sleep(2 * time.Second)
		t.Log(s.killAndRestart(pick(random, s.Controls)))
	}
	operators.Wait()
	s.awaitToleratedLosses(func(tolerated int32) bool { return tolerated > 0 })
	checkOneSuccessor(t, changes)
}

// applyOnCurrent reads the current version and tries to replace it. It resends
// the request with the same id until the outcome is known.
func (s *site) applyOnCurrent(ctx context.Context, operator, sequence int) (acceptedChange, bool) {
	client := s.OperatorClient(operator)
	current, err := client.Get(ctx, connect.NewRequest(&schema.GetRequest{}))
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return acceptedChange{}, false
	}
	expected := current.Msg.GetConfiguration().GetVersion()
	request := namedRequest(fmt.Sprintf("o%d-%d", operator, sequence), &expected)
	for attempt := 0; ; attempt++ {
		response, err := s.OperatorClient(operator+attempt).Apply(context.WithoutCancel(ctx), connect.NewRequest(request))
		switch connect.CodeOf(err) {
		case connect.CodeAborted, connect.CodeInvalidArgument:
			return acceptedChange{}, false
		default:
		}
		if err == nil {
			return acceptedChange{expected: expected, version: response.Msg.GetVersion()}, true
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkOneSuccessor checks that each version was replaced by one change only.
func checkOneSuccessor(t *testing.T, changes []acceptedChange) {
	t.Helper()
	byExpected, byVersion := map[uint64]uint64{}, map[uint64]bool{}
	for _, c := range changes {
		if other, taken := byExpected[c.expected]; taken {
			t.Errorf("version %d was replaced by both %d and %d", c.expected, other, c.version)
		}
		byExpected[c.expected] = c.version
		if byVersion[c.version] {
			t.Errorf("version %d was assigned to two changes", c.version)
		}
		byVersion[c.version] = true
		if c.version <= c.expected {
			t.Errorf("version %d replaced %d, want a higher one", c.version, c.expected)
		}
	}
	t.Logf("%d changes were accepted", len(changes))
	if len(changes) == 0 {
		t.Error("no change was accepted")
	}
}

// TestProxyCatchesUpAfterManyChanges kills a proxy, applies many configurations
// and restarts it. While the proxy is down, the last configuration must not be
// reported as in force everywhere. It must be in force within 13 s of the restart.
func TestProxyCatchesUpAfterManyChanges(t *testing.T) {
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
		t.Error("the configuration is reported as in force everywhere, but a killed proxy never acknowledged it")
	}
	started := time.Now()
	s.restart(s.Entries[0])
	s.awaitInForce(version, 13*time.Second)
	t.Logf("in force everywhere %s after the start of the proxy", time.Since(started).Round(time.Millisecond))
}
