package ledger

import (
	"testing"
	"time"

	"github.com/hornbeamwell/hornbeamwell"
	"github.com/hornbeamwell/hornbeamwell/ledger/faulty"
)

// largeCommandBytes is the size of a change of all routes of a large configuration.
const largeCommandBytes = 400 << 10

// lastCommandMachine stores the last command, as the catalog stores the last configuration.
type lastCommandMachine struct{ last []byte }

func (m *lastCommandMachine) Apply(_ uint64, command []byte) []byte {
	m.last = command
	return nil
}

func (m *lastCommandMachine) Snapshot() ([]byte, error) { return append([]byte{'s'}, m.last...), nil }

func (m *lastCommandMachine) Restore(_ uint64, data []byte) error {
	m.last = data[1:]
	return nil
}

// logBytes returns what an instance holds after the commands of a test.
type logBytes struct{ memory, disk int }

func (g *group) proposeChanges(count int) {
	for i := range count {
		g.propose(string(append([]byte{byte(i)}, make([]byte, largeCommandBytes)...)))
	}
}

// stopAndMeasure stops all instances, and returns the largest log in memory and on disk.
func (g *group) stopAndMeasure(folders map[string]*faulty.Folder) logBytes {
	g.t.Helper()
	var most logBytes
	for i, in := range g.instances {
		g.stop(i)
		most.memory = max(most.memory, dataBytes(in.ledger.core.log.entries))
		if counted := in.ledger.core.log.bytes; counted != dataBytes(in.ledger.core.log.entries) {
			g.t.Errorf("the log counts %d bytes and has %d", counted, dataBytes(in.ledger.core.log.entries))
		}
	}
	for _, folder := range folders {
		most.disk = max(most.disk, folderBytes(g.t, folder))
	}
	return most
}

func folderBytes(t testing.TB, folder hornbeamwell.DataFolder) int {
	t.Helper()
	names, err := folder.List()
	if err != nil {
		t.Fatal(err)
	}
	bytes := 0
	for _, name := range names {
		content, err := folder.Read(name)
		if err != nil {
			t.Fatal(err)
		}
		bytes += len(content)
	}
	return bytes
}

// TestLogOfLargeCommandsIsBounded guards against a log that is bounded by the number of its
// entries alone: after some 170 large changes the control instances used more memory than
// they have, also after a restart. Twice the changes may need no more.
func TestLogOfLargeCommandsIsBounded(t *testing.T) {
	t.Parallel()
	limits := DefaultLimits()
	g := prepareGroup(t, 3, limits)
	g.newMachine = func() StateMachine { return &lastCommandMachine{} }
	var folders map[string]*faulty.Folder
	g.wrapFolder, folders = fullableFolders()
	g.startAll()
	most := limits.snapshotDueBytes(largeCommandBytes+1) + limits.TrailingBytes + limits.MaxInflight*(largeCommandBytes+1)
	for _, count := range []int{60, 120} {
		g.proposeChanges(count)
		g.waitApplied(g.propose("end").Index)
		held := g.stopAndMeasure(folders)
		if held.memory > most {
			t.Errorf("after %d further commands the log in memory has %d bytes, want at most %d", count, held.memory, most)
		}
		if most := most + 2*largeCommandBytes; held.disk > most {
			t.Errorf("after %d further commands the files have %d bytes, want at most %d", count, held.disk, most)
		}
		for i := range g.instances {
			g.start(i)
		}
	}
	g.waitApplied(g.propose("after the restart").Index)
}

// TestLaggingMemberReceivesSnapshotOfLargeCommands guards against a member that was away for
// longer than the trailing entries and then needs all of the log, which may take longer than
// its replacement.
func TestLaggingMemberReceivesSnapshotOfLargeCommands(t *testing.T) {
	t.Parallel()
	g := prepareGroup(t, 3, DefaultLimits())
	g.newMachine = func() StateMachine { return &lastCommandMachine{} }
	g.wrapFolder = foldersInMemory()
	g.startAll()
	g.waitApplied(g.propose("before").Index)
	lagging := (g.leader() + 1) % 3
	g.stop(lagging)
	g.proposeChanges(60)
	g.start(lagging)
	g.proposeChanges(20)
	g.waitApplied(g.propose("last").Index)
	returned := g.instances[lagging].ledger
	g.stop(lagging)
	if got := string(g.instances[(lagging+1)%3].machine.(*lastCommandMachine).last); got != "last" {
		t.Errorf("the state is %q", got)
	}
	if held := returned.core.log.bytes; held > DefaultLimits().LogBytes {
		t.Errorf("the member that was away holds %d bytes of entries", held)
	}
}

// TestUncommittedCommandsAreBoundedByBytes guards against a leader without followers that takes
// large commands until its memory is used up.
func TestUncommittedCommandsAreBoundedByBytes(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 1, 3, 0)
	s.startAll()
	s.run(10 * time.Second)
	leader := s.leader()
	for i := range s.nodes {
		s.cuts[[2]int{leader, i}] = true
	}
	command := make([]byte, simulationLimits.CommandBytes)
	accepted := 0
	for range 10 * simulationLimits.MaxUncommitted {
		if s.step(leader, proposeEvent{commands: [][]byte{command}}).rejected == nil {
			accepted++
		}
	}
	if most := simulationLimits.LogBytes/len(command) + 1; accepted == 0 || accepted > most {
		t.Errorf("%d commands of %d bytes are accepted, want 1 to %d", accepted, len(command), most)
	}
}
