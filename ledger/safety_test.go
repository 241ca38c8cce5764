package ledger

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamwell/hornbeamwell"
)

const (
	// durationVariable is the name of the environment variable that holds the
	// duration of a long run, such as 2h.
	durationVariable = "HORNBEAMWELL_LONG"
	// seedVariable is the name of the environment variable that holds a single
	// seed to run.
	seedVariable = "HORNBEAMWELL_SEED"
)

// shortSeeds are the seeds that are run unless one of the variables is set.
var shortSeeds = []uint64{1, 2, 3, 4}

// checkSeeds checks a property with the fixed seeds, with the seed of
// seedVariable, or with new seeds for the duration of a long run.
func checkSeeds(t *testing.T, checks int, property func(*rapid.T)) {
	if seed, err := strconv.ParseUint(os.Getenv(seedVariable), 10, 64); err == nil {
		checkSeed(t, seed, checks, property)
		return
	}
	duration, err := time.ParseDuration(os.Getenv(durationVariable))
	if err != nil {
		for _, seed := range shortSeeds {
			checkSeed(t, seed, checks, property)
		}
		return
	}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		checkSeed(t, uint64(time.Now().UnixNano()), checks, property)
	}
}

func checkSeed(t *testing.T, seed uint64, checks int, property func(*rapid.T)) {
	t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
		t.Logf("rapid seed %d", seed)
		for name, value := range map[string]string{"rapid.seed": strconv.FormatUint(seed, 10), "rapid.checks": strconv.Itoa(checks), "rapid.steps": "80"} {
			if err := flag.Set(name, value); err != nil {
				t.Fatal(err)
			}
		}
		rapid.Check(t, property)
	})
}

// faults are the actions of a randomised run.
type faults struct{ *simulation }

func (f faults) node(t *rapid.T) int {
	return rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")
}

func (f faults) crash(t *rapid.T) { f.simulation.crash(f.node(t)) }

func (f faults) restart(t *rapid.T) {
	if i := f.node(t); f.nodes[i].core == nil {
		f.start(i)
	}
}

func (f faults) loseDisk(t *rapid.T) {
	if i := f.node(t); f.wipe(i) && rapid.Bool().Draw(t, "at once") {
		f.start(i)
	}
}

func (f faults) cutOneWay(t *rapid.T) {
	f.cuts[[2]int{f.node(t), f.node(t)}] = true
}

func (f faults) isolateNode(t *rapid.T) {
	i := f.node(t)
	for j := range f.nodes {
		f.cuts[[2]int{i, j}], f.cuts[[2]int{j, i}] = true, true
	}
}

func (f faults) healNetwork(*rapid.T) { f.cuts = map[[2]int]bool{} }

func (f faults) networkConditions(t *rapid.T) {
	f.lossPercent = rapid.SampledFrom([]int{0, 5, 30}).Draw(t, "loss")
	f.latePercent = rapid.SampledFrom([]int{0, 10, 50}).Draw(t, "late")
	f.duplicatePercent = rapid.SampledFrom([]int{0, 20}).Draw(t, "duplicates")
	f.delay = rapid.SampledFrom([]time.Duration{time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond}).Draw(t, "delay")
}

func (f faults) slowDisk(t *rapid.T) {
	f.nodes[f.node(t)].diskDelay = rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, time.Second}).Draw(t, "delay")
}

func (f faults) pause(t *rapid.T) {
	f.nodes[f.node(t)].pausedUntil = f.now + time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms"))*time.Millisecond
}

func (f faults) propose(t *rapid.T) {
	for i, n := range f.nodes {
		if n.core == nil || n.core.role != RoleLeader || f.now < n.pausedUntil {
			continue
		}
		for range rapid.IntRange(1, 12).Draw(t, "commands") {
			f.step(i, proposeEvent{commands: [][]byte{fmt.Appendf(nil, "%s at %v", n.endpoint.ID, f.now)}})
		}
	}
}

// changeMember first waits until the leader can have detected the faults that
// an operator would notice before requesting a change.
func (f faults) changeMember(t *rapid.T) {
	f.run(DefaultTiming().ElectionMin * 2)
	leader := f.leader()
	if leader < 0 || f.now < f.nodes[leader].pausedUntil {
		return
	}
	n := f.nodes[f.node(t)]
	change := MemberChange{Kind: AddMember, Member: hornbeamwell.LedgerMember{ID: n.endpoint.ID, Address: n.endpoint.Address}}
	if rapid.Bool().Draw(t, "remove") && f.nodes[leader].core.voterCount() > 3 {
		change.Kind = RemoveMember
	}
	f.step(leader, changeEvent{change: change})
}

func (f faults) stepDown(*rapid.T) {
	if leader := f.leader(); leader >= 0 && f.now >= f.nodes[leader].pausedUntil {
		f.step(leader, stepDownEvent{})
	}
}

func (f faults) wait(t *rapid.T) {
	f.run(time.Duration(rapid.IntRange(5, 3000).Draw(t, "ms")) * time.Millisecond)
}

// drawClocks draws the rate of each clock and the maximum election timeout.
func (s *simulation) drawClocks(t *rapid.T) {
	for _, n := range s.nodes {
		n.clockPercent = rapid.SampledFrom([]int{95, 100, 105}).Draw(t, "rate")
	}
	s.timing.ElectionMax = rapid.SampledFrom([]time.Duration{610 * time.Millisecond, 1200 * time.Millisecond}).Draw(t, "election")
}

// drawEagerCandidate makes one node start its elections as early as possible.
func (s *simulation) drawEagerCandidate(t *rapid.T) {
	eager := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "eager")
	s.nodes[eager].electionMax = s.timing.ElectionMin + time.Millisecond
}

func TestSafetyUnderRandomFaults(t *testing.T) {
	var elected, installs, lostDisks, commits int
	checkSeeds(t, 40, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(t, "initial voters"), 1)
		s.drawClocks(t)
		s.startAll()
		f := faults{s}
		if rapid.Bool().Draw(t, "starts healthy") {
			s.run(3 * time.Second)
		}
		t.Repeat(map[string]func(*rapid.T){
			"crash":           f.crash,
			"restart":         f.restart,
			"lose disk":       f.loseDisk,
			"cut one way":     f.cutOneWay,
			"cut off":         f.isolateNode,
			"network heals":   f.healNetwork,
			"wire conditions": f.networkConditions,
			"slow disk":       f.slowDisk,
			"pause":           f.pause,
			"propose":         f.propose,
			"change":          f.changeMember,
			"step down":       f.stepDown,
			"wait":            f.wait,
			"wait more":       f.wait,
			"propose more":    f.propose,
		})
		s.checkRecovery()
		elected += s.elections
		installs += s.installs
		lostDisks += s.lostDisks
		commits += len(s.history)
	})
	t.Logf("%d elections, %d commits, %d installed snapshots, %d lost disks", elected, commits, installs, lostDisks)
}

// isolateLeader cuts the links of the leader, in one or both directions.
func (f faults) isolateLeader(t *rapid.T) {
	leader := f.leader()
	if leader < 0 {
		return
	}
	oneWay := rapid.Bool().Draw(t, "one way")
	for j := range f.nodes {
		f.cuts[[2]int{leader, j}] = true
		f.cuts[[2]int{j, leader}] = !oneWay
	}
}

// TestLeaseOfIsolatedLeader isolates leaders at random times within the
// heartbeat interval. One node starts its elections as early as possible. Two
// nodes must never hold the lease at once.
func TestLeaseOfIsolatedLeader(t *testing.T) {
	elected := 0
	checkSeeds(t, 5, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), 3, 0)
		s.drawClocks(t)
		s.drawEagerCandidate(t)
		s.delay, s.resolution = time.Millisecond, time.Millisecond
		for _, n := range s.nodes {
			n.clockPercent = rapid.SampledFrom([]int{95, 105}).Draw(t, "extreme rate")
		}
		s.startAll()
		f := faults{s}
		for range 20 {
			s.run(1500*time.Millisecond + time.Duration(rapid.IntRange(0, 100).Draw(t, "ms"))*time.Millisecond)
			f.isolateLeader(t)
			f.propose(t)
			s.run(time.Second)
			f.healNetwork(t)
		}
		s.checkRecovery()
		elected += s.elections
	})
	t.Logf("%d elections", elected)
}

// TestVotesSurviveCrashes crashes voters while votes are not synced and
// requests are delayed. A restarted voter must not vote twice in a term.
func TestVotesSurviveCrashes(t *testing.T) {
	elected := 0
	checkSeeds(t, 2, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), 3, 0)
		s.drawClocks(t)
		s.drawEagerCandidate(t)
		s.startAll()
		s.run(3 * time.Second)
		f := faults{s}
		for range 20 {
			s.latePercent = 60
			for _, n := range s.nodes {
				n.diskDelay = 100 * time.Millisecond
			}
			f.propose(t)
			if leader := s.leader(); leader >= 0 {
				s.crash(leader)
			}
			s.run(700*time.Millisecond + time.Duration(rapid.IntRange(0, 400).Draw(t, "ms"))*time.Millisecond)
			for i := range s.nodes {
				if rapid.Bool().Draw(t, "crash") {
					s.crash(i)
				}
			}
			for i, n := range s.nodes {
				if n.core == nil {
					s.start(i)
				}
			}
			s.run(time.Second)
			s.latePercent = 0
			s.run(time.Second)
		}
		s.checkRecovery()
		elected += s.elections
	})
	t.Logf("%d elections", elected)
}
